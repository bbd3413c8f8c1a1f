package group

import (
	"time"

	"anviltack/core"
)

// SetUpSince sets a time since which an endpoint has not restarted, as the answer
// that is handled next proves.
func (m *Machine) SetUpSince(endpoint core.Endpoint, since time.Time) {
	if e := m.member(endpoint); e != nil {
		e.upSince = since
	}
}

// FencesResolved handles a proof that no fence made before asOf can still lead to a
// promotion.
func (m *Machine) FencesResolved(now, asOf time.Time) []Action {
	m.advanceClock(now)
	m.fencesResolvedAsOf = latest(m.fencesResolvedAsOf, asOf)
	return m.evaluate(now)
}

// AwaitsFenceResolution reports whether the endpoints that answer and count are too few
// for a majority, because others may have lost a fence.
func (m *Machine) AwaitsFenceResolution() bool {
	counted, unreliable := 0, 0
	for _, e := range m.members {
		switch {
		case e.Learner || !e.known || e.failures > 0:
		case m.isFenceReliable(e):
			counted++
		default:
			unreliable++
		}
	}
	return unreliable > 0 && counted < m.majority()
}

// isFenceReliable reports whether no promotion can follow from a fence that the
// endpoint lost in its last restart.
func (m *Machine) isFenceReliable(e *member) bool {
	if m.maxPromotionDelay == 0 {
		return true
	}
	if e.upSince.IsZero() {
		return false
	}
	return !e.upSince.After(m.fencesResolvedAsOf) || m.now.Sub(e.upSince) >= m.maxPromotionDelay
}
