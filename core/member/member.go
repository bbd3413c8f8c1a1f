// Package member decides which instances are live, which duties each of them
// holds, and along which tree a new configuration spreads.
package member

import (
	"net/netip"
	"time"

	"anviltack/core"
)

// State says what may be given to an instance.
type State string

// The states of an instance.
const (
	// StateLive means that the instance holds duties.
	StateLive State = "live"
	// StateLeaving means that some source called the instance leaving: it
	// answers, but holds no duty and gets no new work.
	StateLeaving State = "leaving"
	// StateDead means that the instance is not known to run.
	StateDead State = "dead"
)

// Member is one instance as another instance sees it.
type Member struct {
	Instance   core.Instance   `json:"instance"`
	DataCentre core.DataCentre `json:"data_centre"`
	// Address is where the instance's peers reach it.
	Address netip.AddrPort `json:"address"`
	// Version is the newest configuration that the instance told of.
	Version uint64 `json:"version"`
	State   State  `json:"state"`
	// Listed tells whether the platform's list has the instance.
	Listed bool `json:"listed"`
	// Silent is the time since the last heartbeat; it is negative when there
	// was none.
	Silent time.Duration `json:"silent"`
}

// Listing is one entry of the platform's list.
type Listing struct {
	Instance   core.Instance
	DataCentre core.DataCentre
	Address    netip.AddrPort
	Leaving    bool
}

// Beat is what an instance tells of itself in a heartbeat.
type Beat struct {
	Instance   core.Instance
	DataCentre core.DataCentre
	Address    netip.AddrPort
	Version    uint64
	// Uptime tells one process from an earlier one of the same name.
	Uptime   time.Duration
	Draining bool
	// Leaving are the endpoints that the platform's list calls leaving, as of
	// the index LeavingIndex of that list.
	Leaving      []core.Endpoint
	LeavingIndex uint64
}
