// Package pool decides which connections to one endpoint an instance opens,
// reuses, tests and closes.
package pool

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	defaultTestAfter   = 5 * time.Second
	defaultIdleTimeout = time.Minute
	testTimeout        = 500 * time.Millisecond
	openTimeout        = 3 * time.Second
	openRetryDelay     = 100 * time.Millisecond
	maxOpening         = 2
	opensPerSecond     = 20
	openBurst          = 4
	// minConnections stay open however long they are idle.
	minConnections = 1
)

// Pool holds the states of one instance's connections to one endpoint. It opens no
// sockets: its methods return the actions to perform, and the caller reports the results.
type Pool struct {
	share *Share
	// connections holds all connections that are not closed, in the order in which they
	// were opened; those over the limit of the share are closed as soon as they are not in use.
	connections []*connection
	lastID      uint64
	openLimiter *rate.Limiter
	// nextOpen is the earliest time for the next opening after a failed one.
	nextOpen    time.Time
	testAfter   time.Duration
	idleTimeout time.Duration
}

// Option configures a Pool.
type Option func(*Pool)

// WithTestAfter sets the idle time after which a connection is tested before it is used.
func WithTestAfter(d time.Duration) Option {
	return func(p *Pool) { p.testAfter = d }
}

// WithGrowDelay sets how long the share waits before it grows, so that other
// instances can first close the connections over their new shares.
func WithGrowDelay(d time.Duration) Option {
	return func(p *Pool) { p.share.growDelay = d }
}

// WithControlConnections reserves n connections of the instance's share for requests that
// do not come from callers; the pool does not use them.
func WithControlConnections(n int) Option {
	return func(p *Pool) { p.share.controlConnections = n }
}

