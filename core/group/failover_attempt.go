package group

import (
	"time"

	"anviltack/core"
)

// phase is the phase of a failover attempt.
type phase string

const (
	phaseAsking    phase = "asking"
	phaseFencing   phase = "fencing"
	phasePromoting phase = "promoting"
)

// attempt is one attempt at a failover.
type attempt struct {
	suspicion
	phase phase
	// term is the term to fence at, 0 while peers are asked for opinions.
	term uint64
	// startedAt is when the phase began.
	startedAt time.Time
	// replies counts the opinions received from peers.
	replies int
	// fenced maps each endpoint fenced at term to the last entry of its log.
	fenced map[core.Endpoint]core.Point
	// refused holds the endpoints that could not be fenced at term.
	refused  map[core.Endpoint]bool
	target   core.Endpoint
	failover Failover
}

// Failover records the course of a failover that this instance ran.
type Failover struct {
	Reason   Reason
	Term     uint64
	Endpoint core.Endpoint
	// BeganAt is when the failed primary last answered, stopped being confirmed or
	// stopped being primary. Each later time is zero until its step is reached.
	BeganAt     time.Time
	SuspectedAt time.Time
	DecidedAt   time.Time
	FencedAt    time.Time
	PromotedAt  time.Time
	// ResumedAt is when a majority first confirmed the new term.
	ResumedAt time.Time
}

// LastFailover returns the last failover that this instance completed.
func (m *Machine) LastFailover() Failover { return m.lastFailover }

// IsRunningFailover reports whether this instance is running a failover.
func (m *Machine) IsRunningFailover() bool { return m.attempt != nil }

// decide advances the current attempt or starts one if the primary has failed.
func (m *Machine) decide(now time.Time) []Action {
	if m.attempt != nil {
		return m.advanceAttempt(now)
	}
	s := m.detectFailure(now)
	if s.reason == ReasonNone {
		m.suspectedSince = time.Time{}
		return nil
	}
	if m.suspectedSince.IsZero() {
		m.suspectedSince = now
	}
	rankDelay := time.Duration(m.rank) * m.periods.RankDelay
	if now.Before(m.noAttemptBefore) || now.Sub(m.suspectedSince) < rankDelay {
		return nil
	}
	return m.startAttempt(now, s)
}

// startAttempt starts an attempt, first by asking peers for their opinions if there are
// any.
func (m *Machine) startAttempt(now time.Time, s suspicion) []Action {
	m.attempt = &attempt{suspicion: s, phase: phaseAsking, startedAt: now}
	m.attempt.failover = Failover{Reason: s.reason, SuspectedAt: m.suspectedSince}
	m.attempt.failover.BeganAt = s.since
	if e := m.member(m.primary); e != nil && (s.reason == ReasonRefused || s.reason == ReasonSilent) {
		m.attempt.failover.BeganAt = e.answeredAt
	}
	if m.instances <= 1 {
		return m.startFencing(now)
	}
	return []Action{{Kind: ActionAskOpinions, Term: m.term}}
}

// advanceAttempt checks the conditions and the timeout of the current phase.
func (m *Machine) advanceAttempt(now time.Time) []Action {
	a := m.attempt
	age := now.Sub(a.startedAt)
	switch a.phase {
	case phaseAsking:
		if m.detectFailure(now).reason == ReasonNone {
			m.endAttempt(now, 0)
		} else if a.replies >= m.instances-1 || age >= m.periods.OpinionTimeout {
			return m.startFencing(now)
		}
	case phaseFencing:
		if m.fence > a.term {
			m.backOff(now)
			return nil
		}
		return m.tryPromote(now)
	case phasePromoting:
		if m.term == a.term && m.primary == a.target {
			return m.complete(now)
		}
		if m.fence > a.term || age >= m.periods.PromoteTimeout {
			m.backOff(now)
		}
	}
	return nil
}

// startFencing fences every voter at the next term.
func (m *Machine) startFencing(now time.Time) []Action {
	a := m.attempt
	a.phase, a.startedAt, a.term = phaseFencing, now, m.fence+1
	if m.externalTerms {
		a.term = m.term + 1
	}
	a.fenced = make(map[core.Endpoint]core.Point)
	a.refused = make(map[core.Endpoint]bool)
	a.failover.DecidedAt, a.failover.Term = now, a.term
	m.raiseFence(a.term)
	m.ownFence = a.term
	var actions []Action
	for _, e := range m.members {
		if e.Learner {
			continue
		}
		actions = append(actions, Action{Kind: ActionFence, Endpoint: e.Name, Term: a.term, Reason: a.reason})
	}
	return actions
}

// FenceDone handles the outcome of a fence: ok with the status after it, or not ok with
// the status of an endpoint that refused it or an empty status.
func (m *Machine) FenceDone(now time.Time, endpoint core.Endpoint, term uint64, s core.Status, ok bool) []Action {
	m.advanceClock(now)
	e, a := m.member(endpoint), m.attempt
	if e == nil {
		return m.evaluate(now)
	}
	m.raiseFence(s.Fence)
	if a != nil && a.phase == phaseFencing && a.term == term {
		if ok && s.Fence == term {
			a.fenced[endpoint] = s.Last
			m.applyStatus(e, a.startedAt, s)
		} else {
			a.refused[endpoint] = true
		}
	}
	return m.evaluate(now)
}

