package admit

import (
	"slices"
	"strings"
	"time"

	"anviltack/core"
)

const (
	shareMemory = 10 * time.Second
	// activeWindow is how long after its last statement a caller counts as active.
	activeWindow = time.Second
	// longStatements is how many times longer than another active caller's a
	// caller's statements are when the last slot is kept from them.
	longStatements = 4
)

// share is one caller's part in a gate. Shares follow start-time fair queueing:
// the caller that has used the least service time goes first.
type share struct {
	caller core.Caller
	// tag is the service time used in seconds, moved up to the gate's clock
	// after a pause so that idle time cannot be saved up.
	tag     float64
	running int
	// queue is sorted by deadline.
	queue   []queued
	service estimate
	seen    time.Time
}

// queued is one waiting request.
type queued struct {
	Request
	arrived time.Time
}

// share returns the caller's share, made when there is none.
func (g *Gate) share(now time.Time, c core.Caller) *share {
	i, ok := slices.BinarySearchFunc(g.shares, c, func(s *share, c core.Caller) int {
		return strings.Compare(string(s.caller), string(c))
	})
	if !ok {
		g.shares = slices.Insert(g.shares, i, &share{caller: c})
	}
	s := g.shares[i]
	if len(s.queue) == 0 && s.running == 0 {
		s.tag = max(s.tag, g.clock)
	}
	s.seen = now
	return s
}

// forget drops the shares of callers that have been away.
func (g *Gate) forget(now time.Time) {
	g.shares = slices.DeleteFunc(g.shares, func(s *share) bool {
		return s.running == 0 && len(s.queue) == 0 && now.Sub(s.seen) > shareMemory
	})
}

// pick returns the share whose turn it is and the place of its next request,
// nil when none may start; onlyHeld leaves out requests without a connection.
func (g *Gate) pick(now time.Time, onlyHeld bool) (*share, int) {
	var best *share
	place := 0
	for _, s := range g.shares {
		i := slices.IndexFunc(s.queue, func(q queued) bool { return q.Held || !onlyHeld })
		if i < 0 || g.isHeldBack(now, s) {
			continue
		}
		if best == nil || s.tag < best.tag || s.tag == best.tag && s.queue[i].Deadline.Before(best.queue[place].Deadline) {
			best, place = s, i
		}
	}
	return best, place
}

// isHeldBack reports whether the last slot is kept from a caller with long
// statements: another active caller has much shorter ones.
func (g *Gate) isHeldBack(now time.Time, s *share) bool {
	slots := g.slots(now)
	if slots < 2 || s.running < slots-1 {
		return false
	}
	for _, o := range g.shares {
		short := o.service.samples > 0 && longStatements*o.service.expected() <= s.service.expected()
		if o != s && short && now.Sub(o.seen) < activeWindow {
			return true
		}
	}
	return false
}

// codeFor tells a caller that asks for more than its share from one that meets
// an endpoint without capacity.
func (g *Gate) codeFor(s *share) core.Code {
	active, total := 0, 0
	for _, o := range g.shares {
		if n := len(o.queue) + o.running; n > 0 || o == s {
			active++
			total += n
		}
	}
	if active > 1 && (len(s.queue)+s.running)*active > total {
		return core.CodeFairShare
	}
	return core.CodeOverloaded
}

// evict makes room for a request of s by refusing the last request of the
// caller with the longest queue, unless s itself would have as long a one.
func (g *Gate) evict(now time.Time, s *share) (Action, bool) {
	longest := s
	for _, o := range g.shares {
		if len(o.queue) > len(longest.queue) {
			longest = o
		}
	}
	last := len(longest.queue) - 1
	if last <= len(s.queue) {
		return Action{}, false
	}
	r := longest.queue[last].Request
	wait := g.wait(now, longest, last)
	g.drop(longest, last)
	return g.refuse(longest, r, core.CodeFairShare, "the queue is full and others wait with less in it", wait), true
}

// position returns where a request with the deadline goes in the queue.
func (s *share) position(deadline time.Time) int {
	i, _ := slices.BinarySearchFunc(s.queue, deadline, func(q queued, d time.Time) int {
		if q.Deadline.After(d) {
			return 1
		}
		return -1
	})
	return i
}

func (s *share) insert(i int, q queued) {
	s.queue = slices.Insert(s.queue, i, q)
}

// need returns the service time to allow for a request, at most half of the
// time that it came with, so that a statement slower than usual is not shut out.
func (s *share) need(arrived time.Time, r Request) time.Duration {
	return min(s.service.safe(), r.Deadline.Sub(arrived)/2)
}
