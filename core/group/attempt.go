package group

import (
	"time"

	"anviltack/core"
)

// phase is how far an attempt at a failover has come.
type phase string

const (
	phaseAsking    phase = "asking"
	phaseFencing   phase = "fencing"
	phasePromoting phase = "promoting"
)

// attempt is one try at a failover.
type attempt struct {
	suspicion
	phase phase
	// term is the term of the fence, 0 while peers are asked.
	term uint64
	// startedAt is when the phase began.
	startedAt time.Time
	// replies counts the peers that gave an opinion.
	replies int
	// fenced holds the logs of the endpoints fenced at term.
	fenced map[core.Endpoint]core.Point
	// refused holds the endpoints that could not be fenced at term.
	refused map[core.Endpoint]bool
	target  core.Endpoint
	report  Failover
}

// Failover is the course of a failover that this instance ran.
type Failover struct {
	Reason   Reason
	Term     uint64
	Endpoint core.Endpoint
	// BeganAt is when the failed primary last answered, stopped being confirmed
	// or stopped being primary; the times after it are zero until reached.
	BeganAt     time.Time
	SuspectedAt time.Time
	DecidedAt   time.Time
	FencedAt    time.Time
	PromotedAt  time.Time
	// ResumedAt is when a majority first confirmed the new term.
	ResumedAt time.Time
}

// Last returns the last failover that this instance completed.
func (m *Machine) Last() Failover { return m.last }

// Attempting reports whether this instance is running a failover.
func (m *Machine) Attempting() bool { return m.attempt != nil }

// decide starts an attempt, moves it on, or gives it up.
func (m *Machine) decide(now time.Time) []Action {
	if m.attempt != nil {
		return m.proceed(now)
	}
	s := m.suspect(now)
	if s.reason == ReasonNone {
		m.suspectedAt = time.Time{}
		return nil
	}
	if m.suspectedAt.IsZero() {
		m.suspectedAt = now
	}
	headStart := time.Duration(m.rank) * m.periods.RankDelay
	if now.Before(m.holdUntil) || now.Sub(m.suspectedAt) < headStart {
		return nil
	}
	return m.ask(now, s)
}

// ask starts an attempt with the peers' opinions.
func (m *Machine) ask(now time.Time, s suspicion) []Action {
	m.attempt = &attempt{suspicion: s, phase: phaseAsking, startedAt: now}
	m.attempt.report = Failover{Reason: s.reason, SuspectedAt: m.suspectedAt}
	m.attempt.report.BeganAt = s.since
	if e := m.member(m.primary); e != nil && (s.reason == ReasonRefused || s.reason == ReasonSilent) {
		m.attempt.report.BeganAt = e.answeredAt
	}
	if m.instances <= 1 {
		return m.startFencing(now)
	}
	return []Action{{Kind: ActionAskOpinions, Term: m.term}}
}