// tryPromote promotes the most advanced endpoint of a fenced majority. It gives up when
// no majority can be fenced any more or the timeout has passed.
func (m *Machine) tryPromote(now time.Time) []Action {
	a := m.attempt
	age := now.Sub(a.startedAt)
	withoutSuspect := len(a.fenced)
	if _, ok := a.fenced[a.suspect]; ok {
		withoutSuspect--
	}
	switch {
	case withoutSuspect >= m.majority():
		return m.promote(now, m.mostAdvanced(a.suspect))
	case len(a.fenced) >= m.majority() && (age >= m.periods.FenceGrace || len(a.fenced)+len(a.refused) == m.listedVoters()):
		return m.promote(now, m.mostAdvanced(""))
	case m.possibleFences(age) < m.majority() || age >= m.periods.FenceTimeout:
		m.backOff(now)
	}
	return nil
}

// possibleFences returns how many endpoints are fenced or may still become so. The
// failed primary stops counting after the grace period if it is not fenced by then.
func (m *Machine) possibleFences(age time.Duration) int {
	a := m.attempt
	n := m.listedVoters() - len(a.refused)
	_, ok := a.fenced[a.suspect]
	if a.suspect != "" && !ok && !a.refused[a.suspect] && age >= m.periods.FenceGrace {
		n--
	}
	return n
}

// mostAdvanced returns the fenced endpoint with the highest last entry, other than
// excluded.
func (m *Machine) mostAdvanced(excluded core.Endpoint) core.Endpoint {
	var best core.Endpoint
	for _, e := range m.members {
		last, ok := m.attempt.fenced[e.Name]
		if !ok || e.Name == excluded {
			continue
		}
		if best == "" || m.attempt.fenced[best].Less(last) || m.attempt.fenced[best] == last && m.isPreferred(e, m.member(best)) {
			best = e.Name
		}
	}
	return best
}

// isPreferred breaks the tie between two equally advanced endpoints: one that is not
// leaving is preferred, then one outside the failed primary's data centre.
func (m *Machine) isPreferred(a, b *member) bool {
	if a.Leaving != b.Leaving {
		return b.Leaving
	}
	return m.sharesSuspectDataCentre(b.Name) && !m.sharesSuspectDataCentre(a.Name)
}

// sharesSuspectDataCentre reports whether an endpoint is in the failed primary's data
// centre.
func (m *Machine) sharesSuspectDataCentre(name core.Endpoint) bool {
	e, s := m.member(name), m.member(m.attempt.suspect)
	return e != nil && s != nil && e.DataCentre == s.DataCentre
}

// promote requests the promotion of the chosen endpoint; it runs at most once per
// attempt.
func (m *Machine) promote(now time.Time, endpoint core.Endpoint) []Action {
	a := m.attempt
	a.phase, a.startedAt, a.target = phasePromoting, now, endpoint
	a.failover.FencedAt, a.failover.Endpoint = now, endpoint
	return []Action{{Kind: ActionPromote, Endpoint: endpoint, Term: a.term}}
}

// PromoteDone handles the outcome of a promotion.
func (m *Machine) PromoteDone(now time.Time, endpoint core.Endpoint, term uint64, ok bool, s core.Status) []Action {
	m.advanceClock(now)
	e, a := m.member(endpoint), m.attempt
	if e == nil || a == nil || a.phase != phasePromoting || a.term != term || a.target != endpoint {
		return m.evaluate(now)
	}
	if !ok {
		m.raiseFence(s.Fence)
		m.backOff(now)
		return m.evaluate(now)
	}
	if term > m.term {
		m.setTerm(term, endpoint)
	}
	m.applyStatus(e, a.startedAt, s)
	return m.evaluate(now)
}

// complete ends the attempt after its promotion succeeded, according to the endpoint's
// answer or to a sample.
func (m *Machine) complete(now time.Time) []Action {
	a := m.attempt
	a.failover.PromotedAt = now
	m.lastFailover = a.failover
	m.attempt = nil
	m.suspectedSince = time.Time{}
	m.makeAllSamplesDue(now)
	return []Action{{Kind: ActionAnnounce, Endpoint: a.target, Term: a.term}}
}

func (m *Machine) makeAllSamplesDue(now time.Time) {
	for _, e := range m.members {
		e.nextSample = now
	}
}

// noteResumed records when the first confirmation after this instance's failover was
// reached.
func (m *Machine) noteResumed(now time.Time) {
	if m.lastFailover.Term == m.term && m.lastFailover.ResumedAt.IsZero() && !m.confirmed.AsOf.IsZero() {
		m.lastFailover.ResumedAt = now
	}
}

// endAttempt ends the attempt and allows no other one for d.
func (m *Machine) endAttempt(now time.Time, d time.Duration) {
	m.attempt = nil
	m.noAttemptBefore = now.Add(d)
}

// PostponeFailover ends an attempt and allows no other one for d, because another
// instance holds the promotion lease.
func (m *Machine) PostponeFailover(now time.Time, d time.Duration) []Action {
	m.advanceClock(now)
	m.endAttempt(now, d)
	m.makeAllSamplesDue(now)
	return m.evaluate(now)
}

// backOff ends a failed attempt. The random delay keeps instances that competed for a
// term from colliding again.
func (m *Machine) backOff(now time.Time) {
	d := minBackoff + time.Duration(m.random.Int64N(int64(m.periods.Backoff)))
	m.endAttempt(now, d)
	m.makeAllSamplesDue(now)
}
