// Package pool decides which connections to one endpoint an instance opens,
// reuses, tests and closes.
package pool

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	defaultTestAfter = 5 * time.Second
	defaultIdle      = time.Minute
	testTimeout      = 500 * time.Millisecond
	openTimeout      = 3 * time.Second
	openBackoff      = 100 * time.Millisecond
	maxOpening       = 2
	openRate         = 20
	openBurst        = 4
	// spareConnections stay open through quiet times.
	spareConnections = 1
)

// Pool holds the states of one instance's connections to one endpoint.
type Pool struct {
	share *Share
	// connections holds all but closed ones, in the order of their opening;
	// those over the share's limit are closed as soon as they are not in use.
	connections []*connection
	last        uint64
	opens       *rate.Limiter
	// openAt is when the next connection may be opened after a failure.
	openAt    time.Time
	testAfter time.Duration
	idle      time.Duration
}

// Option sets one property of a pool.
type Option func(*Pool)

// WithTestAfter sets after how long without use a connection is tested before work.
func WithTestAfter(d time.Duration) Option {
	return func(p *Pool) { p.testAfter = d }
}

// WithSettle sets how long others may take to give back connections.
func WithSettle(d time.Duration) Option {
	return func(p *Pool) { p.share.settle = d }
}

// WithControl keeps n connections of the instance's part out of the pool, for
// requests that are not callers'.
func WithControl(n int) Option {
	return func(p *Pool) { p.share.control = n }
}

