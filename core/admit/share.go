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
	// queue holds the held requests before the others, each part by deadline.
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

// pick returns the share whose turn it is, nil when none may start. Requests of
// open transactions go first, because they hold connections and rows; onlyHeld
// leaves out the others.
func (g *Gate) pick(now time.Time, onlyHeld bool) *share {
	var best *share
	for _, s := range g.shares {
		if len(s.queue) == 0 || onlyHeld && !s.queue[0].Held || !s.queue[0].Held && g.isHeldBack(now, s) {
			continue
		}
		if best == nil || s.precedes(best) {
			best = s
		}
	}
	return best
}

func (s *share) precedes(o *share) bool {
	a, b := s.queue[0], o.queue[0]
	if a.Held != b.Held {
		return a.Held
	}
	return s.tag < o.tag || s.tag == o.tag && a.Deadline.Before(b.Deadline)
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

// position returns where a request goes in the queue: by deadline, but behind
// all held ones when it is not held and before all others when it is.
func (s *share) position(r Request) int {
	i, _ := slices.BinarySearchFunc(s.queue, r, func(q queued, r Request) int {
		if q.Held == r.Held && q.Deadline.After(r.Deadline) || r.Held && !q.Held {
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
