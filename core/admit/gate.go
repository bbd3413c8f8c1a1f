// Package admit is the admission control of an endpoint: it decides which statements run
// now, which wait and which are refused, and how instances share the endpoint's slots by
// lending them to one another.
package admit

import (
	"math/rand/v2"
	"time"

	"anviltack/core"
)

// DefaultQueueLimit is the queue limit of a gate if none is set.
const DefaultQueueLimit = 256

const (
	sweepPeriod = 5 * time.Millisecond
	minRetry    = 20 * time.Millisecond
	maxRetry    = 5 * time.Second
)

// Request is a statement to be admitted.
type Request struct {
	// ID is unique among the running and waiting requests of the gate.
	ID     uint64
	Caller core.Caller
	// Deadline is when the whole answer is due.
	Deadline time.Time
	// InTransaction is true if the statement belongs to an open transaction and
	// therefore already has a connection.
	InTransaction bool
}

// Action starts or refuses a request.
type Action struct {
	ID uint64
	// Err is nil if the request starts; otherwise it has not started and never will.
	Err *core.Error
}

// Gate admits the statements of one endpoint on one instance.
type Gate struct {
	slots func(now time.Time) int
	// connect reserves a connection for a request that is about to start and reports
	// whether one was available; if not, the request continues to wait.
	connect func(now time.Time, r Request) bool
	random  *rand.Rand
	// queueLimit bounds waiting: waiting <= queueLimit.
	queueLimit int
	waiting    int
	// running holds the started requests that have not finished.
	running map[uint64]runningRequest
	// flows are sorted by caller.
	flows []*flow
	// virtualTime is the highest start tag of the requests started so far; it never
	// decreases.
	virtualTime float64
	drainRate   drainRate
	// service estimates the service time over all callers.
	service   serviceEstimate
	lastSweep time.Time
	// startBuffer holds the action for a request that starts on arrival.
	startBuffer [1]Action
}

type runningRequest struct {
	flow    *flow
	started time.Time
	// charged is the service time already added to the flow's tag.
	charged time.Duration
}

// GateOption sets one property of a gate.
type GateOption func(*Gate)

// WithQueueLimit bounds the queue to n requests.
func WithQueueLimit(n int) GateOption {
	return func(g *Gate) { g.queueLimit = n }
}

// WithConnections makes requests wait until connect has a connection for them.
func WithConnections(connect func(now time.Time, r Request) bool) GateOption {
	return func(g *Gate) { g.connect = connect }
}

