package group

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"anviltack/core"
)

// Machine holds one instance's view of one database group.
type Machine struct {
	name    core.Group
	self    core.Instance
	periods Periods
	random  *rand.Rand
	// members is ordered by name.
	members []*member
	rank    int
	// instances counts the instances that may run a failover, this one
	// included.
	instances int
	waiting   int
	// wanted is what statements wait for that told it; zero when nothing does.
	wanted Want
	// wantedAt is when something was added to wanted last.
	wantedAt time.Time
	// unmetSince is since when nothing that was wanted was shown, and behindSince
	// since when no majority held more of what was wanted.
	unmetSince  time.Time
	behindSince time.Time
	// now is the time of the newest event; it never goes back.
	now time.Time
	// heardSince is where silence starts to count: the start or the end of the
	// instance's own last pause.
	heardSince time.Time
	// term is the highest term that a primary is known to have had, and primary
	// its primary or empty while unknown; termAt is when it was learned.
	term    uint64
	primary core.Endpoint
	termAt  time.Time
	// fence is the highest term seen or tried; fence >= term.
	fence   uint64
	fenceAt time.Time
	// givenTerms tells that fences do not make terms and may be lifted.
	givenTerms bool
	// sparse tells that samples are dear.
	sparse bool
	// forgottenFor is how long a promotion may take effect after fences that a
	// start forgot; zero where fences outlast starts.
	forgottenFor time.Duration
	// settledAt is the newest time before which no fence was given whose promotion
	// is still to come.
	settledAt time.Time
	// tried is the highest term that this instance fenced with.
	tried uint64
	// absentSince is when the group was first seen without a primary; zero
	// while it has one.
	absentSince time.Time
	// suspectedAt is when the present suspicion began; zero without one.
	suspectedAt time.Time
	holdUntil   time.Time
	attempt     *attempt
	confirmed   Confirmation
	// advancedAt is when the confirmed position last rose.
	advancedAt time.Time
	// unconfirmedAt is when the primary was first seen ahead of the confirmed
	// position; zero while it is not.
	unconfirmedAt time.Time
	// closedSince is when the group stopped taking writes; zero while it does.
	closedSince time.Time
	last        Failover
}

// New returns a machine that knows no members yet.
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

// Configure replaces the members and keeps what is known of those that stay.
func (m *Machine) Configure(now time.Time, members []Member) []Action {
	m.advance(now)
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
	return m.run(now)
}

// SetRank sets the instance's rank for the group, 0 acting first, and the number
// of instances that may act.
func (m *Machine) SetRank(rank, instances int) {
	m.rank, m.instances = max(rank, 0), max(instances, 1)
}

// Sampled takes an endpoint's status that was asked for at sentAt, by a sample
// or piggybacked on traffic.
func (m *Machine) Sampled(now time.Time, endpoint core.Endpoint, sentAt time.Time, s core.Status) []Action {
	m.advance(now)
	if e := m.member(endpoint); e != nil {
		e.settle(sentAt)
		m.observe(e, sentAt, s)
	}
	return m.run(now)
}

// SampleFailed takes the failure of a sample asked for at sentAt.
func (m *Machine) SampleFailed(now time.Time, endpoint core.Endpoint, sentAt time.Time, f Failure) []Action {
	m.advance(now)
	if e := m.member(endpoint); e != nil {
		e.settle(sentAt)
		switch {
		case f == Answered:
			// The endpoint lives but did not report; its other answers count.
			e.answered(now)
			e.postponed(now, &m.periods)
		case m.givenTerms && f == FailureTimeout && e.answeredAt.After(sentAt):
			e.postponed(now, &m.periods)
		default:
			e.failed(now, f, &m.periods)
		}
	}
	return m.run(now)
}

// Reaches reports whether a majority of the members answers. A group whose members
// are not known yet is not held to be out of reach.
func (m *Machine) Reaches() bool {
	n := 0
	for _, e := range m.members {
		if e.failures == 0 {
			n++
		}
	}
	return n >= m.majority() || len(m.members) == 0
}

// Hurry makes a sample of every member due, because another source told of a
// change.
func (m *Machine) Hurry(now time.Time) []Action {
	m.advance(now)
	m.hurry(now)
	return m.run(now)
}

// Evidence takes what callers' traffic shows of an endpoint. A timeout may be the
// statement's own, so it only asks for a sample.
func (m *Machine) Evidence(now time.Time, endpoint core.Endpoint, f Failure) []Action {
	m.advance(now)
	if e := m.member(endpoint); e != nil {
		switch f {
		case Answered:
			e.answered(now)
		case FailureTimeout:
			e.nextSample = now
		default:
			e.failed(now, f, &m.periods)
		}
	}
	return m.run(now)
}

// Waiting sets the number of statements that wait for a confirmation.
func (m *Machine) Waiting(now time.Time, n int) []Action {
	m.advance(now)
	if m.waiting == 0 && n > 0 {
		for _, e := range m.members {
			if e.failures == 0 {
				e.nextSample = now
			}
		}
	}
	m.waiting = n
	return m.run(now)
}

// PeerPromoted takes a peer's or the platform's word on a promotion.
func (m *Machine) PeerPromoted(now time.Time, term uint64, endpoint core.Endpoint) []Action {
	m.advance(now)
	if e := m.member(endpoint); e != nil && term > m.term {
		m.raise(term)
		m.setTerm(term, endpoint)
		e.nextSample = now
	}
	return m.run(now)
}

// Want is what statements wait for: a proof as of a time, and a position of a term
// held by a majority.
type Want struct {
	AsOf  time.Time
	Point core.Point
}

