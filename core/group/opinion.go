package group

import (
	"time"

	"anviltack/core"
)

// opinionSkew is the tolerated error when a peer's times are compared with the
// instance's own.
const opinionSkew = 50 * time.Millisecond

// Opinion is an instance's view of a group's primary.
type Opinion struct {
	Instance core.Instance
	// Known is false when the instance has no sample of a primary.
	Known bool
	// Term is the highest term in which the instance has seen a primary.
	Term uint64
	// SinceResponse is the time since the primary last answered the instance.
	SinceResponse time.Duration
	// SinceConfirmation is the time since a majority last confirmed the primary, or
	// since the confirmed position stopped rising if that is longer.
	SinceConfirmation time.Duration
}

// Opinion returns this instance's view.
func (m *Machine) Opinion(now time.Time) Opinion {
	o := Opinion{Instance: m.self, Term: m.term}
	e := m.member(m.primary)
	if e == nil || !e.isPrimary(m.term) {
		return o
	}
	o.Known = true
	o.SinceResponse = max(now.Sub(e.answeredAt), 0)
	o.SinceConfirmation = max(now.Sub(m.confirmed.AsOf), m.stalled(now))
	return o
}

// OpinionsReceived handles peers' replies; a peer that could not be asked is left out
// or has Known unset.
func (m *Machine) OpinionsReceived(now time.Time, replies []Opinion) []Action {
	m.advanceClock(now)
	if a := m.attempt; a != nil && a.phase == phaseAsking {
		for _, o := range replies {
			a.replies++
			if m.contradicts(now, a, o) {
				m.endAttempt(now, m.periods.ObjectionDelay)
				break
			}
		}
	}
	return m.evaluate(now)
}

// contradicts reports whether a peer's view contradicts a failover: the primary
// answered the peer after the failure began here, and its writes are confirmed there.
func (m *Machine) contradicts(now time.Time, a *attempt, o Opinion) bool {
	if !o.Known || o.Term < m.term {
		return false
	}
	if o.Term > m.term {
		return o.SinceResponse < m.periods.MaxAnswerAge
	}
	if a.reason == ReasonLeaving {
		return false
	}
	return now.Add(-o.SinceResponse-opinionSkew).After(a.since) && o.SinceConfirmation < m.periods.Stall/2
}
