package instance

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"

	"anviltack/core"
	"anviltack/core/patch"
)

// controlQueueSize is how many events may be queued for the control goroutine.
const controlQueueSize = 4096

// Bounds of the time between two ticks of the control goroutine.
const (
	minTick = 200 * time.Microsecond
	maxTick = 25 * time.Millisecond
)

// control owns the state machines; only its own goroutine accesses its fields.
type control struct {
	instance *Instance
	samplers *suture.Supervisor
	events   chan func(now time.Time)
	// config is the configuration in force; nil before the first one.
	config     *patch.Config
	version    uint64
	membership *membership
	groups     map[core.Group]*groupControl
}

func newControl(in *Instance, samplers *suture.Supervisor) *control {
	c := &control{
		instance: in,
		samplers: samplers,
		events:   make(chan func(time.Time), controlQueueSize),
		groups:   make(map[core.Group]*groupControl),
	}
	c.membership = newMembership(c)
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

// tick runs the ticks of the groups that are due and returns the delay until the
// next one.
func (c *control) tick(now time.Time) time.Duration {
	delay := maxTick
	for _, g := range c.groups {
		if !g.nextTick.After(now) {
			g.tick(now)
		}
		delay = min(delay, g.nextTick.Sub(now))
	}
	return max(delay, minTick)
}

// post queues an event for the control goroutine and blocks while the queue is
// full.
func (c *control) post(ctx context.Context, handle func(now time.Time)) {
	select {
	case c.events <- handle:
	case <-ctx.Done():
	}
}

// tryPost queues an event for the control goroutine, or drops it if the queue is
// full; it is for events that a later one replaces.
func (c *control) tryPost(handle func(now time.Time)) {
	select {
	case c.events <- handle:
	default:
	}
}

// adopt puts a configuration into force unless that version or a newer one
// already is.
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
		g.configure(now, c.membership.markLeaving(group))
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

// reconfigure applies the configuration in force to the groups again.
func (c *control) reconfigure() {
	for name, g := range c.groups {
		g.configure(time.Now(), c.membership.markLeaving(c.config.Groups[name]))
	}
}
