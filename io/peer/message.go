// Package peer implements the messages between instances, which are twirp calls.
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

// Update is a configuration version that one instance sends to another, as a document or
// as the changes from an earlier version.
type Update struct {
	Version uint64
	// Document is the whole document, or nil.
	Document *patch.Document
	// Entries are the changes from an earlier version up to Version; they may be empty.
	Entries []patch.Entry
	// Receivers are the peer addresses to which the receiver forwards the update.
	Receivers []netip.AddrPort
	// From is the data centre of the sender.
	From core.DataCentre
}

// OpinionRequest asks a peer for its view of a group's primary.
type OpinionRequest struct {
	Group core.Group
	Term  uint64
}

// Opinion is a peer's view of a group's primary.
type Opinion struct {
	// Known is false if the peer has no sample of the group.
	Known bool
	// Term is the highest term that the peer has seen.
	Term uint64
	// SinceResponse is the time since the primary last responded to the peer.
	SinceResponse time.Duration
	// SinceConfirmation is the time since a majority last confirmed a position.
	SinceConfirmation time.Duration
}

// Promotion states that an endpoint became the primary of a term.
type Promotion struct {
	Group    core.Group
	Term     uint64
	Endpoint core.Endpoint
}

func encodeHeartbeat(h member.Heartbeat) *wire.Heartbeat {
	m := &wire.Heartbeat{
		Instance: string(h.Instance), DataCentre: string(h.DataCentre), Address: h.Address.String(),
		Version: h.Version, UptimeMs: uint64(max(h.Uptime.Milliseconds(), 0)), Draining: h.Draining,
		LeavingIndex: h.LeavingIndex,
	}
	for _, e := range h.Leaving {
		m.Leaving = append(m.Leaving, string(e))
	}
	return m
}

func decodeHeartbeat(m *wire.Heartbeat) (member.Heartbeat, error) {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return member.Heartbeat{}, fmt.Errorf("peer: heartbeat with an invalid address: %w", err)
	}
	if m.GetInstance() == "" || m.GetDataCentre() == "" {
		return member.Heartbeat{}, fmt.Errorf("peer: heartbeat without an instance or data centre")
	}
	h := member.Heartbeat{
		Instance: core.Instance(m.GetInstance()), DataCentre: core.DataCentre(m.GetDataCentre()), Address: address,
		Version: m.GetVersion(), Uptime: milliseconds(m.GetUptimeMs()), Draining: m.GetDraining(),
		LeavingIndex: m.GetLeavingIndex(),
	}
	for _, e := range m.GetLeaving() {
		h.Leaving = append(h.Leaving, core.Endpoint(e))
	}
	return h, nil
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
			return nil, fmt.Errorf("peer: could not encode entries: %w", err)
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
			return Update{}, fmt.Errorf("peer: could not decode entries: %w", err)
		}
	}
	for _, s := range m.GetOnward() {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return Update{}, fmt.Errorf("peer: invalid address of a receiver: %w", err)
		}
		u.Receivers = append(u.Receivers, a)
	}
	return u, nil
}

// maxMilliseconds is the largest number of milliseconds that fits time.Duration.
const maxMilliseconds = uint64(1<<63-1) / uint64(time.Millisecond)

func milliseconds(n uint64) time.Duration {
	return time.Duration(min(n, maxMilliseconds)) * time.Millisecond
}
