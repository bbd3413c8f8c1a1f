package group

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"anviltack/core"
)

// Machine is one instance's state of one database group.
type Machine struct {
	name    core.Group
	self    core.Instance
	periods Periods
	random  *rand.Rand
	// members is sorted by name.
	members []*member
	voters  Voters
	// barrier is the end of the primary's log in a status requested at barrierAt, the first
	// one since the voters changed.
	barrier   core.Point
	barrierAt time.Time
	rank      int
	// instances is the number of instances that may run a failover, this one included.
	instances int
	waiting   int
	// demand combines what statements wait for, as added by AddDemand; zero without
	// any.
	demand Demand
	// demandAddedAt is when demand was last added to.
	demandAddedAt time.Time
	// noProgressSince is when the confirmation last advanced, or a demand was added while
	// none was open. positionBehindSince is when the confirmed position last rose, or a
	// demand was added while no demanded position was above it.
	noProgressSince     time.Time
	positionBehindSince time.Time
	// now is the time of the newest event; it never decreases.
	now time.Time
	// listeningSince is the earliest time from which an endpoint's silence counts: the
	// start, or the end of the instance's last pause.
	listeningSince time.Time
	// term is the highest term known to have had a primary, primary is that primary or
	// empty while unknown, and termSeenAt is when term was first seen.
	term       uint64
	primary    core.Endpoint
	termSeenAt time.Time
	// fence is the highest term seen or tried; fence >= term.
	fence       uint64
	fenceSeenAt time.Time
	// externalTerms is true if fences do not define terms and may be lifted.
	externalTerms bool
	// sparseSamples is true if as few samples as possible are to be taken, see
	// WithSparseSamples.
	sparseSamples bool
	// maxPromotionDelay is how long after its fences a promotion may take effect, where
	// endpoints lose their fences in a restart; zero where fences survive restarts.
	maxPromotionDelay time.Duration
	// fencesResolvedAsOf is the newest time for which no fence made before it can still
	// lead to a promotion.
	fencesResolvedAsOf time.Time
	// ownFence is the term of this instance's last fence.
	ownFence uint64
	// absentSince is the time since which the group has had no primary in the highest
	// term seen; zero while it has one.
	absentSince time.Time
	// suspectedSince is the time since which the primary has been suspected; zero while
	// it is not.
	suspectedSince  time.Time
	noAttemptBefore time.Time
	attempt         *attempt
	confirmed       Confirmation
	// advancedAt is when the confirmed position last rose.
	advancedAt time.Time
	// unconfirmedSince is the time since which the primary has been ahead of the
	// confirmed position; zero while it is not.
	unconfirmedSince time.Time
	// closedSince is the time since which the group has not accepted writes; zero while
	// it does.
	closedSince  time.Time
	lastFailover Failover
}

// New returns a machine without members.
func New(name core.Group, self core.Instance, options ...Option) *Machine {
	m := &Machine{name: name, self: self, periods: DefaultPeriods(), instances: 1}
	for _, o := range options {
		o(m)
	}
	if m.random == nil {
		m.random = rand.New(rand.NewPCG(xxhash.Sum64String(string(self)), xxhash.Sum64String(string(name))))
	}
	return m
}

// Name returns the group's name.
func (m *Machine) Name() core.Group { return m.name }