// New returns an empty pool for an endpoint that accepts maxConnections connections
// from all instances together.
func New(maxConnections int, options ...Option) *Pool {
	p := &Pool{
		share:       NewShare(maxConnections, defaultGrowDelay),
		openLimiter: rate.NewLimiter(opensPerSecond, openBurst),
		testAfter:   defaultTestAfter,
		idleTimeout: defaultIdleTimeout,
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// SetInstances sets the number of live instances, this one included.
func (p *Pool) SetInstances(now time.Time, instances int) []Action {
	p.share.SetInstances(now, instances)
	return p.trim(now)
}

// Resize sets the number of connections that the endpoint accepts.
func (p *Pool) Resize(now time.Time, maxConnections, instances int) []Action {
	if maxConnections == p.share.maxConnections {
		return nil
	}
	p.share.maxConnections = maxConnections
	return p.SetInstances(now, instances)
}

// Acquire marks an idle connection that needs no test as busy and returns it.
func (p *Pool) Acquire(now time.Time, w Work) (uint64, bool) {
	for i := len(p.connections) - 1; i >= 0; i-- {
		c := p.connections[i]
		if c.state == StateIdle && !p.needsTest(now, c) {
			c.transition(now, StateBusy)
			c.work = w
			return c.id, true
		}
	}
	return 0, false
}

// SetDeadline records that a statement was sent and when its answer is overdue; a
// zero deadline records that the answer is complete.
func (p *Pool) SetDeadline(now time.Time, id uint64, w Work, deadline time.Time) {
	c := p.find(id)
	if c == nil || c.state != StateBusy && c.state != StateSuspect {
		return
	}
	c.transition(now, StateBusy)
	c.work, c.deadline = w, deadline
}

// Release ends the work on a connection.
func (p *Pool) Release(now time.Time, id uint64, outcome Outcome) []Action {
	c := p.find(id)
	if c == nil {
		return nil
	}
	switch {
	case !outcome.Clean || c.state != StateBusy && c.state != StateSuspect:
		return p.close(c)
	case len(p.connections) > p.share.Limit(now):
		return p.close(c)
	case outcome.NeedsReset:
		c.transition(now, StateResetting)
		c.deadline = now.Add(testTimeout)
		return []Action{{ActionReset, id}}
	default:
		c.transition(now, StateIdle)
		return p.trim(now)
	}
}

// Opened records that a connection was opened.
func (p *Pool) Opened(now time.Time, id uint64) []Action {
	c := p.find(id)
	if c == nil {
		return []Action{{ActionClose, id}}
	}
	if c.state == StateOpening {
		c.transition(now, StateIdle)
	}
	return p.trim(now)
}

// OpenFailed records that a connection could not be opened; tooMany is set if the
// endpoint refused it because it has as many connections as it accepts.
func (p *Pool) OpenFailed(now time.Time, id uint64, tooMany bool) {
	if c := p.find(id); c != nil {
		p.close(c)
	}
	if tooMany {
		p.share.Refused(now, len(p.connections))
	}
	p.nextOpen = now.Add(openRetryDelay)
}

// Tested records the result of a test or a reset.
func (p *Pool) Tested(now time.Time, id uint64, ok bool) []Action {
	c := p.find(id)
	if c == nil {
		return nil
	}
	if !ok || c.state != StateTesting && c.state != StateResetting {
		return p.close(c)
	}
	c.mustTest = false
	c.transition(now, StateIdle)
	return p.trim(now)
}

// Lost records that the endpoint closed a connection.
func (p *Pool) Lost(id uint64) {
	if c := p.find(id); c != nil {
		p.close(c)
	}
}

// Maintain handles overdue answers and returns the connections to test or open so that
// waiting statements can run. If none wait and no connection is suspect, it closes
// connections that are over the limit or have been idle for too long.
func (p *Pool) Maintain(now time.Time, waiting int) []Action {
	out := p.expire(now)
	if waiting == 0 && !p.hasSuspect() {
		return append(out, p.closeIdle(now)...)
	}
	available := 0
	for _, c := range p.connections {
		if c.state == StateIdle && p.needsTest(now, c) {
			c.transition(now, StateTesting)
			c.deadline = now.Add(testTimeout)
			out = append(out, Action{ActionTest, c.id})
		}
		if c.state == StateIdle || c.state == StateOpening || c.state == StateTesting || c.state == StateResetting {
			available++
		}
	}
	if p.hasSuspect() {
		waiting++
	}
	for available < waiting && p.mayOpen(now) {
		p.lastID++
		c := &connection{id: p.lastID}
		c.transition(now, StateOpening)
		c.deadline = now.Add(openTimeout)
		p.connections = append(p.connections, c)
		out = append(out, Action{ActionOpen, c.id})
		available++
	}
	return out
}

// Count returns how many connections are in the state.
func (p *Pool) Count(s State) int {
	n := 0
	for _, c := range p.connections {
		if c.state == s {
			n++
		}
	}
	return n
}

// Size returns how many connections are open or being opened.
func (p *Pool) Size() int { return len(p.connections) }

// Limit returns how many connections may be open.
func (p *Pool) Limit(now time.Time) int { return p.share.Limit(now) }

// State returns the state of a connection; StateClosed if the pool does not hold it.
func (p *Pool) State(id uint64) State {
	if c := p.find(id); c != nil {
		return c.state
	}
	return StateClosed
}

// expire handles overdue answers: a busy connection becomes suspect, one that is being
// opened, tested or reset is closed.
func (p *Pool) expire(now time.Time) []Action {
	var out []Action
	for i := len(p.connections) - 1; i >= 0; i-- {
		c := p.connections[i]
		if c.deadline.IsZero() || now.Before(c.deadline) {
			continue
		}
		switch c.state {
		case StateOpening, StateTesting, StateResetting:
			out = append(out, p.close(c)...)
		case StateBusy:
			c.state, c.enteredAt = StateSuspect, now
			p.requireTests(c)
		}
	}
	return append(out, p.moveReads(now)...)
}

// moveReads asks for the reads on suspect connections to be sent on other ones. If another
// connection has been found to work since they became suspect, all of them move; otherwise
// they move one at a time, and only while there is no room to open or test another one.
func (p *Pool) moveReads(now time.Time) []Action {
	var out []Action
	hasRoom := len(p.connections) < p.share.Limit(now) || p.Count(StateBusy)+p.Count(StateSuspect) < len(p.connections)
	for _, c := range p.connections {
		if c.state != StateSuspect || c.work != WorkRead {
			continue
		}
		if c.moveRequested || hasRoom && !p.hasWorkingSince(c.enteredAt) {
			hasRoom = hasRoom || c.moveRequested
			continue
		}
		c.moveRequested, hasRoom = true, true
		out = append(out, Action{ActionMove, c.id})
	}
	return out
}

// hasWorkingSince reports whether a connection became idle after the given time and is
// thus known to work.
func (p *Pool) hasWorkingSince(since time.Time) bool {
	return slices.ContainsFunc(p.connections, func(c *connection) bool {
		return c.state == StateIdle && !c.mustTest && c.enteredAt.After(since)
	})
}

func (p *Pool) requireTests(suspect *connection) {
	for _, c := range p.connections {
		if c != suspect && c.state == StateIdle {
			c.mustTest = true
		}
	}
}

func (p *Pool) hasSuspect() bool { return p.Count(StateSuspect) > 0 }

func (p *Pool) needsTest(now time.Time, c *connection) bool {
	return c.mustTest || now.Sub(c.enteredAt) > p.testAfter
}

func (p *Pool) mayOpen(now time.Time) bool {
	return len(p.connections) < p.share.Limit(now) && p.Count(StateOpening) < maxOpening &&
		!now.Before(p.nextOpen) && p.openLimiter.AllowN(now, 1)
}

// trim closes idle connections over the limit of the share.
func (p *Pool) trim(now time.Time) []Action {
	var out []Action
	for i := 0; i < len(p.connections) && len(p.connections) > p.share.Limit(now); {
		c := p.connections[i]
		if c.state != StateIdle {
			i++
			continue
		}
		out = append(out, p.close(c)...)
	}
	return out
}

// closeIdle closes connections over the limit and those that have been idle for
// longer than the idle timeout.
func (p *Pool) closeIdle(now time.Time) []Action {
	out := p.trim(now)
	for i := len(p.connections) - 1; i >= 0; i-- {
		c := p.connections[i]
		if c.state == StateIdle && now.Sub(c.enteredAt) > p.idleTimeout && len(p.connections) > minConnections {
			out = append(out, p.close(c)...)
		}
	}
	return out
}

func (p *Pool) find(id uint64) *connection {
	i := slices.IndexFunc(p.connections, func(c *connection) bool { return c.id == id })
	if i < 0 {
		return nil
	}
	return p.connections[i]
}

func (p *Pool) close(c *connection) []Action {
	p.connections = slices.DeleteFunc(p.connections, func(other *connection) bool { return other == c })
	return []Action{{ActionClose, c.id}}
}
