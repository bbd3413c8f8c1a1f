package instance

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"

	"anviltack/core"
	"anviltack/core/patch"
)

// controlQueue is how many events may wait for the control goroutine.
const controlQueue = 4096

// Bounds of the time between two ticks of the control goroutine.
const (
	minTick = 200 * time.Microsecond
	maxTick = 25 * time.Millisecond
)

// control owns the state machines; only its own goroutine touches its fields.
type control struct {
	instance *Instance
	samplers *suture.Supervisor
	events   chan func(now time.Time)
	// config is in force; nil before the first one.
	config  *patch.Config
	version uint64
	fleet   *fleet
	groups  map[core.Group]*groupControl
}

func newControl(in *Instance, samplers *suture.Supervisor) *control {
	c := &control{
		instance: in,
		samplers: samplers,
		events:   make(chan func(time.Time), controlQueue),
		groups:   make(map[core.Group]*groupControl),
	}
	c.fleet = newFleet(c)
	return c
}

// Serve handles events until the context ends.
func (c *control) Serve(ctx context.Context) error {
	timer := time.NewTimer(maxTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case handle := <-c.events:
			handle(time.Now())
		case <-timer.C:
		}
		timer.Reset(c.tick(time.Now()))
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
	return max(pause, minTick)
}

// post hands an event to the control goroutine and waits while its queue is full.
func (c *control) post(ctx context.Context, handle func(now time.Time)) {
	select {
	case c.events <- handle:
	case <-ctx.Done():
	}
}

// offer hands an event to the control goroutine unless its queue is full; it is
// for events that a later one makes up for.
func (c *control) offer(handle func(now time.Time)) {
	select {
	case c.events <- handle:
	default:
	}
}

// adopt puts a configuration into force unless a newer one is.
func (c *control) adopt(version uint64, config *patch.Config) {
	if version <= c.version {
		return
	}
	now := time.Now()
	c.version, c.config = version, config
	view := &View{Version: version, Config: config, Groups: make(map[core.Group]*Group, len(config.Groups))}
	for name, group := range config.Groups {
		g, ok := c.groups[name]
		if !ok {
			g = newGroupControl(c, name)
			c.groups[name] = g
		}
		g.configure(now, c.fleet.overlay(group))
		view.Groups[name] = g.group
	}
	for name, g := range c.groups {
		if _, ok := config.Groups[name]; !ok {
			g.configure(now, patch.Group{})
			delete(c.groups, name)
		}
	}
	if c.instance.view.Swap(view).Version == 0 {
		close(c.instance.configured)
	}
	c.instance.event(core.EventConfig).WithField("version", version).Info("configuration in force")
}

// reconfigure hands the configuration in force to the groups again.
func (c *control) reconfigure() {
	for name, g := range c.groups {
		g.configure(time.Now(), c.fleet.overlay(c.config.Groups[name]))
	}
}
