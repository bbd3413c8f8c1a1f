// Package member tracks which instances are live, assigns duties to them by
// rendezvous hashing and builds the broadcast tree of a new configuration.
package member

import (
	"net/netip"
	"time"

	"anviltack/core"
)

// State is the liveness of an instance, which decides what it may be assigned.
type State string

// The states of an instance.
const (
	// StateLive means that the instance runs and may hold duties.
	StateLive State = "live"
	// StateLeaving means that the platform's list or the instance's heartbeat
	// says that it is leaving: it answers, but holds no duty and gets no new work.
	StateLeaving State = "leaving"
	// StateDead means that the instance is not known to run.
	StateDead State = "dead"
)

// Member is one instance as another instance sees it.
type Member struct {
	Instance   core.Instance   `json:"instance"`
	DataCentre core.DataCentre `json:"data_centre"`
	// Address is the address on which other instances reach this one.
	Address netip.AddrPort `json:"address"`
	// Version is the highest configuration version that the instance reported.
	Version uint64 `json:"version"`
	State   State  `json:"state"`
	// Listed reports whether the instance is in the platform's list.
	Listed bool `json:"listed"`
	// HeartbeatAge is the time since the last heartbeat, negative if none was
	// received.
	HeartbeatAge time.Duration `json:"silent"`
}

// Listing is one instance in the platform's list.
type Listing struct {
	Instance   core.Instance
	DataCentre core.DataCentre
	Address    netip.AddrPort
	Leaving    bool
}

// Heartbeat is the state that an instance reports to its neighbours.
type Heartbeat struct {
	Instance   core.Instance
	DataCentre core.DataCentre
	Address    netip.AddrPort
	Version    uint64
	// Uptime is the age of the process; a lower value than before means that the
	// instance was restarted under the same name.
	Uptime   time.Duration
	Draining bool
	// Leaving are the endpoints that the platform's list marks as leaving, as of
	// the list's index LeavingIndex.
	Leaving      []core.Endpoint
	LeavingIndex uint64
}