// New returns an empty pool for an endpoint that accepts most connections from
// all instances together.
func New(most int, options ...Option) *Pool {
	p := &Pool{
		share:     NewShare(most, defaultSettle),
		opens:     rate.NewLimiter(openRate, openBurst),
		testAfter: defaultTestAfter,
		idle:      defaultIdle,
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// SetMembers takes the number of live instances, this one included.
func (p *Pool) SetMembers(now time.Time, live int) []Action {
	p.share.SetMembers(now, live)
	return p.trim(now)
}

// Resize takes the number of connections that the endpoint accepts.
func (p *Pool) Resize(now time.Time, most, live int) []Action {
	if most == p.share.most {
		return nil
	}
	p.share.most = most
	return p.SetMembers(now, live)
}

// Acquire returns an idle connection that is fit for work, marked busy.
func (p *Pool) Acquire(now time.Time, w Work) (uint64, bool) {
	for i := len(p.connections) - 1; i >= 0; i-- {
		c := p.connections[i]
		if c.state == StateIdle && !p.needsTest(now, c) {
			c.enter(now, StateBusy)
			c.work = w
			return c.id, true
		}
	}
	return 0, false
}

// Expect tells that a statement was sent and when its answer would be late; a
// zero time tells that the answer is whole.
func (p *Pool) Expect(now time.Time, id uint64, w Work, due time.Time) {
	c := p.find(id)
	if c == nil || c.state != StateBusy && c.state != StateDoubted {
		return
	}
	c.enter(now, StateBusy)
	c.work, c.due = w, due
}

// Release ends the work on a connection.
func (p *Pool) Release(now time.Time, id uint64, e Ending) []Action {
	c := p.find(id)
	if c == nil {
		return nil
	}
	switch {
	case !e.Clean || c.state != StateBusy && c.state != StateDoubted:
		return p.close(c)
	case len(p.connections) > p.share.Limit(now):
		return p.close(c)
	case e.Altered:
		c.enter(now, StateResetting)
		c.due = now.Add(testTimeout)
		return []Action{{DoReset, id}}
	default:
		c.enter(now, StateIdle)
		return p.trim(now)
	}
}

// Opened takes the success of an opening.
func (p *Pool) Opened(now time.Time, id uint64) []Action {
	c := p.find(id)
	if c == nil {
		return []Action{{DoClose, id}}
	}
	if c.state == StateOpening {
		c.enter(now, StateIdle)
	}
	return p.trim(now)
}

// OpenFailed takes the failure of an opening; tooMany tells that the endpoint
// has as many connections as it accepts.
func (p *Pool) OpenFailed(now time.Time, id uint64, tooMany bool) {
	if c := p.find(id); c != nil {
		p.close(c)
	}
	if tooMany {
		p.share.Refused(now, len(p.connections))
	}
	p.openAt = now.Add(openBackoff)
}

// Tested takes the result of a test or a reset.
func (p *Pool) Tested(now time.Time, id uint64, ok bool) []Action {
	c := p.find(id)
	if c == nil {
		return nil
	}
	if !ok || c.state != StateTesting && c.state != StateResetting {
		return p.close(c)
	}
	c.suspect = false
	c.enter(now, StateIdle)
	return p.trim(now)
}

// Lost takes the end of a connection by the other side.
func (p *Pool) Lost(id uint64) {
	if c := p.find(id); c != nil {
		p.close(c)
	}
}

// Want returns the connections to test or open so that waiting statements can
// run, and lets time act on the others.
func (p *Pool) Want(now time.Time, waiting int) []Action {
	out := p.expire(now)
	if waiting == 0 && !p.isDoubtful() {
		return append(out, p.shed(now)...)
	}
	coming := 0
	for _, c := range p.connections {
		if c.state == StateIdle && p.needsTest(now, c) {
			c.enter(now, StateTesting)
			c.due = now.Add(testTimeout)
			out = append(out, Action{DoTest, c.id})
		}
		if c.state == StateIdle || c.state == StateOpening || c.state == StateTesting || c.state == StateResetting {
			coming++
		}
	}
	if p.isDoubtful() {
		waiting++
	}
	for coming < waiting && p.mayOpen(now) {
		p.last++
		c := &connection{id: p.last}
		c.enter(now, StateOpening)
		c.due = now.Add(openTimeout)
		p.connections = append(p.connections, c)
		out = append(out, Action{DoOpen, c.id})
		coming++
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

// Open returns how many connections are open or being opened.
func (p *Pool) Open() int { return len(p.connections) }

// Limit returns how many connections may be open.
func (p *Pool) Limit(now time.Time) int { return p.share.Limit(now) }

// State returns the state of a connection, StateClosed for one not held.
func (p *Pool) State(id uint64) State {
	if c := p.find(id); c != nil {
		return c.state
	}
	return StateClosed
}

// expire doubts or closes connections whose answer is late.
func (p *Pool) expire(now time.Time) []Action {
	var out []Action
	for i := len(p.connections) - 1; i >= 0; i-- {
		c := p.connections[i]
		if c.due.IsZero() || now.Before(c.due) {
			continue
		}
		switch c.state {
		case StateOpening, StateTesting, StateResetting:
			out = append(out, p.close(c)...)
		case StateBusy:
			c.state, c.since = StateDoubted, now
			p.suspectOthers(c)
		}
	}
	return append(out, p.move(now)...)
}

// move asks for reads to leave doubted connections: all of them once another
// connection is shown to work, one at a time to make room for trying another.
func (p *Pool) move(now time.Time) []Action {
	var out []Action
	room := len(p.connections) < p.share.Limit(now) || p.Count(StateBusy)+p.Count(StateDoubted) < len(p.connections)
	for _, c := range p.connections {
		if c.state != StateDoubted || c.work != WorkRead {
			continue
		}
		if c.moved || room && !p.hasProof(c.since) {
			room = room || c.moved
			continue
		}
		c.moved, room = true, true
		out = append(out, Action{DoMove, c.id})
	}
	return out
}

// hasProof reports whether another connection was shown to work since the time.
func (p *Pool) hasProof(since time.Time) bool {
	return slices.ContainsFunc(p.connections, func(c *connection) bool {
		return c.state == StateIdle && !c.suspect && c.since.After(since)
	})
}

func (p *Pool) suspectOthers(silent *connection) {
	for _, c := range p.connections {
		if c != silent && c.state == StateIdle {
			c.suspect = true
		}
	}
}

func (p *Pool) isDoubtful() bool { return p.Count(StateDoubted) > 0 }

func (p *Pool) needsTest(now time.Time, c *connection) bool {
	return c.suspect || now.Sub(c.since) > p.testAfter
}

func (p *Pool) mayOpen(now time.Time) bool {
	return len(p.connections) < p.share.Limit(now) && p.Count(StateOpening) < maxOpening &&
		!now.Before(p.openAt) && p.opens.AllowN(now, 1)
}

// trim closes idle connections over the share.
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

// shed closes connections that have long been idle.
func (p *Pool) shed(now time.Time) []Action {
	out := p.trim(now)
	for i := len(p.connections) - 1; i >= 0; i-- {
		c := p.connections[i]
		if c.state == StateIdle && now.Sub(c.since) > p.idle && len(p.connections) > spareConnections {
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
	p.connections = slices.DeleteFunc(p.connections, func(o *connection) bool { return o == c })
	return []Action{{DoClose, c.id}}
}