// Wanted adds to what statements wait for. Unlike Waiting it asks no more
// endpoints than a majority needs.
func (m *Machine) Wanted(now time.Time, w Want) []Action {
	m.advance(now)
	if m.satisfied() {
		m.unmetSince = now
	}
	m.wantedAt = now
	m.wanted.AsOf = latest(m.wanted.AsOf, w.AsOf)
	if !m.isBehind() {
		m.behindSince = now
	}
	if m.wanted.Point.Less(w.Point) {
		m.wanted.Point = w.Point
	}
	return m.run(now)
}

// Witnessed takes an answer that only a primary gives, sent at sentAt with point
// at the end of its log: it was the primary of its term then and holds the point.
func (m *Machine) Witnessed(now time.Time, endpoint core.Endpoint, sentAt time.Time, point core.Point) []Action {
	m.advance(now)
	e := m.member(endpoint)
	if e == nil {
		return m.run(now)
	}
	e.settle(sentAt)
	if endpoint != m.primary || !e.isPrimary(m.term) {
		return m.run(now)
	}
	e.answered(now)
	e.nextSample = latest(e.nextSample, sentAt.Add(m.periods.Sample))
	if sentAt.After(e.sentAt) {
		e.sentAt = sentAt
	}
	if point.Term == m.term && point.Position > e.held(m.term) {
		e.status.Received, e.status.Last = point.Position, point
	}
	return m.run(now)
}

// Unwitnessed takes an answer by which an endpoint denies that it is primary; a
// sample will tell what it is.
func (m *Machine) Unwitnessed(now time.Time, endpoint core.Endpoint, sentAt time.Time) []Action {
	m.advance(now)
	if e := m.member(endpoint); e != nil {
		e.settle(sentAt)
		e.answered(now)
		if e.status.Role == core.RolePrimary {
			e.status.Role = core.RoleReplica
		}
		e.nextSample = now
	}
	return m.run(now)
}

// Tick lets time pass.
func (m *Machine) Tick(now time.Time) []Action {
	m.advance(now)
	return m.run(now)
}

// NextTick returns when Tick has to be called at the latest.
func (m *Machine) NextTick() time.Time {
	if m.attempt != nil || !m.suspectedAt.IsZero() || !m.absentSince.IsZero() {
		return m.now.Add(activeTick)
	}
	next := m.now.Add(m.periods.Idle)
	if !m.satisfied() {
		next = m.now.Add(m.periods.Busy)
	}
	for _, e := range m.members {
		// One that is past due waits for its turn among the replicas.
		waits := m.sparse && e.nextSample.Before(m.now)
		if len(e.outstanding) == 0 && !waits && e.nextSample.Before(next) {
			next = e.nextSample
		}
	}
	return next
}

// Primary returns the highest term known and its primary, empty while unknown.
func (m *Machine) Primary() (uint64, core.Endpoint) { return m.term, m.primary }

// Status returns an endpoint's newest status and when it was asked for.
func (m *Machine) Status(endpoint core.Endpoint) (core.Status, time.Time, bool) {
	e := m.member(endpoint)
	if e == nil || !e.known {
		return core.Status{}, time.Time{}, false
	}
	return e.status, e.sentAt, true
}

// advance notes the time of an event and discounts the instance's own pause.
func (m *Machine) advance(now time.Time) {
	if m.now.IsZero() {
		m.heardSince = now
	} else if now.Sub(m.now) > m.periods.Pause {
		m.resumed(now)
	}
	if now.After(m.now) {
		m.now = now
	}
}

// resumed restarts every clock that ran while the instance was paused.
func (m *Machine) resumed(now time.Time) {
	m.heardSince = now
	m.suspectedAt = time.Time{}
	m.absentSince = time.Time{}
	m.attempt = nil
	for _, e := range m.members {
		e.refusals = 0
		e.nextSample = now
	}
}

// run draws the conclusions of an event.
func (m *Machine) run(now time.Time) []Action {
	m.confirm(now)
	actions := append(m.decide(now), m.schedule(now)...)
	m.noteClosed(now)
	return actions
}

// observe takes a status into account.
func (m *Machine) observe(e *member, sentAt time.Time, s core.Status) {
	e.answered(m.now)
	m.raise(max(s.Fence, s.Term))
	if e.known && sentAt.Before(e.sentAt) {
		return
	}
	e.status, e.sentAt, e.known = s, sentAt, true
	if s.Term > m.term {
		m.setTerm(s.Term, "")
	}
	if m.givenTerms && m.attempt == nil {
		m.lowerFence()
	}
	if s.Role == core.RolePrimary && s.Term == m.term {
		m.primary = e.Name
	}
}

// raise notes a term seen anywhere.
func (m *Machine) raise(term uint64) {
	if term > m.fence {
		m.fence, m.fenceAt = term, m.now
	}
}

// lowerFence forgets a fence that no endpoint holds any more.
func (m *Machine) lowerFence() {
	highest := m.term
	for _, e := range m.members {
		if e.known {
			highest = max(highest, e.status.Fence)
		}
	}
	m.fence = min(m.fence, highest)
}

// setTerm moves on to a higher term.
func (m *Machine) setTerm(term uint64, primary core.Endpoint) {
	m.term, m.primary = term, primary
	m.termAt = m.now
	m.confirmed = Confirmation{Term: term}
	m.advancedAt = m.now
	m.unconfirmedAt = time.Time{}
	m.absentSince = time.Time{}
	m.suspectedAt = time.Time{}
}

// member returns what is known of an endpoint, nil for a stranger.
func (m *Machine) member(name core.Endpoint) *member {
	for _, e := range m.members {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// majority returns how many members decide.
func (m *Machine) majority() int { return len(m.members)/2 + 1 }
