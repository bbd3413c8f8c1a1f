// Package peer speaks to the other instances by twirp.
package peer

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"anviltack/core"
	"anviltack/core/member"
	"anviltack/core/patch"
	"anviltack/io/peer/wire"
)

// Update is a configuration on its way between instances.
type Update struct {
	Version uint64
	// Document is the whole configuration, or nil.
	Document *patch.Document
	// Entries lead to Version from an earlier version, or are empty.
	Entries []patch.Entry
	// Receivers are the instances to which the receiver hands the update on.
	Receivers []netip.AddrPort
	// From is the data centre of the sender.
	From core.DataCentre
}

// OpinionRequest asks what a peer sees of a group's primary.
type OpinionRequest struct {
	Group core.Group
	Term  uint64
}

// Opinion is what a peer sees of a group's primary.
type Opinion struct {
	// Known is false when the peer has no sample of the group.
	Known bool
	// Term is the highest term that the peer has seen.
	Term uint64
	// Silent is the time since the primary last answered the peer.
	Silent time.Duration
	// Stalled is the time since a majority last confirmed a position.
	Stalled time.Duration
}

// Promotion tells of an endpoint that became the primary of a term.
type Promotion struct {
	Group    core.Group
	Term     uint64
	Endpoint core.Endpoint
}

func encodeHeartbeat(b member.Heartbeat) *wire.Heartbeat {
	m := &wire.Heartbeat{
		Instance: string(b.Instance), DataCentre: string(b.DataCentre), Address: b.Address.String(),
		Version: b.Version, UptimeMs: uint64(max(b.Uptime.Milliseconds(), 0)), Draining: b.Draining,
		LeavingIndex: b.LeavingIndex,
	}
	for _, e := range b.Leaving {
		m.Leaving = append(m.Leaving, string(e))
	}
	return m
}

func decodeHeartbeat(m *wire.Heartbeat) (member.Heartbeat, error) {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return member.Heartbeat{}, fmt.Errorf("peer: bad heartbeat: %w", err)
	}
	if m.GetInstance() == "" || m.GetDataCentre() == "" {
		return member.Heartbeat{}, fmt.Errorf("peer: bad heartbeat: no name")
	}
	b := member.Heartbeat{
		Instance: core.Instance(m.GetInstance()), DataCentre: core.DataCentre(m.GetDataCentre()), Address: address,
		Version: m.GetVersion(), Uptime: milliseconds(m.GetUptimeMs()), Draining: m.GetDraining(),
		LeavingIndex: m.GetLeavingIndex(),
	}
	for _, e := range m.GetLeaving() {
		b.Leaving = append(b.Leaving, core.Endpoint(e))
	}
	return b, nil
}

func encodeUpdate(u Update) (*wire.Document, error) {
	m := &wire.Document{Version: u.Version, DataCentre: string(u.From)}
	var err error
	if u.Document != nil {
		if m.Body, err = u.Document.Encode(); err != nil {
			return nil, err
		}
	}
	if len(u.Entries) > 0 {
		if m.Entries, err = json.Marshal(u.Entries); err != nil {
			return nil, fmt.Errorf("peer: cannot encode entries: %w", err)
		}
	}
	for _, a := range u.Receivers {
		m.Onward = append(m.Onward, a.String())
	}
	return m, nil
}

func decodeUpdate(m *wire.Document) (Update, error) {
	u := Update{Version: m.GetVersion(), From: core.DataCentre(m.GetDataCentre())}
	if len(m.GetBody()) > 0 {
		d, err := patch.Parse(m.GetBody())
		if err != nil {
			return Update{}, err
		}
		u.Document = &d
	}
	if len(m.GetEntries()) > 0 {
		if err := json.Unmarshal(m.GetEntries(), &u.Entries); err != nil {
			return Update{}, fmt.Errorf("peer: bad entries: %w", err)
		}
	}
	for _, s := range m.GetOnward() {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return Update{}, fmt.Errorf("peer: bad address: %w", err)
		}
		u.Receivers = append(u.Receivers, a)
	}
	return u, nil
}

// maxMilliseconds keeps a duration off the wire within time.Duration.
const maxMilliseconds = uint64(1<<63-1) / uint64(time.Millisecond)

func milliseconds(n uint64) time.Duration {
	return time.Duration(min(n, maxMilliseconds)) * time.Millisecond
}
