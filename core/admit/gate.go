// Package admit decides which statements run now, which wait and which are
// refused, and how instances share the slots of an endpoint.
package admit

import (
	"math/rand/v2"
	"time"

	"anviltack/core"
)

// DefaultQueue bounds the queue of a gate when nothing else is stated.
const DefaultQueue = 256

const (
	sweepPeriod = 5 * time.Millisecond
	minRetry    = 20 * time.Millisecond
	maxRetry    = 5 * time.Second
)

// Request is one statement that asks to run.
type Request struct {
	// ID is unique among the requests that the gate holds.
	ID     uint64
	Caller core.Caller
	// Deadline is when the whole answer is due.
	Deadline time.Time
	// Held tells that the statement belongs to a transaction and so has its
	// connection already.
	Held bool
}

// Action tells what becomes of a request: it starts, or it is refused.
type Action struct {
	ID uint64
	// Err is nil when the request starts; otherwise the request never started
	// and never will.
	Err *core.Error
}

// Gate admits the statements of one endpoint on one instance.
type Gate struct {
	slots func(now time.Time) int
	// connect takes a connection for a request that is about to start and
	// reports whether there was one; a request that it refuses goes on waiting.
	connect func(now time.Time, r Request) bool
	random  *rand.Rand
	// limit bounds queued: queued <= limit.
	limit  int
	queued int
	// running holds the started requests that have not finished.
	running map[uint64]work
	// shares are sorted by caller.
	shares []*share
	// clock is the highest tag that a request started with; it never falls.
	clock float64
	drain drain
	// service is the service time over all callers.
	service estimate
	swept   time.Time
	// started is the answer to a request that starts on arrival.
	started [1]Action
}

// work is one running request.
type work struct {
	share   *share
	started time.Time
	// charged is the service time already added to the share's tag.
	charged time.Duration
}

// GateOption sets one property of a gate.
type GateOption func(*Gate)

// WithQueue bounds the queue to n requests.
func WithQueue(n int) GateOption {
	return func(g *Gate) { g.limit = n }
}

// WithConnections makes requests wait until connect has a connection for them.
func WithConnections(connect func(now time.Time, r Request) bool) GateOption {
	return func(g *Gate) { g.connect = connect }
}