// Configure replaces the members and keeps the state of those that remain.
func (m *Machine) Configure(now time.Time, members []Member) []Action {
	m.advanceClock(now)
	old := m.members
	m.members = nil
	for _, c := range members {
		e := &member{Member: c, nextSample: now}
		for _, o := range old {
			if o.Name == c.Name {
				o.Member = c
				e = o
			}
		}
		m.members = append(m.members, e)
	}
	slices.SortFunc(m.members, func(a, b *member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	if !slices.EqualFunc(m.members, old, func(a, b *member) bool { return a == b }) {
		m.attempt = nil
	}
	return m.evaluate(now)
}

// SetRank sets the instance's rank in the group, where rank 0 starts failovers first,
// and the number of instances that may start one.
func (m *Machine) SetRank(rank, instances int) {
	m.rank, m.instances = max(rank, 0), max(instances, 1)
}

// Sampled handles an endpoint's status that was requested at sentAt, by a sample or
// together with a statement.
func (m *Machine) Sampled(now time.Time, endpoint core.Endpoint, sentAt time.Time, s core.Status) []Action {
	m.advanceClock(now)
	if e := m.member(endpoint); e != nil {
		e.removeOutstanding(sentAt)
		m.applyStatus(e, sentAt, s)
	}
	return m.evaluate(now)
}

// SampleFailed handles the failure of a sample or primary check that was requested at
// sentAt.
func (m *Machine) SampleFailed(now time.Time, endpoint core.Endpoint, sentAt time.Time, o Outcome) []Action {
	m.advanceClock(now)
	if e := m.member(endpoint); e != nil {
		e.removeOutstanding(sentAt)
		switch {
		case o == OutcomeAnswered:
			// The endpoint is alive but could not report its status; its other answers count.
			e.noteAnswer(now)
			e.postponeSample(now, &m.periods)
		case m.externalTerms && o == OutcomeTimeout && e.answeredAt.After(sentAt):
			e.postponeSample(now, &m.periods)
		default:
			e.noteFailure(now, o, &m.periods)
		}
	}
	return m.evaluate(now)
}

// HasQuorum reports whether a majority of the voters answers. It is true while none are
// known.
func (m *Machine) HasQuorum() bool {
	n := m.countVoters(func(e *member) bool { return e.failures == 0 })
	return n >= m.majority() || len(m.members) == 0 && m.voters.Unlisted == 0
}

// HasAnsweredQuorum reports whether a majority of the voters answers and has done so
// before: voters that were not sampled yet do not count.
func (m *Machine) HasAnsweredQuorum() bool {
	n := m.countVoters(func(e *member) bool { return e.failures == 0 && !e.answeredAt.IsZero() })
	return n > 0 && n >= m.majority()
}

// HasLocalQuorum reports whether the voters in the instance's own data centre are a majority
// that answers.
func (m *Machine) HasLocalQuorum() bool {
	return m.countVoters(func(e *member) bool { return e.SameDataCentre && e.failures == 0 }) >= m.majority()
}

// SampleAll makes a sample of every member due, because another source reported a
// change.
func (m *Machine) SampleAll(now time.Time) []Action {
	m.advanceClock(now)
	m.makeAllSamplesDue(now)
	return m.evaluate(now)
}

// TrafficOutcome handles the outcome of a caller's statement at an endpoint. A timeout
// may be due to the statement itself, so it only makes a sample due.
func (m *Machine) TrafficOutcome(now time.Time, endpoint core.Endpoint, o Outcome) []Action {
	m.advanceClock(now)
	if e := m.member(endpoint); e != nil {
		switch o {
		case OutcomeAnswered:
			e.noteAnswer(now)
		case OutcomeTimeout:
			e.nextSample = now
		default:
			e.noteFailure(now, o, &m.periods)
		}
	}
	return m.evaluate(now)
}

// RequestOverdue handles a caller's statement that was sent to the endpoint and is unanswered
// longer than statements commonly take. The endpoint's silence counts from then, and a sample
// finds out whether only the statement is at fault.
func (m *Machine) RequestOverdue(now time.Time, endpoint core.Endpoint, sentAt time.Time) []Action {
	m.advanceClock(now)
	if e := m.member(endpoint); e != nil && e.answeredAt.Before(sentAt) {
		e.noteUnanswered(sentAt)
		e.nextSample = now
	}
	return m.evaluate(now)
}

// SetWaiting sets the number of statements that wait for a confirmation.
func (m *Machine) SetWaiting(now time.Time, n int) []Action {
	m.advanceClock(now)
	if m.waiting == 0 && n > 0 {
		for _, e := range m.members {
			if e.failures == 0 {
				e.nextSample = now
			}
		}
	}
	m.waiting = n
	return m.evaluate(now)
}

// PromotionAnnounced handles a promotion that a peer or the platform reported.
func (m *Machine) PromotionAnnounced(now time.Time, term uint64, endpoint core.Endpoint) []Action {
	m.advanceClock(now)
	if e := m.member(endpoint); e != nil && term > m.term {
		m.raiseFence(term)
		m.setTerm(term, endpoint)
		e.nextSample = now
	}
	return m.evaluate(now)
}

// Demand is what waiting statements require of the group: a confirmation with at least
// this AsOf, and a confirmed position of at least Point in its term.
type Demand struct {
	AsOf  time.Time
	Point core.Point
}

// AddDemand adds to the demand of waiting statements. Unlike SetWaiting it causes
// samples only of as many endpoints as a majority needs.
func (m *Machine) AddDemand(now time.Time, d Demand) []Action {
	m.advanceClock(now)
	if m.isDemandMet() {
		m.noProgressSince = now
	}
	m.demandAddedAt = now
	m.demand.AsOf = latest(m.demand.AsOf, d.AsOf)
	if !m.isDemandBehind() {
		m.positionBehindSince = now
	}
	if m.demand.Point.Less(d.Point) {
		m.demand.Point = d.Point
	}
	return m.evaluate(now)
}

// PrimaryCheckPassed handles an answer that only a primary gives, requested at sentAt,
// with point at the end of its log: the endpoint was the primary of its term at that
// time and has the log up to point.
func (m *Machine) PrimaryCheckPassed(now time.Time, endpoint core.Endpoint, sentAt time.Time, point core.Point) []Action {
	m.advanceClock(now)
	e := m.member(endpoint)
	if e == nil {
		return m.evaluate(now)
	}
	e.removeOutstanding(sentAt)
	if endpoint != m.primary || !e.isPrimary(m.term) {
		return m.evaluate(now)
	}
	e.noteAnswer(now)
	e.nextSample = latest(e.nextSample, sentAt.Add(m.periods.Sample))
	if sentAt.After(e.sentAt) {
		e.sentAt = sentAt
	}
	if point.Term == m.term {
		m.noteLogEnd(sentAt, point.Position)
		if point.Position > e.positionIn(m.term) {
			e.status.Received, e.status.Last = point.Position, point
		}
	}
	return m.evaluate(now)
}

// PrimaryCheckRejected handles an answer by which an endpoint states that it is not the
// primary. Its actual role comes with the next sample, which is due at once.
func (m *Machine) PrimaryCheckRejected(now time.Time, endpoint core.Endpoint, sentAt time.Time) []Action {
	m.advanceClock(now)
	if e := m.member(endpoint); e != nil {
		e.removeOutstanding(sentAt)
		e.noteAnswer(now)
		if e.status.Role == core.RolePrimary {
			e.status.Role = core.RoleReplica
		}
		e.nextSample = now
	}
	return m.evaluate(now)
}

// Tick handles the passing of time without another event.
func (m *Machine) Tick(now time.Time) []Action {
	m.advanceClock(now)
	return m.evaluate(now)
}

// NextTick returns the latest time at which Tick has to be called.
func (m *Machine) NextTick() time.Time {
	if m.attempt != nil || !m.suspectedSince.IsZero() || !m.absentSince.IsZero() {
		return m.now.Add(activeTick)
	}
	next := m.now.Add(m.periods.MaxTick)
	if !m.isDemandMet() {
		next = m.now.Add(m.periods.Busy)
	}
	for _, e := range m.members {
		// A replica that is past due waits until dueSamples selects it.
		waits := m.sparseSamples && e.nextSample.Before(m.now)
		if len(e.outstanding) == 0 && !waits && e.nextSample.Before(next) {
			next = e.nextSample
		}
	}
	return next
}

// Primary returns the highest term known and its primary, which is empty while unknown.
func (m *Machine) Primary() (uint64, core.Endpoint) { return m.term, m.primary }

// Status returns an endpoint's newest status and when it was requested.
func (m *Machine) Status(endpoint core.Endpoint) (core.Status, time.Time, bool) {
	e := m.member(endpoint)
	if e == nil || !e.known {
		return core.Status{}, time.Time{}, false
	}
	return e.status, e.sentAt, true
}

// advanceClock sets the time of an event and detects a pause of the instance's own
// process.
func (m *Machine) advanceClock(now time.Time) {
	if m.now.IsZero() {
		m.listeningSince = now
	} else if now.Sub(m.now) > m.periods.PauseThreshold {
		m.resetAfterPause(now)
	}
	if now.After(m.now) {
		m.now = now
	}
}

// resetAfterPause restarts every timeout that ran while the instance's process was
// suspended.
func (m *Machine) resetAfterPause(now time.Time) {
	m.listeningSince = now
	m.suspectedSince = time.Time{}
	m.absentSince = time.Time{}
	m.attempt = nil
	for _, e := range m.members {
		e.refusals = 0
		e.nextSample = now
	}
}

// evaluate updates the confirmation after an event and returns the actions that follow.
func (m *Machine) evaluate(now time.Time) []Action {
	m.confirm(now)
	actions := append(m.decide(now), m.schedule(now)...)
	m.updateClosedSince(now)
	return actions
}

// applyStatus updates the state from an endpoint's status.
func (m *Machine) applyStatus(e *member, sentAt time.Time, s core.Status) {
	e.noteAnswer(m.now)
	m.raiseFence(max(s.Fence, s.Term))
	if e.known && sentAt.Before(e.sentAt) {
		return
	}
	e.status, e.sentAt, e.known = s, sentAt, true
	if s.Term > m.term {
		m.setTerm(s.Term, "")
	}
	if m.externalTerms && m.attempt == nil {
		m.lowerFence()
	}
	if s.Role == core.RolePrimary && s.Term == m.term {
		m.primary = e.Name
		m.noteLogEnd(sentAt, e.positionIn(m.term))
	}
}

// raiseFence raises the highest term seen.
func (m *Machine) raiseFence(term uint64) {
	if term > m.fence {
		m.fence, m.fenceSeenAt = term, m.now
	}
}

// lowerFence lowers the fence to the highest that an endpoint still reports.
func (m *Machine) lowerFence() {
	highest := m.term
	for _, e := range m.members {
		if e.known {
			highest = max(highest, e.status.Fence)
		}
	}
	m.fence = min(m.fence, highest)
}

// setTerm changes to a higher term and resets the state of the previous one.
func (m *Machine) setTerm(term uint64, primary core.Endpoint) {
	m.term, m.primary = term, primary
	m.termSeenAt = m.now
	m.confirmed = Confirmation{Term: term}
	m.advancedAt = m.now
	m.unconfirmedSince = time.Time{}
	m.absentSince = time.Time{}
	m.suspectedSince = time.Time{}
}

// member returns the state of an endpoint, nil if it is not a member.
func (m *Machine) member(name core.Endpoint) *member {
	for _, e := range m.members {
		if e.Name == name {
			return e
		}
	}
	return nil
}
