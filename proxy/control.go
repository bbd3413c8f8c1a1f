package proxy

import (
	"context"
	"maps"
	"time"

	"anviltack/core"
	"anviltack/core/home"
	"anviltack/core/reach"
)

// controlQueue is how many events may wait for the control goroutine.
const controlQueue = 1024

// maxTick is the longest time between two ticks of the control goroutine.
const maxTick = 100 * time.Millisecond

// control owns the state of all groups. Only the control goroutine accesses its fields.
type control struct {
	proxy  *Proxy
	events chan func(now time.Time)
	groups map[core.Group]*groupControl
	// voters is what is known of the voters of each group.
	voters map[core.Group]*voters
	// listedEndpoints is the newest list of the directory.
	listedEndpoints []Endpoint
	// livePeers are the instances that share the endpoints, sorted by name.
	livePeers []Peer
	// lastListed holds the last listed entry of each instance and when it was listed.
	lastListed map[core.Instance]listedPeer
	// homes are the home instances of each group, computed from livePeers and the
	// configuration.
	homes map[core.Group][]core.Instance
	// reportedHomes are the homes that the last line of core.EventHomes is about.
	reportedHomes map[core.Group][]core.Instance
	// handover divides the endpoints' connections while homes move.
	handover home.Handover
	// homePeers are the other home instances of each group that accept relayed sessions.
	// A new map replaces it whenever homes are assigned.
	homePeers map[core.Group][]Peer
	// monitored is the group that this instance connects to although it is home of none.
	monitored core.Group
	// groupsUpdatedAt is when updateGroups last ran.
	groupsUpdatedAt time.Time
	// peersChangedAt is when livePeers first changed since homes were last assigned,
	// and reassignAt is when they are assigned anew; both are zero if livePeers has not
	// changed since.
	peersChangedAt time.Time
	reassignAt     time.Time
	// overdue is true once a request is overdue, until all endpoints have responded again.
	overdue bool
	// unreachableSince is the time since which no group has had a reachable majority;
	// zero while one has.
	unreachableSince time.Time
	// era is the store's newest era that was noted; it is valid if eraKnown is set.
	era      uint64
	eraKnown bool
}

func newControl(p *Proxy) *control {
	return &control{
		proxy: p, events: make(chan func(time.Time), controlQueue),
		groups:     make(map[core.Group]*groupControl),
		voters:     make(map[core.Group]*voters),
		lastListed: make(map[core.Instance]listedPeer),
	}
}

// String returns the name of the service for logs.
func (c *control) String() string { return "control" }

// Serve handles events until ctx ends.
func (c *control) Serve(ctx context.Context) error {
	timer := time.NewTimer(maxTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case handle := <-c.events:
			handle(c.proxy.now())
		case <-timer.C:
		}
		timer.Reset(c.tick(c.proxy.now()))
	}
}

// tick runs the groups that are due and returns the delay until the next tick.
func (c *control) tick(now time.Time) time.Duration {
	delay := maxTick
	c.noteEra()
	for _, g := range c.groups {
		if !g.nextTickAt.After(now) {
			g.tick(now)
		}
		delay = min(delay, g.nextTickAt.Sub(now))
	}
	if !c.reassignAt.IsZero() && !now.Before(c.reassignAt) {
		c.reassignHomes()
	}
	if now.Sub(c.groupsUpdatedAt) >= groupUpdateInterval {
		c.updateGroups(now)
	}
	c.updateIsolation(now)
	return max(delay, time.Millisecond)
}

// isolationDelay is how long no group may be reachable before the instance reports
// that it is not ready. Readiness is probed every second and two probes must fail, so
// the delay may be short.
const isolationDelay = 150 * time.Millisecond

// updateIsolation updates whether the instance is isolated: while it reaches no group,
// callers should use another instance.
func (c *control) updateIsolation(now time.Time) {
	c.updatePartitioned(now)
	anyLost := false
	for _, g := range c.groups {
		g.updateLost(now)
		anyLost = anyLost || g.group.lost.Load()
	}
	reachable := len(c.groups) == 0
	for _, g := range c.groups {
		// Once a group is lost, one that was added since and not sampled yet proves nothing.
		reachable = reachable || g.isReached(now, anyLost || !c.unreachableSince.IsZero())
	}
	if reachable {
		c.unreachableSince = time.Time{}
	} else if c.unreachableSince.IsZero() {
		c.unreachableSince = now
	}
	isolated := !reachable && now.Sub(c.unreachableSince) >= isolationDelay
	if isolated == c.proxy.isolated.Load() {
		return
	}
	c.proxy.isolated.Store(isolated)
	c.proxy.event(core.EventIsolated).WithField("isolated", isolated).Warn("isolation changed")
	if isolated {
		go c.proxy.endIdleWhileIsolated()
	}
}

