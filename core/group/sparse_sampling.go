package group

import (
	"slices"
	"time"
)

// WithSparseSamples makes the machine take as few samples as its confirmations need,
// because a sample occupies one of an endpoint's few slots. In normal operation the
// primary gets only a primary check, which occupies no slot, and in each period just
// enough replicas for a majority are sampled, in rotation.
func WithSparseSamples() Option {
	return func(m *Machine) { m.sparseSamples = true }
}

// dueSamples returns which members are due for a sample regardless of any demand.
func (m *Machine) dueSamples(now time.Time) []bool {
	due := make([]bool, len(m.members))
	for i, e := range m.members {
		due[i] = !now.Before(e.nextSample)
	}
	if !m.sparseSamples || m.isPrimaryUncertain() || m.confirmed.AsOf.IsZero() {
		return due
	}
	needed := m.majority() - 1
	var candidates []int
	for i, e := range m.members {
		switch {
		case e.Name == m.primary || e.Learner || e.failures > 0:
		case m.isRecentlySampled(e, now):
			needed--
			due[i] = false
		default:
			candidates = append(candidates, i)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int { return m.members[a].sentAt.Compare(m.members[b].sentAt) })
	for n, i := range candidates {
		due[i] = due[i] && n < needed
	}
	return due
}

// isRecentlySampled reports whether a sample of the member is outstanding or was
// requested within the period.
func (m *Machine) isRecentlySampled(e *member, now time.Time) bool {
	return len(e.outstanding) > 0 || now.Sub(e.sentAt) < m.periods.Sample
}

// sampleKind returns the kind of request for a member. A known primary only has to prove
// that it still is the primary.
func (m *Machine) sampleKind(e *member) ActionKind {
	if m.sparseSamples && e.Name == m.primary && e.isPrimary(m.term) && e.failures == 0 {
		return ActionCheckPrimary
	}
	return ActionSample
}

// failedPeriod returns the interval between two samples of a failing member.
func (m *Machine) failedPeriod() time.Duration {
	if m.sparseSamples {
		return min(m.periods.Sample, 2*m.periods.SampleTimeout)
	}
	return m.periods.Sample
}

// isDemandBehind reports whether the confirmed position is below the demanded one.
func (m *Machine) isDemandBehind() bool {
	return m.demand.Point.Term == m.term && m.confirmed.Position < m.demand.Point.Position
}

// stalledOnDemand returns for how long a demanded position has not been confirmed. It
// ignores positions of the primary that no statement demanded, and endpoints that
// answer but could not be sampled.
func (m *Machine) stalledOnDemand(now time.Time) time.Duration {
	if !m.isDemandBehind() || !m.isMajorityBehind() {
		return 0
	}
	return now.Sub(latest(m.positionBehindSince, m.listeningSince, m.termSeenAt))
}

// isMajorityBehind reports whether fewer endpoints than a majority may hold the demanded
// position, not counting those that fail and those that reported a lower position since
// the demand.
func (m *Machine) isMajorityBehind() bool {
	left := m.countVoters(func(e *member) bool {
		isBehind := e.sentAt.After(m.positionBehindSince) && e.positionIn(m.term) < m.demand.Point.Position
		return e.failures == 0 && !isBehind
	})
	return left < m.majority()
}

// PrimaryUnreplaced handles a proof from another source that the primary of term was
// not replaced before asOf.
func (m *Machine) PrimaryUnreplaced(now time.Time, term uint64, asOf time.Time) []Action {
	m.advanceClock(now)
	if term == m.term && !m.confirmed.Closed && asOf.After(m.confirmed.AsOf) {
		m.confirmed.AsOf = asOf
	}
	return m.evaluate(now)
}

// IsPrimaryWithoutQuorum reports whether the primary answers but no majority does.
func (m *Machine) IsPrimaryWithoutQuorum() bool {
	e := m.member(m.primary)
	return e != nil && e.failures == 0 && e.isPrimary(m.term) && m.attempt == nil && !m.HasQuorum()
}

// IsAsOfDemanded reports whether a statement waits for a newer AsOf.
func (m *Machine) IsAsOfDemanded() bool {
	return m.now.Sub(m.demandAddedAt) <= demandTimeout && m.confirmed.AsOf.Before(m.demand.AsOf)
}
