// Package queue orders the statements that wait for a connection to one endpoint
// by priority, fair share of their organisation and deadline, and rejects on arrival those that
// would wait too long. While it is overloaded it serves the newest of an organisation first: the
// others are late already, or soon will be, and in their order everything would be served just
// too late.
package queue

import (
	"slices"
	"sort"
	"time"

	"anviltack/core"
)

// Waiter is a waiting statement.
type Waiter struct {
	// ID is unique in the queue.
	ID uint64
	// Organisation is that of the statement's caller; empty for none.
	Organisation core.Organisation
	// Weight is the share of its organisation in relation to others; zero stands for one.
	Weight float64
	// Priority is lower for more important statements.
	Priority int
	// Deadline is when the statement's operation should be complete.
	Deadline time.Time
	// MaxWait is how long the statement may wait in the queue.
	MaxWait time.Duration
	// addedAt is when the statement was queued.
	addedAt time.Time
	// flow is that of its organisation and priority while it is queued.
	flow *flow
}

// compareWaiters orders waiters by priority, then by deadline.
func compareWaiters(a, b Waiter) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	return a.Deadline.Compare(b.Deadline)
}

// smoothingFactor is the weight of the newest service time in the exponential moving average.
const smoothingFactor = 0.1

// initialServiceTime is assumed before the first observation: statements commonly
// take some tens of milliseconds.
const initialServiceTime = 30 * time.Millisecond

// Queue is the queue of one endpoint.
type Queue struct {
	// waiters are in the order in which they are served while the queue is not overloaded and
	// all are of one organisation.
	waiters []Waiter
	// levels hold the shares of the organisations, one for each priority that was used.
	levels []*level
	// members are the organisations that wait or were active lately.
	members []*member
	// forgotten are unused flows, kept to be used again.
	forgotten []*flow
	// serviceTime is the average time for which a statement occupies its connection;
	// zero before the first observation.
	serviceTime time.Duration
	// waitingSince is the time since which the queue has not been empty; zero while it is.
	waitingSince time.Time
}

// overloadAfter is how long the queue must not have been empty to count as overloaded: a few
// service times, so that a burst which can still be served in time keeps its order.
const overloadAfter = 100 * time.Millisecond

// isOverloaded reports whether more arrives than is served.
func (q *Queue) isOverloaded(now time.Time) bool {
	return !q.waitingSince.IsZero() && now.Sub(q.waitingSince) >= overloadAfter
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return len(q.waiters) }

// ServiceTime returns the average time for which a statement occupies its connection.
func (q *Queue) ServiceTime() time.Duration {
	if q.serviceTime == 0 {
		return initialServiceTime
	}
	return q.serviceTime
}

// ObserveServiceTime adds one statement's service time to the average.
func (q *Queue) ObserveServiceTime(d time.Duration) {
	q.serviceTime = q.ServiceTime() + time.Duration(smoothingFactor*float64(d-q.ServiceTime()))
}

// ExpectedWait returns how long a new waiter is expected to wait for one of n
// connections.
func (q *Queue) ExpectedWait(now time.Time, w Waiter, n int) time.Duration {
	return q.waitAt(q.position(now, w, q.level(w.Priority).flow(w.Organisation)), n)
}

// waitAt returns how long the waiter behind a number of others is expected to wait for one of n
// connections.
func (q *Queue) waitAt(ahead, n int) time.Duration {
	return time.Duration(ahead+1) * q.ServiceTime() / time.Duration(max(1, n))
}

// firstOfPriority returns the index of the first waiter of a priority or a lower one.
func (q *Queue) firstOfPriority(priority int) int {
	return sort.Search(len(q.waiters), func(i int) bool { return q.waiters[i].Priority >= priority })
}

// Add queues a waiter and reports true, unless others wait and it is expected to wait
// longer than its MaxWait for one of n connections.
func (q *Queue) Add(now time.Time, w Waiter, n int) bool {
	return q.AddBeside(now, w, n, 0)
}

// AddBeside is Add while some of the n connections are free: a waiter that these can serve with
// all others is not refused.
func (q *Queue) AddBeside(now time.Time, w Waiter, n, free int) bool {
	if len(q.waiters) >= max(1, free) && q.ExpectedWait(now, w, n) > w.MaxWait {
		return false
	}
	if len(q.waiters) == 0 {
		q.waitingSince = now
	}
	w.addedAt = now
	q.join(now, &w)
	q.waiters = slices.Insert(q.waiters, q.insertIndex(w), w)
	return true
}

// insertIndex returns the index at which w is queued: behind waiters of equal priority
// and deadline.
func (q *Queue) insertIndex(w Waiter) int {
	return sort.Search(len(q.waiters), func(i int) bool { return compareWaiters(q.waiters[i], w) > 0 })
}

