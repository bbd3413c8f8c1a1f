package group

import "time"

// isBusy reports whether something waits for the next confirmation: a statement
// or the group itself, at the start of a term.
func (m *Machine) isBusy() bool {
	return m.waiting > 0 || !m.sparse && m.primary != "" && m.confirmed.AsOf.IsZero()
}

// samplePeriod returns the time between two samples of one endpoint.
func (m *Machine) samplePeriod() time.Duration {
	if m.isBusy() {
		return m.periods.Busy
	}
	if m.givenTerms && m.isTroubled() {
		return min(m.periods.Sample, m.periods.SampleTimeout)
	}
	return m.periods.Sample
}

// isTroubled reports whether a new primary may be about to come.
func (m *Machine) isTroubled() bool {
	e := m.member(m.primary)
	return e == nil || e.failures > 0 || m.fence > m.term
}

// schedule returns the samples that are due.
func (m *Machine) schedule(now time.Time) []Action {
	var actions []Action
	for _, e := range m.members {
		m.expire(e, now)
	}
	asked := m.quorum(now)
	due := m.due(now)
	for i, e := range m.members {
		wanted := asked[i] && m.lacks(e, now)
		if len(e.outstanding) > 0 || !due[i] && !wanted {
			continue
		}
		period := m.samplePeriod()
		if e.failures > 0 {
			period = m.failedPeriod()
		}
		e.sampled(now)
		e.nextSample = now.Add(period)
		actions = append(actions, Action{Kind: m.question(e), Endpoint: e.Name, Fresh: e.fresh})
		e.fresh = false
	}
	return actions
}

// slowSample is how long a sample may take before another endpoint is asked as
// well for what statements wait for: some times the work of one statement.
const slowSample = 60 * time.Millisecond

// unmetFor is how long a majority may be asked in vain before all are: a replica
// that answers but receives nothing must not hold up what another one has.
const unmetFor = 25 * time.Millisecond

// quorum returns which members are asked for what statements wait for: a majority
// of those that answer, the primary first, and one more for each that is slow.
func (m *Machine) quorum(now time.Time) []bool {
	asked := make([]bool, len(m.members))
	if m.satisfied() {
		return asked
	}
	left := m.majority()
	if now.Sub(m.unmetSince) >= unmetFor {
		left = len(m.members)
	}
	choose := func(ok func(e *member) bool) {
		for i, e := range m.members {
			if left == 0 || asked[i] || e.failures > 0 || !ok(e) {
				continue
			}
			asked[i] = true
			if len(e.outstanding) == 0 || now.Sub(e.outstanding[0]) < slowSample {
				left--
			}
		}
	}
	choose(func(e *member) bool { return e.Name == m.primary })
	choose(func(e *member) bool { return e.Near && m.keepsUp(e) })
	choose(m.keepsUp)
	choose(func(*member) bool { return true })
	return asked
}

// keepsUp reports whether a member held what a majority holds when it last told.
func (m *Machine) keepsUp(e *member) bool {
	return m.follows(e) && e.held(m.term) >= m.confirmed.Position
}

// wantedFor is how long what statements wait for is asked for; none waits longer.
const wantedFor = 2 * time.Second

// satisfied reports whether nothing is waited for. A position stays wanted: until a
// majority shows it, new writes would wait in vain as well.
func (m *Machine) satisfied() bool {
	if m.isBehind() {
		return false
	}
	return m.now.Sub(m.wantedAt) > wantedFor || !m.confirmed.AsOf.Before(m.wanted.AsOf)
}

// lacks reports whether a new sample of the member may bring what is waited for.
func (m *Machine) lacks(e *member, now time.Time) bool {
	if now.Before(e.heldUntil) {
		return false
	}
	if e.sentAt.Before(m.wanted.AsOf) {
		return true
	}
	pause := m.periods.Busy
	if now.Sub(m.unmetSince) >= m.periods.SampleTimeout {
		pause = m.periods.SampleTimeout
	}
	return m.isBehind() && e.held(m.term) < m.wanted.Point.Position && now.Sub(e.sentAt) >= pause
}

// expire gives up samples without an answer and repeats them at once.
func (m *Machine) expire(e *member, now time.Time) {
	for len(e.outstanding) > 0 && now.Sub(e.outstanding[0]) >= m.periods.SampleTimeout {
		e.fresh = !m.givenTerms || e.answeredAt.Before(e.outstanding[0])
		e.outstanding = e.outstanding[1:]
		e.nextSample = now
	}
}
