package group

import (
	"time"

	"anviltack/core"
)

// opinionSkew is the error allowed in comparing a peer's times with own ones.
const opinionSkew = 50 * time.Millisecond

// Opinion is what an instance sees of a group's primary.
type Opinion struct {
	Instance core.Instance
	// Known is false when the instance has no sample of a primary.
	Known bool
	// Term is the highest term that the instance has seen a primary of.
	Term uint64
	// Silent is the time since the primary last answered the instance.
	Silent time.Duration
	// Stalled is the time since a majority last confirmed the primary.
	Stalled time.Duration
}

// Opinion returns what this instance sees.
func (m *Machine) Opinion(now time.Time) Opinion {
	o := Opinion{Instance: m.self, Term: m.term}
	e := m.member(m.primary)
	if e == nil || !e.isPrimary(m.term) {
		return o
	}
	o.Known = true
	o.Silent = max(now.Sub(e.answeredAt), 0)
	o.Stalled = max(now.Sub(m.confirmed.AsOf), m.stalled(now))
	return o
}

// Opinions takes peers' replies; a peer that could not be asked is left out or
// has Known unset.
func (m *Machine) Opinions(now time.Time, replies []Opinion) []Action {
	m.advance(now)
	if a := m.attempt; a != nil && a.phase == phaseAsking {
		for _, o := range replies {
			a.replies++
			if m.objects(now, a, o) {
				m.abandon(now, m.periods.Hold)
				break
			}
		}
	}
	return m.run(now)
}

// objects reports whether a peer's view contradicts a failover: the primary
// answered the peer after the failure began here, and confirms its writes.
func (m *Machine) objects(now time.Time, a *attempt, o Opinion) bool {
	if !o.Known || o.Term < m.term {
		return false
	}
	if o.Term > m.term {
		return o.Silent < m.periods.Reachable
	}
	if a.reason == ReasonLeaving {
		return false
	}
	return now.Add(-o.Silent-opinionSkew).After(a.since) && o.Stalled < m.periods.Stall/2
}
