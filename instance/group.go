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
// touches it.
type groupControl struct {
	control *control
	group   *Group
	members map[core.Endpoint]*memberControl
	// machine decides on the primary and on what is confirmed.
	machine *group.Machine
	// due is when machine has to be told the time at the latest.
	due time.Time
	// waiting is what machine knows of statements that wait.
	waiting bool
	// term and primary are those that were logged last; term never falls.
	term    uint64
	primary core.Endpoint
	// suspected and reported are the terms of the failovers logged last, at
	// their begin and at their end.
	suspected uint64
	reported  uint64
	// epoch is the fleet's when machine was last told its rank.
	epoch uint64
	// shown is what was published last.
	shown   shown
	tracker *mark.Tracker
	// tracked are the names of the members that tracker knows, sorted.
	tracked []core.Endpoint
}

// memberControl is the control state of one endpoint.
type memberControl struct {
	member  Member
	config  patch.Endpoint
	orders  chan order
	sampler suture.ServiceToken
	pace    route.LagEstimator
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
	g.group.hurry = func() { c.offer(g.hurried) }
	g.track()
	g.publish()
	return g
}

// configure starts a sampler for every new member and stops those of members
// that are gone.
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
		m.member.links.configure(e, g.control.config.Limits.Queue)
	}
	g.track()
	g.publish()
	g.step(now, func(now time.Time) []group.Action { return g.machine.Configure(now, g.groupMembers()) })
}

func (g *groupControl) add(name core.Endpoint, e patch.Endpoint) *memberControl {
	m := &memberControl{
		config: e,
		orders: make(chan order, samplerQueue),
		member: Member{Name: name, DataCentre: e.DataCentre, links: newEndpointPool(g.control.instance, name, e), load: newReadStats()},
	}
	m.member.links.reportFailure = func(err error) { g.evidence(name, err) }
	m.sampler = g.control.samplers.Add(newSampler(g, name, e.Address, m.orders))
	g.members[name] = m
	return m
}

func (g *groupControl) remove(name core.Endpoint, m *memberControl) {
	_ = g.control.samplers.Remove(m.sampler)
	m.member.links.close()
	delete(g.members, name)
}

// sampled takes in a status that was asked for at sentAt.
func (g *groupControl) sampled(name core.Endpoint, sentAt, now time.Time, s core.Status) {
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
	g.observe(m, sentAt, now)
	g.publish()
}

// evidence takes in a failure that traffic met at an endpoint.
func (g *groupControl) evidence(name core.Endpoint, err error) {
	f := failureOf(err)
	g.control.offer(func(now time.Time) {
		g.step(now, func(now time.Time) []group.Action { return g.machine.TrafficOutcome(now, name, f) })
	})
}

// shown is the part of a published state that changes without a sample.
type shown struct {
	term         uint64
	primary      core.Endpoint
	closed       bool
	availability group.Availability
}

func (g *groupControl) current() shown {
	term, primary := g.machine.Primary()
	return shown{term: term, primary: primary, closed: g.machine.Confirmed().Closed, availability: g.machine.Availability()}
}

// isStale reports whether the published state has to be replaced.
func (g *groupControl) isStale() bool { return g.current() != g.shown }

func (g *groupControl) publish() {
	g.shown = g.current()
	c := g.machine.Confirmed()
	s := &GroupState{
		Term: g.shown.term, Primary: g.shown.primary, Members: make(map[core.Endpoint]*Member, len(g.members)),
		Confirmation: c, Availability: g.shown.availability,
		Confirmed: core.Point{Term: c.Term, Position: c.Position}, AsOf: c.AsOf,
	}
	for name, m := range g.members {
		g.refresh(m)
		member := m.member
		s.Members[name] = &member
	}
	s.Newest, _ = g.tracker.History().Newest()
	g.group.publish(s)
}