// updatePartitioned updates whether the instance is partitioned from everything outside its
// data centre.
func (c *control) updatePartitioned(now time.Time) {
	if !c.overdue {
		return
	}
	var list []reach.Endpoint
	c.overdue = false
	for _, g := range c.groups {
		for _, e := range g.endpoints {
			r := e.responses()
			list = append(list, r)
			c.overdue = c.overdue || !r.UnansweredSince.IsZero()
		}
	}
	partitioned := reach.IsPartitioned(now, core.DataCentre(c.proxy.settings.DataCentre), list)
	if partitioned == c.proxy.partitioned.Load() {
		return
	}
	c.proxy.partitioned.Store(partitioned)
	c.proxy.event(core.EventIsolated).WithField("partitioned", partitioned).Warn("reach of other data centres changed")
	if partitioned {
		// A single answer disproves it.
		c.sampleAll(now)
	}
}

// sampleAll requests the status of all endpoints.
func (c *control) sampleAll(now time.Time) {
	for _, g := range c.groups {
		g.perform(now, g.machine.SampleAll(now))
	}
}

// post passes an event to the control goroutine and waits while its queue is full.
func (c *control) post(ctx context.Context, handle func(now time.Time)) {
	select {
	case c.events <- handle:
	case <-ctx.Done():
	}
}

// tryPost passes an event to the control goroutine, or drops it if the queue is full. It
// is for events that later ones replace.
func (c *control) tryPost(handle func(now time.Time)) {
	select {
	case c.events <- handle:
	default:
		c.proxy.counts.eventsDropped.Inc(1)
	}
}

// applyConfig puts a configuration into force unless one of that version or newer is.
func (c *control) applyConfig(config *Config) {
	if old := c.proxy.config.Load(); old != nil && config.Version <= old.Version {
		return
	}
	config.setShortestTargets()
	config.indexKeys()
	config.setWeights()
	c.proxy.config.Store(config)
	c.homes = nil
	c.reconcileGroups()
	c.proxy.endDeniedSessions(config)
	c.proxy.event(core.EventConfig).WithField("version", config.Version).WithField("routes", len(config.Routes)).Info("configuration in force")
}

// updateEndpoints applies a new list of the directory.
func (c *control) updateEndpoints(endpoints []Endpoint) {
	before := c.slots()
	c.listedEndpoints = endpoints
	if !maps.Equal(before, c.slots()) {
		c.homes = nil
	}
	c.reconcileGroups()
}

// reconcileGroups passes the listed endpoints to their groups, and adds and removes
// groups. The endpoints of a group are those that the directory lists for it: the
// configuration only names the group.
func (c *control) reconcileGroups() {
	config := c.proxy.config.Load()
	if config == nil || len(c.livePeers) == 0 {
		return
	}
	members := make(map[core.Group][]Endpoint)
	for _, e := range c.listedEndpoints {
		if _, ok := config.Groups[e.Group]; ok {
			members[e.Group] = append(members[e.Group], e)
		}
	}
	c.assignHomes(config)
	next := &placement{
		groups: make(map[core.Group]*group, len(config.Groups)), isHome: make(map[core.Group]bool),
		homes: c.homePeers, monitored: c.monitored,
		complete: len(c.listedEndpoints) > 0 || c.proxy.placement.Load().complete,
	}
	endpoints := 0
	now := c.proxy.now()
	for name, settings := range config.Groups {
		if !c.shouldConnect(now, name) {
			continue
		}
		g, ok := c.groups[name]
		if !ok {
			g = newGroupControl(c, name)
			c.groups[name] = g
		}
		endpoints += len(members[name])
		g.configure(now, members[name], settings, c.homes[name])
		next.groups[name] = g.group
		next.isHome[name] = c.isHome(name)
		g.updateNonHome(now, next.isHome[name])
	}
	for name, g := range c.groups {
		if _, ok := next.groups[name]; !ok {
			g.configure(now, nil, GroupSettings{}, nil)
			delete(c.groups, name)
		}
	}
	c.proxy.placement.Store(next)
	c.proxy.endpointCount.Store(int64(endpoints))
}
