package group

import (
	"time"

	"anviltack/core"
)

// suspicion is a failure of the primary as this instance sees it.
type suspicion struct {
	reason Reason
	// since is when the failure began; a peer that heard the primary later
	// contradicts it.
	since time.Time
	// suspect is left out as a candidate; empty when every endpoint will do.
	suspect core.Endpoint
}

// suspect judges the primary by the evidence of this instance alone.
func (m *Machine) suspect(now time.Time) suspicion {
	m.noteAbsence(now)
	s := m.judge(now)
	if s.reason == ReasonNone || !m.reachesMajority(now, s.suspect) || m.isOtherActing(now) {
		return suspicion{}
	}
	return s
}

// judge returns the first kind of failure that the evidence shows. A group that
// never had a term never had a primary, and who becomes its first one is not
// decided here.
func (m *Machine) judge(now time.Time) suspicion {
	e := m.member(m.primary)
	if e != nil {
		if e.isDead(m.periods.RefusedSpan) {
			return suspicion{reason: ReasonRefused, since: e.refusedFirst, suspect: e.Name}
		}
		heard := latest(e.answeredAt, m.heardSince, m.termAt)
		if m.givenTerms {
			heard = m.questioned(e, now)
		}
		if now.Sub(heard) >= m.periods.Silence {
			return suspicion{reason: ReasonSilent, since: heard.Add(m.periods.Silence / 2), suspect: e.Name}
		}
		if d := m.stalled(now); d >= m.periods.Stall {
			return suspicion{reason: ReasonStalled, since: now.Add(-d), suspect: e.Name}
		}
		if e.Leaving && m.hasRelief(now, e) {
			return suspicion{reason: ReasonLeaving, since: now, suspect: e.Name}
		}
	}
	if m.fence > 0 && !m.absentSince.IsZero() && now.Sub(m.absentSince) >= m.absence(now) && !m.isUnreported() {
		return suspicion{reason: ReasonAbsent, since: m.absentSince}
	}
	return suspicion{}
}

// questioned returns since when the endpoint owes an answer, now when it owes
// none. Samples may be far apart, so time without a question does not count.
func (m *Machine) questioned(e *member, now time.Time) time.Time {
	if e.silentSince.IsZero() {
		return now
	}
	return latest(e.silentSince, m.heardSince, m.termAt)
}

// hasRelief reports whether an endpoint that stays holds everything that a
// majority confirmed, so that it can follow a primary that leaves.
func (m *Machine) hasRelief(now time.Time, primary *member) bool {
	for _, e := range m.members {
		if e != primary && !e.Leaving && m.isReachable(e, now) && m.follows(e) && e.held(m.term) >= m.confirmed.Position {
			return true
		}
	}
	return false
}

// absence returns how long a group without a primary is left alone: as long as a
// silent primary while an endpoint that may be the primary does not answer.
func (m *Machine) absence(now time.Time) time.Duration {
	if m.fence > m.term {
		return m.periods.Absence
	}
	for _, e := range m.members {
		if !m.isReachable(e, now) {
			return m.periods.Silence
		}
	}
	return m.periods.Absence
}

// isUnreported reports whether an endpoint that answers has not told its role yet,
// as one does that takes no more connections: it may be the primary.
func (m *Machine) isUnreported() bool {
	for _, e := range m.members {
		if !e.known && e.failures == 0 && !e.answeredAt.Before(m.heardSince) && !e.answeredAt.IsZero() {
			return true
		}
	}
	return false
}

// latest returns the last of several times.
func latest(times ...time.Time) time.Time {
	var l time.Time
	for _, t := range times {
		if t.After(l) {
			l = t
		}
	}
	return l
}

// noteAbsence keeps absentSince: a group without a primary in the highest term
// seen anywhere.
func (m *Machine) noteAbsence(now time.Time) {
	e := m.member(m.primary)
	if m.fence == m.term && e != nil && (!e.known || e.status.Term < m.term || e.isPrimary(m.term)) {
		m.absentSince = time.Time{}
		return
	}
	if m.absentSince.IsZero() {
		m.absentSince = now
	}
}

// isOtherActing reports whether another instance raised the fence so recently
// that its promotion may still come.
func (m *Machine) isOtherActing(now time.Time) bool {
	return m.fence > m.term && m.fence != m.tried && now.Sub(m.fenceAt) < m.periods.Absence
}

// isReachable reports whether an endpoint answered lately.
func (m *Machine) isReachable(e *member, now time.Time) bool {
	return e.known && !e.answeredAt.Before(m.heardSince) && now.Sub(e.answeredAt) < m.periods.Reachable
}

// reachesMajority reports whether the instance reaches a majority of the group
// without the suspect.
func (m *Machine) reachesMajority(now time.Time, suspect core.Endpoint) bool {
	n := 0
	for _, e := range m.members {
		if e.Name != suspect && m.isReachable(e, now) {
			n++
		}
	}
	return n >= m.majority()
}
