package group

import (
	"slices"
	"time"
)

// WithSparseSamples makes the machine ask as little as its proofs need, because a
// sample takes one of an endpoint's few slots. While nothing is wrong the primary
// is asked for no more than a witness, which takes none, and in each period just
// enough replicas report for a majority, in turn.
func WithSparseSamples() Option {
	return func(m *Machine) { m.sparse = true }
}

// due returns which members are to be asked without anyone waiting for it.
func (m *Machine) due(now time.Time) []bool {
	due := make([]bool, len(m.members))
	for i, e := range m.members {
		due[i] = !now.Before(e.nextSample)
	}
	if !m.sparse || m.isTroubled() || m.confirmed.AsOf.IsZero() {
		return due
	}
	lacking := m.majority() - 1
	var waiting []int
	for i, e := range m.members {
		switch {
		case e.Name == m.primary || e.failures > 0:
		case m.isFresh(e, now):
			lacking--
			due[i] = false
		default:
			waiting = append(waiting, i)
		}
	}
	slices.SortStableFunc(waiting, func(a, b int) int { return m.members[a].sentAt.Compare(m.members[b].sentAt) })
	for n, i := range waiting {
		due[i] = due[i] && n < lacking
	}
	return due
}

// isFresh reports whether a member was asked within the period.
func (m *Machine) isFresh(e *member, now time.Time) bool {
	return len(e.outstanding) > 0 || now.Sub(e.sentAt) < m.periods.Sample
}

// question returns how a member is asked: a primary that is known to be one only
// has to show that it still is.
func (m *Machine) question(e *member) ActionKind {
	if m.sparse && e.Name == m.primary && e.isPrimary(m.term) && e.failures == 0 {
		return ActionWitness
	}
	return ActionSample
}

// failedPeriod returns the time between two samples of a member that fails.
func (m *Machine) failedPeriod() time.Duration {
	if m.sparse {
		return min(m.periods.Sample, 2*m.periods.SampleTimeout)
	}
	return m.periods.Sample
}

// isBehind reports whether no majority holds a position that is wanted.
func (m *Machine) isBehind() bool {
	return m.wanted.Point.Term == m.term && m.confirmed.Position < m.wanted.Point.Position
}

// stalledInVain returns how long a position that was wanted has not been shown by a
// majority. What the primary is ahead by without anyone asking does not count, nor
// what endpoints that answer could not be asked.
func (m *Machine) stalledInVain(now time.Time) time.Duration {
	if !m.isBehind() || !m.isHeldUp() {
		return 0
	}
	return now.Sub(latest(m.behindSince, m.heardSince, m.termAt))
}

// isHeldUp reports whether too few endpoints are left to hold the wanted position
// beside those that do not answer and those that reported less since it was wanted.
func (m *Machine) isHeldUp() bool {
	left := 0
	for _, e := range m.members {
		isShort := e.sentAt.After(m.behindSince) && e.held(m.term) < m.wanted.Point.Position
		if e.failures == 0 && !isShort {
			left++
		}
	}
	return left < m.majority()
}

// Unreplaced takes a proof from elsewhere that nobody replaced the primary of term
// before asOf.
func (m *Machine) Unreplaced(now time.Time, term uint64, asOf time.Time) []Action {
	m.advance(now)
	if term == m.term && !m.confirmed.Closed && asOf.After(m.confirmed.AsOf) {
		m.confirmed.AsOf = asOf
	}
	return m.run(now)
}

// IsAlone reports whether the primary answers while too few others do for a
// majority.
func (m *Machine) IsAlone() bool {
	e := m.member(m.primary)
	return e != nil && e.failures == 0 && e.isPrimary(m.term) && m.attempt == nil && !m.Reaches()
}

// IsAwaited reports whether a statement waits for a proof.
func (m *Machine) IsAwaited() bool {
	return m.now.Sub(m.wantedAt) <= wantedFor && m.confirmed.AsOf.Before(m.wanted.AsOf)
}