// NewGate returns a gate that runs at most slots(now) requests at once.
func NewGate(slots func(now time.Time) int, random *rand.Rand, options ...GateOption) *Gate {
	g := &Gate{
		slots:      slots,
		connect:    func(time.Time, Request) bool { return true },
		random:     random,
		queueLimit: DefaultQueueLimit,
		running:    map[uint64]runningRequest{},
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// FixedSlots returns a slots function for a gate whose slots are not shared.
func FixedSlots(n int) func(time.Time) int {
	return func(time.Time) int { return n }
}

// Running returns how many requests run.
func (g *Gate) Running() int { return len(g.running) }

// Waiting returns how many requests wait.
func (g *Gate) Waiting() int { return g.waiting }

// Arrive starts, queues or refuses a new request. The request is queued if no action
// names it. The actions are valid until the next call.
func (g *Gate) Arrive(now time.Time, r Request) []Action {
	f := g.flow(now, r.Caller)
	if !r.Deadline.After(now) {
		return []Action{g.refuse(f, r, core.CodeOverloaded, "the deadline has passed", 0)}
	}
	if g.waiting == 0 && len(g.running) < g.slots(now) && !g.isLastSlotReserved(now, f) && (r.InTransaction || g.connect(now, r)) {
		g.drainRate.advance(now, false)
		g.start(now, f, r.ID)
		g.startBuffer[0] = Action{ID: r.ID}
		return g.startBuffer[:]
	}
	at := f.insertIndex(r)
	wait := g.expectedWait(now, f, at)
	if missesDeadline(now, wait+f.serviceTimeAllowance(now, r), r.Deadline) {
		return []Action{g.refuse(f, r, g.codeFor(f), "the queue is too long for the deadline", wait)}
	}
	var out []Action
	if g.waiting >= g.queueLimit {
		evicted, ok := g.evict(now, f)
		if !ok {
			return []Action{g.refuse(f, r, g.codeFor(f), "the queue is full", wait)}
		}
		out = append(out, evicted)
	}
	g.drainRate.advance(now, true)
	f.insert(at, waitingRequest{Request: r, arrived: now})
	g.waiting++
	return append(out, g.dispatch(now)...)
}

// Finish ends a running request and starts waiting ones in its place.
func (g *Gate) Finish(now time.Time, id uint64) []Action {
	r, ok := g.running[id]
	if !ok {
		return nil
	}
	delete(g.running, id)
	spent := max(0, now.Sub(r.started))
	r.flow.running--
	r.flow.lastActive = now
	r.flow.tag += (spent - r.charged).Seconds()
	r.flow.service.add(spent)
	g.service.add(spent)
	return g.dispatch(now)
}

// Cancel removes a waiting request and reports whether it was waiting. A running request
// is left to Finish.
func (g *Gate) Cancel(now time.Time, id uint64) bool {
	for _, f := range g.flows {
		for i := range f.queue {
			if f.queue[i].ID == id {
				g.removeWaiting(f, i)
				g.drainRate.advance(now, g.waiting > 0)
				return true
			}
		}
	}
	return false
}

// Tick refuses waiting requests that can no longer meet their deadlines, and starts
// others on slots that became usable since the last call.
func (g *Gate) Tick(now time.Time) []Action {
	if now.Sub(g.lastSweep) < sweepPeriod {
		return g.dispatch(now)
	}
	g.lastSweep = now
	var out []Action
	for _, f := range g.flows {
		for i := 0; i < len(f.queue); {
			r := f.queue[i].Request
			wait := g.expectedWait(now, f, i)
			if !missesDeadline(now, wait+f.serviceTimeAllowance(f.queue[i].arrived, r), r.Deadline) {
				i++
				continue
			}
			g.removeWaiting(f, i)
			out = append(out, g.refuse(f, r, g.codeFor(f), "the queue moves too slowly for the deadline", wait))
		}
	}
	out = append(out, g.dispatch(now)...)
	g.removeIdleFlows(now)
	return out
}

// NextTick returns when Tick is due, or false if nothing waits.
func (g *Gate) NextTick(now time.Time) (time.Time, bool) {
	return now.Add(sweepPeriod), g.waiting > 0
}

// dispatch starts waiting requests while slots are free.
func (g *Gate) dispatch(now time.Time) []Action {
	var out []Action
	onlyInTransaction := false
	for g.waiting > 0 && len(g.running) < g.slots(now) {
		f := g.pickFlow(now, onlyInTransaction)
		if f == nil {
			break
		}
		q := f.queue[0]
		if missesDeadline(now, f.serviceTimeAllowance(q.arrived, q.Request), q.Deadline) {
			g.removeWaiting(f, 0)
			out = append(out, g.refuse(f, q.Request, g.codeFor(f), "it reached the front of the queue too late for the deadline", 0))
			continue
		}
		if !q.InTransaction && !g.connect(now, q.Request) {
			onlyInTransaction = true
			continue
		}
		g.removeWaiting(f, 0)
		g.drainRate.recordStart(f.service.expected())
		g.start(now, f, q.ID)
		out = append(out, Action{ID: q.ID})
	}
	g.drainRate.advance(now, g.waiting > 0)
	return out
}

func (g *Gate) start(now time.Time, f *flow, id uint64) {
	charge := f.service.expected()
	g.virtualTime = max(g.virtualTime, f.tag)
	f.tag += charge.Seconds()
	f.running++
	f.lastActive = now
	g.running[id] = runningRequest{flow: f, started: now, charged: charge}
}

// missesDeadline reports whether an answer that takes the remaining time from now on
// comes after the deadline.
func missesDeadline(now time.Time, remaining time.Duration, deadline time.Time) bool {
	return !now.Before(deadline) || now.Add(remaining).After(deadline)
}

func (g *Gate) removeWaiting(f *flow, i int) {
	f.queue = append(f.queue[:i], f.queue[i+1:]...)
	g.waiting--
}

// expectedWait estimates how long a request at index i of the flow's queue waits. Flows
// alternate, so each other flow starts at most i+1 requests before it.
func (g *Gate) expectedWait(now time.Time, f *flow, i int) time.Duration {
	var ahead time.Duration
	for _, o := range g.flows {
		starts := min(len(o.queue), i+1)
		if o == f {
			starts = i
		}
		ahead += time.Duration(starts) * o.service.expected()
	}
	for _, r := range g.running {
		ahead += max(0, r.flow.service.expected()-now.Sub(r.started))
	}
	return time.Duration(float64(ahead) / g.drainRate.capacity(g.slots(now)))
}

func (g *Gate) refuse(f *flow, r Request, c core.Code, reason string, wait time.Duration) Action {
	retryAfter := wait + g.expectedWait(f.lastActive, f, len(f.queue))/2
	retryAfter = min(max(retryAfter, minRetry), maxRetry)
	retryAfter += time.Duration(g.random.Int64N(int64(retryAfter)/2 + 1))
	return Action{ID: r.ID, Err: core.NewError(c, "%s", reason).WithRetry(retryAfter)}
}