// proceed checks the conditions and the time limit of the phase.
func (m *Machine) proceed(now time.Time) []Action {
	a := m.attempt
	age := now.Sub(a.startedAt)
	switch a.phase {
	case phaseAsking:
		if m.suspect(now).reason == ReasonNone {
			m.abandon(now, 0)
		} else if a.replies >= m.instances-1 || age >= m.periods.OpinionTimeout {
			return m.startFencing(now)
		}
	case phaseFencing:
		if m.fence > a.term {
			m.backOff(now)
			return nil
		}
		return m.choose(now)
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

// startFencing takes the next term and tells it to every member.
func (m *Machine) startFencing(now time.Time) []Action {
	a := m.attempt
	a.phase, a.startedAt, a.term = phaseFencing, now, m.fence+1
	if m.givenTerms {
		a.term = m.term + 1
	}
	a.fenced = make(map[core.Endpoint]core.Point)
	a.refused = make(map[core.Endpoint]bool)
	a.report.DecidedAt, a.report.Term = now, a.term
	m.raise(a.term)
	m.tried = a.term
	var actions []Action
	for _, e := range m.members {
		actions = append(actions, Action{Kind: ActionFence, Endpoint: e.Name, Term: a.term, Reason: a.reason})
	}
	return actions
}

// Fenced takes the outcome of a fence: ok with the status after it, not ok with
// the status of an endpoint that refused, or with none.
func (m *Machine) Fenced(now time.Time, endpoint core.Endpoint, term uint64, s core.Status, ok bool) []Action {
	m.advance(now)
	e, a := m.member(endpoint), m.attempt
	if e == nil {
		return m.run(now)
	}
	m.raise(s.Fence)
	if a != nil && a.phase == phaseFencing && a.term == term {
		if ok && s.Fence == term {
			a.fenced[endpoint] = s.Last
			m.observe(e, a.startedAt, s)
		} else {
			a.refused[endpoint] = true
		}
	}
	return m.run(now)
}

// choose promotes the most advanced of a fenced majority, if there is one.
func (m *Machine) choose(now time.Time) []Action {
	a := m.attempt
	age := now.Sub(a.startedAt)
	others := len(a.fenced)
	if _, ok := a.fenced[a.suspect]; ok {
		others--
	}
	switch {
	case others >= m.majority():
		return m.promote(now, m.best(a.suspect))
	case len(a.fenced) >= m.majority() && (age >= m.periods.FenceGrace || len(a.fenced)+len(a.refused) == len(m.members)):
		return m.promote(now, m.best(""))
	case m.reachableFences(age) < m.majority() || age >= m.periods.FenceTimeout:
		m.backOff(now)
	}
	return nil
}

// reachableFences returns how many endpoints are fenced or may still be; the
// failed primary is not waited for beyond the grace period.
func (m *Machine) reachableFences(age time.Duration) int {
	a := m.attempt
	n := len(m.members) - len(a.refused)
	_, ok := a.fenced[a.suspect]
	if a.suspect != "" && !ok && !a.refused[a.suspect] && age >= m.periods.FenceGrace {
		n--
	}
	return n
}

// best returns the fenced endpoint with the highest last entry, leaving out one.
func (m *Machine) best(without core.Endpoint) core.Endpoint {
	var best core.Endpoint
	for _, e := range m.members {
		last, ok := m.attempt.fenced[e.Name]
		if !ok || e.Name == without {
			continue
		}
		if best == "" || m.attempt.fenced[best].Less(last) || m.attempt.fenced[best] == last && m.isPreferred(e, m.member(best)) {
			best = e.Name
		}
	}
	return best
}

// isPreferred tells which of two equally advanced endpoints becomes the primary:
// one that stays before one that leaves, and one in another data centre than the
// failed primary before one in the same.
func (m *Machine) isPreferred(a, b *member) bool {
	if a.Leaving != b.Leaving {
		return b.Leaving
	}
	return m.besideSuspect(b.Name) && !m.besideSuspect(a.Name)
}

// besideSuspect reports whether an endpoint shares the failed primary's data
// centre.
func (m *Machine) besideSuspect(name core.Endpoint) bool {
	e, s := m.member(name), m.member(m.attempt.suspect)
	return e != nil && s != nil && e.DataCentre == s.DataCentre
}

// promote asks the chosen endpoint to become primary, once per term.
func (m *Machine) promote(now time.Time, endpoint core.Endpoint) []Action {
	a := m.attempt
	a.phase, a.startedAt, a.target = phasePromoting, now, endpoint
	a.report.FencedAt, a.report.Endpoint = now, endpoint
	return []Action{{Kind: ActionPromote, Endpoint: endpoint, Term: a.term}}
}

// PromoteDone takes the outcome of a promotion.
func (m *Machine) PromoteDone(now time.Time, endpoint core.Endpoint, term uint64, ok bool, s core.Status) []Action {
	m.advance(now)
	e, a := m.member(endpoint), m.attempt
	if e == nil || a == nil || a.phase != phasePromoting || a.term != term || a.target != endpoint {
		return m.run(now)
	}
	if !ok {
		m.raise(s.Fence)
		m.backOff(now)
		return m.run(now)
	}
	if term > m.term {
		m.setTerm(term, endpoint)
	}
	m.observe(e, a.startedAt, s)
	return m.run(now)
}

// complete ends a promotion that succeeded, whether its answer or a sample
// showed it.
func (m *Machine) complete(now time.Time) []Action {
	a := m.attempt
	a.report.PromotedAt = now
	m.last = a.report
	m.attempt = nil
	m.suspectedAt = time.Time{}
	m.hurry(now)
	return []Action{{Kind: ActionAnnounce, Endpoint: a.target, Term: a.term}}
}

// hurry makes a sample of every endpoint due.
func (m *Machine) hurry(now time.Time) {
	for _, e := range m.members {
		e.nextSample = now
	}
}

// resume notes when writes are confirmed again after this instance's failover.
func (m *Machine) resume(now time.Time) {
	if m.last.Term == m.term && m.last.ResumedAt.IsZero() && !m.confirmed.AsOf.IsZero() {
		m.last.ResumedAt = now
	}
}

// abandon ends the attempt and allows none for a while.
func (m *Machine) abandon(now time.Time, d time.Duration) {
	m.attempt = nil
	m.holdUntil = now.Add(d)
}

// Hold gives up an attempt and allows none for a while, because another instance
// has the turn.
func (m *Machine) Hold(now time.Time, d time.Duration) []Action {
	m.advance(now)
	m.abandon(now, d)
	m.hurry(now)
	return m.run(now)
}

// backOff ends the attempt after it failed; the random delay keeps instances
// that competed for a term from doing so again.
func (m *Machine) backOff(now time.Time) {
	d := minBackoff + time.Duration(m.random.Int64N(int64(m.periods.Backoff)))
	m.abandon(now, d)
	m.hurry(now)
}
