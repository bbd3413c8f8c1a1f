package group

import "time"

// isBusy reports whether the next confirmation is awaited by a statement, or by the
// group itself at the start of a term.
func (m *Machine) isBusy() bool {
	return m.waiting > 0 || !m.sparseSamples && m.primary != "" && m.confirmed.AsOf.IsZero()
}

// samplePeriod returns the interval between two samples of one endpoint.
func (m *Machine) samplePeriod() time.Duration {
	if m.isBusy() {
		return m.periods.Busy
	}
	if m.externalTerms && m.isPrimaryUncertain() {
		return min(m.periods.Sample, m.periods.SampleTimeout)
	}
	return m.periods.Sample
}

// isPrimaryUncertain reports whether the group may be about to get a new primary.
func (m *Machine) isPrimaryUncertain() bool {
	e := m.member(m.primary)
	return e == nil || e.failures > 0 || m.fence > m.term
}

// schedule returns the samples and primary checks that are due.
func (m *Machine) schedule(now time.Time) []Action {
	var actions []Action
	for _, e := range m.members {
		m.expireSamples(e, now)
	}
	sampled := m.sampledForDemand(now)
	due := m.dueSamples(now)
	for i, e := range m.members {
		demanded := sampled[i] && m.isSampleUseful(e, now)
		if len(e.outstanding) > 0 || !due[i] && !demanded {
			continue
		}
		period := m.samplePeriod()
		if e.failures > 0 {
			period = m.failedPeriod()
		}
		e.noteSampleSent(now)
		e.nextSample = now.Add(period)
		actions = append(actions, Action{Kind: m.sampleKind(e), Endpoint: e.Name, NewConnection: e.newConnection})
		e.newConnection = false
	}
	return actions
}

// slowSample is how long a sample may take before another endpoint is sampled as well
// to meet a demand. It is a few times the service time of a statement.
const slowSample = 60 * time.Millisecond

// sampleAllAfter is how long a majority is sampled without progress before all members
// are. Otherwise a replica that answers but receives nothing would delay the
// confirmation of what another replica already has.
const sampleAllAfter = 25 * time.Millisecond

// sampledForDemand returns which members are sampled to meet the demand: a majority of
// those that answer, the primary first, and one more for each slow sample.
func (m *Machine) sampledForDemand(now time.Time) []bool {
	sampled := make([]bool, len(m.members))
	if m.isDemandMet() {
		return sampled
	}
	left := m.majority()
	if now.Sub(m.noProgressSince) >= sampleAllAfter {
		left = len(m.members)
	}
	choose := func(ok func(e *member) bool) {
		for i, e := range m.members {
			if left == 0 || sampled[i] || e.Learner || e.failures > 0 || !ok(e) {
				continue
			}
			sampled[i] = true
			if len(e.outstanding) == 0 || now.Sub(e.outstanding[0]) < slowSample {
				left--
			}
		}
	}
	choose(func(e *member) bool { return e.Name == m.primary })
	choose(func(e *member) bool { return e.SameDataCentre && m.isCaughtUp(e) })
	choose(m.isCaughtUp)
	choose(func(*member) bool { return true })
	return sampled
}

// isCaughtUp reports whether a member's newest status includes the confirmed position.
func (m *Machine) isCaughtUp(e *member) bool {
	return m.isCounted(e) && e.positionIn(m.term) >= m.confirmed.Position
}

// demandTimeout is how long endpoints are sampled for a demand; no statement waits
// longer.
const demandTimeout = 2 * time.Second

// isDemandMet reports whether no demand is open. A demanded position does not time out:
// until a majority holds it, new writes cannot be confirmed either.
func (m *Machine) isDemandMet() bool {
	if m.isDemandBehind() {
		return false
	}
	return m.now.Sub(m.demandAddedAt) > demandTimeout || !m.confirmed.AsOf.Before(m.demand.AsOf)
}

// isSampleUseful reports whether a new sample of the member may help to meet the
// demand.
func (m *Machine) isSampleUseful(e *member, now time.Time) bool {
	if now.Before(e.noSampleBefore) {
		return false
	}
	if e.sentAt.Before(m.demand.AsOf) {
		return true
	}
	interval := m.periods.Busy
	if now.Sub(m.noProgressSince) >= m.periods.SampleTimeout {
		interval = m.periods.SampleTimeout
	}
	return m.isDemandBehind() && e.positionIn(m.term) < m.demand.Point.Position && now.Sub(e.sentAt) >= interval
}

// expireSamples drops samples that timed out and makes the next one due at once.
func (m *Machine) expireSamples(e *member, now time.Time) {
	for len(e.outstanding) > 0 && now.Sub(e.outstanding[0]) >= m.periods.SampleTimeout {
		e.newConnection = !m.externalTerms || e.answeredAt.Before(e.outstanding[0])
		e.outstanding = e.outstanding[1:]
		e.nextSample = now
	}
}
