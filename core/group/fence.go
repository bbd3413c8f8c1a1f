package group

import (
	"time"

	"anviltack/core"
)

// Runs notes since when an endpoint has run without a break, as its next answer
// shows.
func (m *Machine) Runs(endpoint core.Endpoint, since time.Time) {
	if e := m.member(endpoint); e != nil {
		e.runsSince = since
	}
}

// Settled takes a proof that no promotion is still to come of a fence given before
// asOf.
func (m *Machine) Settled(now, asOf time.Time) []Action {
	m.advance(now)
	m.settledAt = latest(m.settledAt, asOf)
	return m.run(now)
}

// IsUnsettled reports whether too few of the endpoints that answer count, because
// others may have forgotten a fence.
func (m *Machine) IsUnsettled() bool {
	counted, doubted := 0, 0
	for _, e := range m.members {
		switch {
		case !e.known || e.failures > 0:
		case m.remembers(e):
			counted++
		default:
			doubted++
		}
	}
	return doubted > 0 && counted < m.majority()
}

// remembers reports whether no promotion can come of a fence that the endpoint
// forgot when it last started.
func (m *Machine) remembers(e *member) bool {
	if m.forgottenFor == 0 {
		return true
	}
	if e.runsSince.IsZero() {
		return false
	}
	return !e.runsSince.After(m.settledAt) || m.now.Sub(e.runsSince) >= m.forgottenFor
}
