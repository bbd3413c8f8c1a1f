package group

import (
	"time"

	"anviltack/core"
)

// suspicion is a failure of the primary as this instance observes it.
type suspicion struct {
	reason Reason
	// since is when the failure began; an answer of the primary to a peer after it
	// contradicts the failure.
	since time.Time
	// suspect is not promoted if a majority is fenced without it; empty when every
	// endpoint is a candidate.
	suspect core.Endpoint
}

// detectFailure returns the primary's failure as this instance alone observes it, if
// the instance reaches a majority without the primary and no other instance is
// promoting.
func (m *Machine) detectFailure(now time.Time) suspicion {
	m.updateAbsentSince(now)
	s := m.findFailure(now)
	if s.reason == ReasonNone || !m.reachesMajority(now, s.suspect) || m.isOtherInstancePromoting(now) {
		return suspicion{}
	}
	return s
}

// findFailure returns the first kind of failure that applies. A group that has never
// had a term has never had a primary; its first primary is not chosen here.
func (m *Machine) findFailure(now time.Time) suspicion {
	e := m.member(m.primary)
	if e != nil {
		if e.isNotListening(m.periods.RefusedSpan) {
			return suspicion{reason: ReasonRefused, since: e.refusedFirst, suspect: e.Name}
		}
		silentSince := latest(e.answeredAt, m.listeningSince, m.termSeenAt)
		if m.externalTerms {
			silentSince = m.unansweredRequestSince(e, now)
		}
		if now.Sub(silentSince) >= m.periods.Silence {
			return suspicion{reason: ReasonSilent, since: silentSince.Add(m.periods.Silence / 2), suspect: e.Name}
		}
		if d := m.stalled(now); d >= m.periods.Stall {
			return suspicion{reason: ReasonStalled, since: now.Add(-d), suspect: e.Name}
		}
		if e.Leaving && m.hasSuccessor(now, e) {
			return suspicion{reason: ReasonLeaving, since: now, suspect: e.Name}
		}
	}
	if m.fence > 0 && !m.absentSince.IsZero() && now.Sub(m.absentSince) >= m.absenceTimeout(now) && !m.hasUnreportedRole() {
		return suspicion{reason: ReasonAbsent, since: m.absentSince}
	}
	return suspicion{}
}

// unansweredRequestSince returns the time since which a request to the endpoint has been
// unanswered, or now if none is. Samples may be far apart, so time without an
// outstanding request does not count as silence.
func (m *Machine) unansweredRequestSince(e *member, now time.Time) time.Time {
	if e.unansweredSince.IsZero() {
		return now
	}
	return latest(e.unansweredSince, m.listeningSince, m.termSeenAt)
}

// hasSuccessor reports whether an endpoint that is not leaving holds everything that a
// majority confirmed, so that it can replace a leaving primary.
func (m *Machine) hasSuccessor(now time.Time, primary *member) bool {
	for _, e := range m.members {
		if e != primary && !e.Leaving && m.isReachable(e, now) && m.isCounted(e) && e.positionIn(m.term) >= m.confirmed.Position {
			return true
		}
	}
	return false
}

// absenceTimeout returns how long a group may be without a primary before a failover:
// as long as a silent primary while an endpoint that may be the primary does not
// answer.
func (m *Machine) absenceTimeout(now time.Time) time.Duration {
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

// hasUnreportedRole reports whether an endpoint answers but has not reported its role
// yet, as when it accepts no more connections. It may be the primary.
func (m *Machine) hasUnreportedRole() bool {
	for _, e := range m.members {
		if !e.known && e.failures == 0 && !e.answeredAt.Before(m.listeningSince) && !e.answeredAt.IsZero() {
			return true
		}
	}
	return false
}

// latest returns the latest of several times.
func latest(times ...time.Time) time.Time {
	var l time.Time
	for _, t := range times {
		if t.After(l) {
			l = t
		}
	}
	return l
}

// updateAbsentSince sets absentSince if the group has no primary in the highest term
// seen, or none whose term counts, and clears it otherwise.
func (m *Machine) updateAbsentSince(now time.Time) {
	e := m.member(m.primary)
	if m.fence == m.term && m.term >= m.voters.Floor && e != nil && (!e.known || e.status.Term < m.term || e.isPrimary(m.term)) {
		m.absentSince = time.Time{}
		return
	}
	if m.absentSince.IsZero() {
		m.absentSince = now
	}
}

// isOtherInstancePromoting reports whether another instance raised the fence so
// recently that its promotion may still follow.
func (m *Machine) isOtherInstancePromoting(now time.Time) bool {
	return m.fence > m.term && m.fence != m.ownFence && now.Sub(m.fenceSeenAt) < m.periods.Absence
}

// isReachable reports whether an endpoint answered recently.
func (m *Machine) isReachable(e *member, now time.Time) bool {
	return e.known && !e.answeredAt.Before(m.listeningSince) && now.Sub(e.answeredAt) < m.periods.MaxAnswerAge
}

// reachesMajority reports whether the instance reaches a majority of the group without
// counting the suspect. An endpoint that leaves samples unanswered could not be fenced.
func (m *Machine) reachesMajority(now time.Time, suspect core.Endpoint) bool {
	n := m.countVoters(func(e *member) bool { return e.Name != suspect && e.failures == 0 && m.isReachable(e, now) })
	return n >= m.majority()
}
