// Package queue orders the statements that wait for a connection to one endpoint
// by priority and deadline, and rejects on arrival those that would wait too long. While it is
// overloaded it serves the newest first: the others are late already, or soon will be, and in
// their order everything would be served just too late.
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
	// waiters are in the order in which they are served while the queue is not overloaded.
	waiters []Waiter
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
	ahead := q.insertIndex(w)
	if q.isOverloaded(now) {
		ahead = q.firstOfPriority(w.Priority)
	}
	return time.Duration(ahead+1) * q.ServiceTime() / time.Duration(max(1, n))
}

// firstOfPriority returns the index of the first waiter of a priority or a lower one.
func (q *Queue) firstOfPriority(priority int) int {
	return sort.Search(len(q.waiters), func(i int) bool { return q.waiters[i].Priority >= priority })
}

// Add queues a waiter and reports true, unless others wait and it is expected to wait
// longer than its MaxWait for one of n connections.
func (q *Queue) Add(now time.Time, w Waiter, n int) bool {
	if len(q.waiters) > 0 && q.ExpectedWait(now, w, n) > w.MaxWait {
		return false
	}
	if len(q.waiters) == 0 {
		q.waitingSince = now
	}
	w.addedAt = now
	q.waiters = slices.Insert(q.waiters, q.insertIndex(w), w)
	return true
}

// insertIndex returns the index at which w is queued: behind waiters of equal priority
// and deadline.
func (q *Queue) insertIndex(w Waiter) int {
	return sort.Search(len(q.waiters), func(i int) bool { return compareWaiters(q.waiters[i], w) > 0 })
}

// DropHopeless removes and returns the waiter that an overloaded queue would serve last, if it
// is expected to wait longer than it may for one of n connections.
func (q *Queue) DropHopeless(now time.Time, n int) (Waiter, bool) {
	if !q.isOverloaded(now) {
		return Waiter{}, false
	}
	last := q.firstOfPriority(q.waiters[len(q.waiters)-1].Priority)
	for i := last; i < len(q.waiters); i++ {
		if q.waiters[i].ID < q.waiters[last].ID {
			last = i
		}
	}
	w := q.waiters[last]
	if now.Add(q.DrainTime(n)).Before(w.addedAt.Add(w.MaxWait)) {
		return Waiter{}, false
	}
	q.removeAt(last)
	return w, true
}

// DrainTime returns how long n connections are expected to take for all waiters.
func (q *Queue) DrainTime(n int) time.Duration {
	return time.Duration(len(q.waiters)) * q.ServiceTime() / time.Duration(max(1, n))
}

// Pop removes and returns the next waiter: the first one, or the one of its priority that came
// last while the queue is overloaded. Waiters of organisations that are not usable are passed
// over; a nil function makes all usable.
func (q *Queue) Pop(now time.Time, usable func(core.Organisation) bool) (Waiter, bool) {
	next := -1
	for i, w := range q.waiters {
		if next >= 0 && (!q.isOverloaded(now) || w.Priority != q.waiters[next].Priority) {
			break
		}
		if (usable == nil || usable(w.Organisation)) && (next < 0 || w.ID > q.waiters[next].ID) {
			next = i
		}
	}
	if next < 0 {
		return Waiter{}, false
	}
	w := q.waiters[next]
	q.removeAt(next)
	return w, true
}

// removeAt removes a waiter.
func (q *Queue) removeAt(i int) {
	q.waiters = slices.Delete(q.waiters, i, i+1)
	if len(q.waiters) == 0 {
		q.waitingSince = time.Time{}
	}
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
