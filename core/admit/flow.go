package admit

import (
	"slices"
	"strings"
	"time"

	"anviltack/core"
)

const (
	// flowIdleTimeout is how long the flow of an inactive caller is kept.
	flowIdleTimeout = 10 * time.Second
	// activeWindow is how long after its last statement a caller counts as active.
	activeWindow = time.Second
	// longStatementFactor is the ratio of a caller's service time to that of another
	// active caller from which the caller may not use the last slot.
	longStatementFactor = 4
)

// flow is the queue and the usage of one caller. Flows are scheduled by start-time fair
// queueing: the caller that has used the least service time goes first.
type flow struct {
	caller core.Caller
	// tag is the start tag: the service time used, in seconds, raised to the gate's
	// virtual time after idleness so that idle time cannot be saved up.
	tag     float64
	running int
	// queue holds requests in transactions before the others, each part ordered by
	// deadline.
	queue      []waitingRequest
	service    serviceEstimate
	lastActive time.Time
}

type waitingRequest struct {
	Request
	arrived time.Time
}

// flow returns the caller's flow and creates it if necessary.
func (g *Gate) flow(now time.Time, c core.Caller) *flow {
	i, ok := slices.BinarySearchFunc(g.flows, c, func(f *flow, c core.Caller) int {
		return strings.Compare(string(f.caller), string(c))
	})
	if !ok {
		g.flows = slices.Insert(g.flows, i, &flow{caller: c})
	}
	f := g.flows[i]
	if len(f.queue) == 0 && f.running == 0 {
		f.tag = max(f.tag, g.virtualTime)
	}
	f.lastActive = now
	return f
}

// removeIdleFlows removes the flows of callers that have been inactive for
// flowIdleTimeout.
func (g *Gate) removeIdleFlows(now time.Time) {
	g.flows = slices.DeleteFunc(g.flows, func(f *flow) bool {
		return f.running == 0 && len(f.queue) == 0 && now.Sub(f.lastActive) > flowIdleTimeout
	})
}

// pickFlow returns the flow whose first request starts next, or nil if none may start.
// Requests in open transactions go first, because these hold connections and row locks;
// onlyInTransaction excludes the others.
func (g *Gate) pickFlow(now time.Time, onlyInTransaction bool) *flow {
	var best *flow
	for _, f := range g.flows {
		if len(f.queue) == 0 || onlyInTransaction && !f.queue[0].InTransaction || !f.queue[0].InTransaction && g.isLastSlotReserved(now, f) {
			continue
		}
		if best == nil || f.precedes(best) {
			best = f
		}
	}
	return best
}

func (f *flow) precedes(o *flow) bool {
	a, b := f.queue[0], o.queue[0]
	if a.InTransaction != b.InTransaction {
		return a.InTransaction
	}
	return f.tag < o.tag || f.tag == o.tag && a.Deadline.Before(b.Deadline)
}

// isLastSlotReserved reports whether the flow may not use the last slot because its
// statements are long and another active caller has much shorter ones.
func (g *Gate) isLastSlotReserved(now time.Time, f *flow) bool {
	slots := g.slots(now)
	if slots < 2 || f.running < slots-1 {
		return false
	}
	for _, o := range g.flows {
		short := o.service.count > 0 && longStatementFactor*o.service.expected() <= f.service.expected()
		if o != f && short && now.Sub(o.lastActive) < activeWindow {
			return true
		}
	}
	return false
}

// codeFor returns the error code of a refusal: whether the caller exceeds its fair share
// or the endpoint is overloaded.
func (g *Gate) codeFor(f *flow) core.Code {
	active, total := 0, 0
	for _, o := range g.flows {
		if n := len(o.queue) + o.running; n > 0 || o == f {
			active++
			total += n
		}
	}
	if active > 1 && (len(f.queue)+f.running)*active > total {
		return core.CodeFairShare
	}
	return core.CodeOverloaded
}

// evict makes room for a request of f by refusing the last request of the flow with the
// longest queue, unless the queue of f would become as long.
func (g *Gate) evict(now time.Time, f *flow) (Action, bool) {
	longest := f
	for _, o := range g.flows {
		if len(o.queue) > len(longest.queue) {
			longest = o
		}
	}
	last := len(longest.queue) - 1
	if last <= len(f.queue) {
		return Action{}, false
	}
	r := longest.queue[last].Request
	wait := g.expectedWait(now, longest, last)
	g.removeWaiting(longest, last)
	return g.refuse(longest, r, core.CodeFairShare, "the queue is full and this caller has the most requests in it", wait), true
}

// insertIndex returns the index at which a request is queued: requests in transactions
// come before the others, and each part is ordered by deadline.
func (f *flow) insertIndex(r Request) int {
	i, _ := slices.BinarySearchFunc(f.queue, r, func(q waitingRequest, r Request) int {
		if q.InTransaction == r.InTransaction && q.Deadline.After(r.Deadline) || r.InTransaction && !q.InTransaction {
			return 1
		}
		return -1
	})
	return i
}

func (f *flow) insert(i int, q waitingRequest) {
	f.queue = slices.Insert(f.queue, i, q)
}

// serviceTimeAllowance returns the service time to allow for a request: at most half of
// the time between its arrival and its deadline, so that slow statements are not always
// refused.
func (f *flow) serviceTimeAllowance(arrived time.Time, r Request) time.Duration {
	return min(f.service.upperBound(), r.Deadline.Sub(arrived)/2)
}