// DropHopeless removes and returns the waiter that an overloaded queue gives up first, if it
// would wait longer than it may should it be served last by n connections: the oldest of the
// organisation that is furthest beyond its share, or of those alike the one served last, among
// the waiters of the least urgent priority.
func (q *Queue) DropHopeless(now time.Time, n int) (Waiter, bool) {
	if !q.isOverloaded(now) {
		return Waiter{}, false
	}
	last := q.firstOfPriority(q.waiters[len(q.waiters)-1].Priority)
	beyond := q.beyondShare(now, q.waiters[last])
	for i := last + 1; i < len(q.waiters); i++ {
		w := q.waiters[i]
		if w.flow == q.waiters[last].flow {
			if w.ID < q.waiters[last].ID {
				last = i
			}
			continue
		}
		if b := q.beyondShare(now, w); b > beyond || b == beyond && w.isAfter(q.waiters[last]) {
			last, beyond = i, b
		}
	}
	w := q.waiters[last]
	if now.Add(q.DrainTime(n)).Before(w.addedAt.Add(w.MaxWait)) {
		return Waiter{}, false
	}
	return q.removeAt(last), true
}

// beyondShare returns how many statements of a waiter's organisation arrived for each unit of
// its weight.
func (q *Queue) beyondShare(now time.Time, w Waiter) float64 {
	return w.flow.member.arrived.atLeast(now) / w.flow.member.weight
}

// isAfter reports whether the backlog of the organisation of w is served after that of another
// waiter's; of equal ones the older waiter's is.
func (w Waiter) isAfter(other Waiter) bool {
	last, otherLast := w.flow.tag(w.flow.waiting-1), other.flow.tag(other.flow.waiting-1)
	return last > otherLast || last == otherLast && w.ID < other.ID
}

// DrainTime returns how long n connections are expected to take for all waiters.
func (q *Queue) DrainTime(n int) time.Duration {
	return time.Duration(len(q.waiters)) * q.ServiceTime() / time.Duration(max(1, n))
}

// Pop removes and returns the next waiter of the most urgent priority: of the organisation with
// the lowest start tag the first one, or the one that came last while the queue is overloaded.
// Organisations that are not usable are passed over and keep their place; a nil function makes
// all usable.
func (q *Queue) Pop(now time.Time, usable func(core.Organisation) bool) (Waiter, bool) {
	next := q.first(now, usable)
	if next < 0 {
		return Waiter{}, false
	}
	q.waiters[next].flow.serve(now)
	return q.removeAt(next), true
}

// First returns the waiter that Pop would return, and leaves it in the queue.
func (q *Queue) First(now time.Time, usable func(core.Organisation) bool) (Waiter, bool) {
	next := q.first(now, usable)
	if next < 0 {
		return Waiter{}, false
	}
	return q.waiters[next], true
}

// first returns the index of the waiter that Pop would return, -1 if there is none.
func (q *Queue) first(now time.Time, usable func(core.Organisation) bool) int {
	next := -1
	for i, w := range q.waiters {
		if next >= 0 && w.Priority != q.waiters[next].Priority {
			break
		}
		if (next < 0 || q.isBefore(now, w, q.waiters[next])) && (usable == nil || usable(w.Organisation)) {
			next = i
		}
	}
	return next
}

// Reserved returns how many of n connections the next waiter is to leave free for more urgent
// ones while the endpoint's slots are all in use: the more, the less urgent it is among the
// priorities that come, and at most half. Two statements are sent for each slot, so the other
// half keeps the slots busy.
func (q *Queue) Reserved(now time.Time, n int) int {
	if len(q.waiters) == 0 || q.waiters[0].Organisation == "" {
		return 0
	}
	moreUrgent, levels := 0, 0
	for _, l := range q.levels {
		if l.waiting > 0 || l.arrived.recent(now) >= 1 {
			levels++
			if l.priority < q.waiters[0].Priority {
				moreUrgent++
			}
		}
	}
	return min(n/2, n*moreUrgent/levels)
}

// isBefore reports whether w is served before another waiter of its priority that precedes it in
// the order of deadlines.
func (q *Queue) isBefore(now time.Time, w, other Waiter) bool {
	if w.flow == other.flow {
		return q.isOverloaded(now) && w.flow.isOverloaded(now) && w.ID > other.ID
	}
	return w.flow.start < other.flow.start
}

// removeAt removes and returns a waiter.
func (q *Queue) removeAt(i int) Waiter {
	w := q.waiters[i]
	q.waiters = slices.Delete(q.waiters, i, i+1)
	w.flow.leave()
	if len(q.waiters) == 0 {
		q.waitingSince = time.Time{}
	}
	w.flow = nil
	return w
}

// Remove removes a waiter and reports whether it was queued.
func (q *Queue) Remove(id uint64) bool {
	i := slices.IndexFunc(q.waiters, func(w Waiter) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	q.removeAt(i)
	return true
}
