package instance

import (
	"time"

	"github.com/thejerf/suture/v4"

	"anviltack/core"
	"anviltack/core/group"
	"anviltack/core/mark"
	"anviltack/core/patch"
	"anviltack/core/route"
)

// groupControl is the control state of one group; only the control goroutine
// accesses it.
type groupControl struct {
	control *control
	group   *Group
	members map[core.Endpoint]*memberControl
	// machine decides on the primary and on what is confirmed.
	machine *group.Machine
	// nextTick is the latest time for the machine's next tick.
	nextTick time.Time
	// hasWaiting is whether statements wait, as last passed to the machine.
	hasWaiting bool
	// term and primary are the last ones logged; term never decreases.
	term    uint64
	primary core.Endpoint
	// begunTerm and completedTerm are the terms of the last failovers logged as
	// begun and as completed.
	begunTerm     uint64
	completedTerm uint64
	// rankEpoch is the membership epoch at the machine's last rank update.
	rankEpoch uint64
	// published is the state published last.
	published publishedState
	tracker   *mark.Tracker
	// trackedNames are the names of the members in tracker, sorted.
	trackedNames []core.Endpoint
}

// memberControl is the control state of one endpoint.
type memberControl struct {
	member       Member
	config       patch.Endpoint
	requests     chan endpointRequest
	sampler      suture.ServiceToken
	lagEstimator route.LagEstimator
}

func newGroupControl(c *control, name core.Group) *groupControl {
	g := &groupControl{
		control: c,
		group:   &Group{Name: name},
		members: make(map[core.Endpoint]*memberControl),
	}
	in := c.instance
	periods := group.DefaultPeriods()
	periods.Sample = in.settings.Sample
	periods.SampleTimeout = in.settings.Answer
	g.machine = group.New(name, in.settings.Instance, group.WithPeriods(periods))
	g.group.notifyWaiting = func() { c.tryPost(g.statementWaiting) }
	g.resetTracker()
	g.publish()
	return g
}

// configure starts a sampler for every new member and stops those of removed
// members.
func (g *groupControl) configure(now time.Time, config patch.Group) {
	for name, m := range g.members {
		if e, ok := config.Endpoints[name]; !ok || e.Address != m.config.Address {
			g.remove(name, m)
		}
	}
	for name, e := range config.Endpoints {
		m, ok := g.members[name]
		if !ok {
			m = g.add(name, e)
		}
		m.config = e
		m.member.Leaving = e.Leaving
		m.member.DataCentre = e.DataCentre
		m.member.Slots = e.Slots
		m.member.pool.configure(e, g.control.config.Limits.Queue)
	}
	g.resetTracker()
	g.publish()
	g.step(now, func(now time.Time) []group.Action { return g.machine.Configure(now, g.groupMembers()) })
}

func (g *groupControl) add(name core.Endpoint, e patch.Endpoint) *memberControl {
	m := &memberControl{
		config:   e,
		requests: make(chan endpointRequest, samplerQueueSize),
		member:   Member{Name: name, DataCentre: e.DataCentre, pool: newEndpointPool(g.control.instance, name, e), readStats: newReadStats()},
	}
	m.member.pool.reportFailure = func(err error) { g.reportFailure(name, err) }
	m.sampler = g.control.samplers.Add(newSampler(g, name, e.Address, m.requests))
	g.members[name] = m
	return m
}

func (g *groupControl) remove(name core.Endpoint, m *memberControl) {
	_ = g.control.samplers.Remove(m.sampler)
	m.member.pool.close()
	delete(g.members, name)
}

// handleSample handles a status that was requested at sentAt.
func (g *groupControl) handleSample(name core.Endpoint, sentAt, now time.Time, s core.Status) {
	m, ok := g.members[name]
	if !ok {
		return
	}
	g.step(now, func(now time.Time) []group.Action { return g.machine.Sampled(now, name, sentAt, s) })
	if sentAt.Before(m.member.SampledAt) {
		return
	}
	m.member.Status = s
	m.member.SampledAt = sentAt
	g.observeStatus(m, sentAt, now)
	g.publish()
}

// reportFailure reports an error of traffic to an endpoint to the machine.
func (g *groupControl) reportFailure(name core.Endpoint, err error) {
	outcome := trafficOutcome(err)
	g.control.tryPost(func(now time.Time) {
		g.step(now, func(now time.Time) []group.Action { return g.machine.TrafficOutcome(now, name, outcome) })
	})
}

// publishedState is the part of a published state that can change without a
// sample.
type publishedState struct {
	term         uint64
	primary      core.Endpoint
	closed       bool
	availability group.Availability
}

func (g *groupControl) currentState() publishedState {
	term, primary := g.machine.Primary()
	return publishedState{term: term, primary: primary, closed: g.machine.Confirmed().Closed, availability: g.machine.Availability()}
}

// isPublishedStale reports whether a newer state has to be published.
func (g *groupControl) isPublishedStale() bool { return g.currentState() != g.published }

func (g *groupControl) publish() {
	g.published = g.currentState()
	c := g.machine.Confirmed()
	s := &GroupState{
		Term: g.published.term, Primary: g.published.primary, Members: make(map[core.Endpoint]*Member, len(g.members)),
		Confirmation: c, Availability: g.published.availability,
		Confirmed: core.Point{Term: c.Term, Position: c.Position}, AsOf: c.AsOf,
	}
	for name, m := range g.members {
		g.updateFreshness(m)
		member := m.member
		s.Members[name] = &member
	}
	s.Newest, _ = g.tracker.History().Newest()
	g.group.publish(s)
}