// NewGate returns a gate that runs at most slots(now) requests at once.
func NewGate(slots func(now time.Time) int, random *rand.Rand, options ...GateOption) *Gate {
	g := &Gate{
		slots:   slots,
		connect: func(time.Time, Request) bool { return true },
		random:  random,
		limit:   DefaultQueue,
		running: map[uint64]work{},
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// FixedSlots returns a slots function for a gate that shares with nobody.
func FixedSlots(n int) func(time.Time) int {
	return func(time.Time) int { return n }
}

// Running returns how many requests run.
func (g *Gate) Running() int { return len(g.running) }

// Waiting returns how many requests wait.
func (g *Gate) Waiting() int { return g.queued }

// Arrive takes a new request. The request waits when no action names it. The
// actions are valid until the next call.
func (g *Gate) Arrive(now time.Time, r Request) []Action {
	s := g.share(now, r.Caller)
	if !r.Deadline.After(now) {
		return []Action{g.refuse(s, r, core.CodeOverloaded, "the deadline has passed", 0)}
	}
	if g.queued == 0 && len(g.running) < g.slots(now) && !g.isHeldBack(now, s) && (r.Held || g.connect(now, r)) {
		g.drain.advance(now, false)
		g.start(now, s, r.ID)
		g.started[0] = Action{ID: r.ID}
		return g.started[:]
	}
	at := s.position(r)
	wait := g.wait(now, s, at)
	if isHopeless(now, wait+s.need(now, r), r.Deadline) {
		return []Action{g.refuse(s, r, g.codeFor(s), "the queue is too long for the deadline", wait)}
	}
	var out []Action
	if g.queued >= g.limit {
		evicted, ok := g.evict(now, s)
		if !ok {
			return []Action{g.refuse(s, r, g.codeFor(s), "the queue is full", wait)}
		}
		out = append(out, evicted)
	}
	g.drain.advance(now, true)
	s.insert(at, queued{Request: r, arrived: now})
	g.queued++
	return append(out, g.dispatch(now)...)
}

// Finish ends a running request and starts what may run in its place.
func (g *Gate) Finish(now time.Time, id uint64) []Action {
	w, ok := g.running[id]
	if !ok {
		return nil
	}
	delete(g.running, id)
	spent := max(0, now.Sub(w.started))
	w.share.running--
	w.share.seen = now
	w.share.tag += (spent - w.charged).Seconds()
	w.share.service.add(spent)
	g.service.add(spent)
	return g.dispatch(now)
}

// Cancel drops a waiting request and reports whether it was waiting; a running
// one is left to Finish.
func (g *Gate) Cancel(now time.Time, id uint64) bool {
	for _, s := range g.shares {
		for i := range s.queue {
			if s.queue[i].ID == id {
				g.drop(s, i)
				g.drain.advance(now, g.queued > 0)
				return true
			}
		}
	}
	return false
}

// Tick refuses waiting requests that can no longer be answered in time and
// starts others when slots have come free by time.
func (g *Gate) Tick(now time.Time) []Action {
	if now.Sub(g.swept) < sweepPeriod {
		return g.dispatch(now)
	}
	g.swept = now
	var out []Action
	for _, s := range g.shares {
		for i := 0; i < len(s.queue); {
			r := s.queue[i].Request
			wait := g.wait(now, s, i)
			if !isHopeless(now, wait+s.need(s.queue[i].arrived, r), r.Deadline) {
				i++
				continue
			}
			g.drop(s, i)
			out = append(out, g.refuse(s, r, g.codeFor(s), "the queue moves too slowly for the deadline", wait))
		}
	}
	out = append(out, g.dispatch(now)...)
	g.forget(now)
	return out
}

// Next returns when Tick is due; false when nothing waits.
func (g *Gate) Next(now time.Time) (time.Time, bool) {
	return now.Add(sweepPeriod), g.queued > 0
}

// dispatch starts waiting requests while slots are free.
func (g *Gate) dispatch(now time.Time) []Action {
	var out []Action
	onlyHeld := false
	for g.queued > 0 && len(g.running) < g.slots(now) {
		s := g.pick(now, onlyHeld)
		if s == nil {
			break
		}
		q := s.queue[0]
		if isHopeless(now, s.need(q.arrived, q.Request), q.Deadline) {
			g.drop(s, 0)
			out = append(out, g.refuse(s, q.Request, g.codeFor(s), "its turn came too late for the deadline", 0))
			continue
		}
		if !q.Held && !g.connect(now, q.Request) {
			onlyHeld = true
			continue
		}
		g.drop(s, 0)
		g.drain.start(s.service.expected())
		g.start(now, s, q.ID)
		out = append(out, Action{ID: q.ID})
	}
	g.drain.advance(now, g.queued > 0)
	return out
}

func (g *Gate) start(now time.Time, s *share, id uint64) {
	charge := s.service.expected()
	g.clock = max(g.clock, s.tag)
	s.tag += charge.Seconds()
	s.running++
	s.seen = now
	g.running[id] = work{share: s, started: now, charged: charge}
}

// isHopeless reports whether an answer that takes so long comes too late.
func isHopeless(now time.Time, takes time.Duration, deadline time.Time) bool {
	return !now.Before(deadline) || now.Add(takes).After(deadline)
}

func (g *Gate) drop(s *share, i int) {
	s.queue = append(s.queue[:i], s.queue[i+1:]...)
	g.queued--
}

// wait estimates how long a request at place i of the share's queue waits: each
// share gets as many turns as this one before it.
func (g *Gate) wait(now time.Time, s *share, i int) time.Duration {
	var ahead time.Duration
	for _, o := range g.shares {
		turns := min(len(o.queue), i+1)
		if o == s {
			turns = i
		}
		ahead += time.Duration(turns) * o.service.expected()
	}
	for _, w := range g.running {
		ahead += max(0, w.share.service.expected()-now.Sub(w.started))
	}
	return time.Duration(float64(ahead) / g.drain.capacity(g.slots(now)))
}

func (g *Gate) refuse(s *share, r Request, c core.Code, reason string, wait time.Duration) Action {
	back := wait + g.wait(s.seen, s, len(s.queue))/2
	back = min(max(back, minRetry), maxRetry)
	back += time.Duration(g.random.Int64N(int64(back)/2 + 1))
	return Action{ID: r.ID, Err: core.NewError(c, "%s", reason).WithRetry(back)}
}
