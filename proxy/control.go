package proxy

import (
	"context"
	"slices"
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
	// live are the instances that share the endpoints.
	live []core.Instance
}

func newControl(p *Proxy) *control {
	return &control{
		proxy: p, events: make(chan func(time.Time), controlQueue),
		groups: make(map[core.Group]*groupControl),
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
	return max(pause, time.Millisecond)
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
	c.proxy.config.Store(config)
	c.arrange()
	c.proxy.event(core.EventConfig).WithField("version", config.Version).WithField("routes", len(config.Routes)).Info("configuration in force")
}

// list takes the directory's list.
func (c *control) list(endpoints []Endpoint) {
	c.listed = endpoints
	c.arrange()
}

// share takes the live instances.
func (c *control) share(live []core.Instance) {
	slices.Sort(live)
	if slices.Equal(live, c.live) {
		return
	}
	c.proxy.event(core.EventMembers).WithField("instances", live).Info("live instances changed")
	c.live = live
	c.arrange()
}

// arrange hands the endpoints to their groups. Groups come from the directory:
// the configuration only names them.
func (c *control) arrange() {
	config := c.proxy.config.Load()
	if config == nil {
		return
	}
	members := make(map[core.Group][]Endpoint)
	for _, e := range c.listed {
		if _, ok := config.Groups[e.Group]; ok {
			members[e.Group] = append(members[e.Group], e)
		}
	}
	view := make(map[core.Group]*group, len(config.Groups))
	now := c.proxy.now()
	for name, settings := range config.Groups {
		g, ok := c.groups[name]
		if !ok {
			g = newGroupControl(c, name)
			c.groups[name] = g
		}
		g.configure(now, members[name], settings)
		view[name] = g.group
	}
	for name, g := range c.groups {
		if _, ok := view[name]; !ok {
			g.configure(now, nil, GroupSettings{})
			delete(c.groups, name)
		}
	}
	c.proxy.groups.Store(&view)
}
