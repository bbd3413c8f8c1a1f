package instance

import (
	"slices"
	"time"

	"github.com/thejerf/suture/v4"

	"anviltack/core"
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
	// term is the highest term in which a primary was seen; it never falls.
	term    uint64
	primary core.Endpoint
	tracker *mark.Tracker
	// tracked are the names of the members that tracker knows, sorted.
	tracked []core.Endpoint
}

// memberControl is the control state of one endpoint.
type memberControl struct {
	member  Member
	config  patch.Endpoint
	wake    chan struct{}
	sampler suture.ServiceToken
	pace    route.Pace
}

func newGroupControl(c *control, name core.Group) *groupControl {
	g := &groupControl{
		control: c,
		group:   &Group{Name: name},
		members: make(map[core.Endpoint]*memberControl),
	}
	g.track()
	g.publish()
	return g
}

// configure starts a sampler for every new member and stops those of members
// that are gone.
func (g *groupControl) configure(config patch.Group) {
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
	wake := make([]chan struct{}, 0, len(g.members))
	for _, m := range g.members {
		wake = append(wake, m.wake)
	}
	g.group.wake.Store(&wake)
	g.publish()
}

func (g *groupControl) add(name core.Endpoint, e patch.Endpoint) *memberControl {
	m := &memberControl{
		config: e,
		wake:   make(chan struct{}, 1),
		member: Member{Name: name, DataCentre: e.DataCentre, links: newLinks(g.control.instance, name, e), load: newLoad()},
	}
	m.sampler = g.control.samplers.Add(newSampler(g, name, e.Address, m.wake))
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
	if !ok || sentAt.Before(m.member.SampledAt) {
		return
	}
	m.member.Status = s
	m.member.SampledAt = sentAt
	if s.Role == core.RolePrimary && s.Fence == s.Term && s.Term > g.term {
		g.term = s.Term
		g.primary = name
		g.control.instance.event(core.EventPrimary).WithField("group", g.group.Name).
			WithField("endpoint", name).WithField("term", s.Term).Info("primary")
	}
	g.observe(m, sentAt, now)
	g.publish()
}

func (g *groupControl) publish() {
	s := &GroupState{Term: g.term, Primary: g.primary, Members: make(map[core.Endpoint]*Member, len(g.members))}
	var positions []uint64
	var times []time.Time
	for name, m := range g.members {
		g.refresh(m)
		member := m.member
		s.Members[name] = &member
		if m.member.Status.Term == g.term && m.member.Status.Fence == g.term && g.term > 0 {
			positions = append(positions, m.member.Status.Received)
			times = append(times, m.member.SampledAt)
		}
	}
	s.Newest, _ = g.tracker.History().Newest()
	majority := len(g.members)/2 + 1
	if len(positions) >= majority {
		slices.Sort(positions)
		slices.SortFunc(times, time.Time.Compare)
		s.Confirmed = core.Point{Term: g.term, Position: positions[len(positions)-majority]}
		s.AsOf = times[len(times)-majority]
	}
	g.group.publish(s)
}
