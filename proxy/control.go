package proxy

import (
	"context"
	"time"

	"anviltack/core"
)

// controlQueue is how many events may wait for the control goroutine.
const controlQueue = 1024

// maxTick is the longest time between two ticks of the control goroutine.
const maxTick = 100 * time.Millisecond

// control owns the state of all groups; only its own goroutine touches its
// fields.
type control struct {
	proxy  *Proxy
	events chan func(now time.Time)
	groups map[core.Group]*groupControl
	// listed are the endpoints of the directory's newest list.
	listed []Endpoint
	// live are the instances that share the endpoints, sorted by name.
	live []Peer
	// seen is how and when each instance was listed last.
	seen map[core.Instance]listing
	// homes are those of each group, worked out for live and the configuration.
	homes map[core.Group][]core.Instance
	// lent tells that a group is served here though this instance is no home.
	lent bool
	// lookedAt is when the groups were arranged last.
	lookedAt time.Time
	// changedAt is when live changed first since the groups were arranged for it, and
	// settledAt when that counts; both are zero while they are.
	changedAt time.Time
	settledAt time.Time
	// unreachedSince is since when no group's majority answers; zero while one
	// does.
	unreachedSince time.Time
}

func newControl(p *Proxy) *control {
	return &control{
		proxy: p, events: make(chan func(time.Time), controlQueue),
		groups: make(map[core.Group]*groupControl),
		seen:   make(map[core.Instance]listing),
	}
}

// String names the service in logs.
func (c *control) String() string { return "control" }

// Serve handles events until the context ends.
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

// tick lets time pass for the groups that are due and returns when to tick next.
func (c *control) tick(now time.Time) time.Duration {
	pause := maxTick
	for _, g := range c.groups {
		if !g.due.After(now) {
			g.tick(now)
		}
		pause = min(pause, g.due.Sub(now))
	}
	if !c.settledAt.IsZero() && !now.Before(c.settledAt) {
		c.rehome()
	}
	if c.lent && now.Sub(c.lookedAt) >= lentFor/2 {
		c.arrange()
	}
	c.noteReach(now)
	return max(pause, time.Millisecond)
}

// isolatedAfter is how long no group may answer before the instance says that it
// is not ready. Probes come each second and two must miss, so it may be short.
const isolatedAfter = 150 * time.Millisecond

// noteReach keeps whether the instance reaches any group. Callers are better off
// at another instance while it reaches none.
func (c *control) noteReach(now time.Time) {
	reached := len(c.groups) == 0
	for _, g := range c.groups {
		alone := g.machine.IsPrimaryWithoutQuorum() && now.Sub(g.machine.Confirmed().AsOf) < 2*alonePeriod
		reached = reached || alone || g.machine.HasQuorum()
	}
	if reached {
		c.unreachedSince = time.Time{}
	} else if c.unreachedSince.IsZero() {
		c.unreachedSince = now
	}
	isolated := !reached && now.Sub(c.unreachedSince) >= isolatedAfter
	if isolated == c.proxy.isolated.Load() {
		return
	}
	c.proxy.isolated.Store(isolated)
	c.proxy.event(core.EventIsolated).WithField("isolated", isolated).Warn("reach of the endpoints changed")
	if isolated {
		go c.proxy.moveCallers()
	}
}

// post hands an event to the control goroutine and waits while its queue is
// full.
func (c *control) post(ctx context.Context, handle func(now time.Time)) {
	select {
	case c.events <- handle:
	case <-ctx.Done():
	}
}

// offer hands over an event that a later one makes up for, unless the queue is
// full.
func (c *control) offer(handle func(now time.Time)) {
	select {
	case c.events <- handle:
	default:
		c.proxy.counts.eventsDropped.Inc(1)
	}
}

// adopt puts a configuration into force unless a newer one is.
func (c *control) adopt(config *Config) {
	if old := c.proxy.config.Load(); old != nil && config.Version <= old.Version {
		return
	}
	config.compareTargets()
	c.proxy.config.Store(config)
	c.homes = nil
	c.arrange()
	c.proxy.event(core.EventConfig).WithField("version", config.Version).WithField("routes", len(config.Routes)).Info("configuration in force")
}

// list takes the directory's list.
func (c *control) list(endpoints []Endpoint) {
	c.listed = endpoints
	c.arrange()
}

// arrange hands the endpoints to their groups. Groups come from the directory:
// the configuration only names them.
func (c *control) arrange() {
	config := c.proxy.config.Load()
	if config == nil || len(c.live) == 0 {
		return
	}
	members := make(map[core.Group][]Endpoint)
	for _, e := range c.listed {
		if _, ok := config.Groups[e.Group]; ok {
			members[e.Group] = append(members[e.Group], e)
		}
	}
	c.findHomes(config)
	view := make(map[core.Group]*group, len(config.Groups))
	endpoints := 0
	now := c.proxy.now()
	c.lent, c.lookedAt = false, now
	for name, settings := range config.Groups {
		if !c.serves(now, name) {
			continue
		}
		g, ok := c.groups[name]
		if !ok {
			g = newGroupControl(c, name)
			c.groups[name] = g
		}
		endpoints += len(members[name])
		g.configure(now, members[name], settings, c.homes[name])
		view[name] = g.group
	}
	for name, g := range c.groups {
		if _, ok := view[name]; !ok {
			g.configure(now, nil, GroupSettings{}, nil)
			delete(c.groups, name)
		}
	}
	c.proxy.groups.Store(&view)
	c.proxy.endpoints.Store(int64(endpoints))
	if len(c.listed) > 0 {
		c.proxy.arranged.Store(true)
	}
}
