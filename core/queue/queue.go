// Package queue orders the statements that wait for a connection to one endpoint
// by priority and deadline, and rejects on arrival those that would wait too long.
package queue

import (
	"slices"
	"sort"
	"time"
)

// Waiter is a waiting statement.
type Waiter struct {
	// ID is unique in the queue.
	ID uint64
	// Priority is lower for more important statements.
	Priority int
	// Deadline is when the statement's operation should be complete.
	Deadline time.Time
	// MaxWait is how long the statement may wait in the queue.
	MaxWait time.Duration
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
	// waiters are in the order in which they are served.
	waiters []Waiter
	// serviceTime is the average time for which a statement occupies its connection;
	// zero before the first observation.
	serviceTime time.Duration
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
func (q *Queue) ExpectedWait(w Waiter, n int) time.Duration {
	return time.Duration(q.insertIndex(w)+1) * q.ServiceTime() / time.Duration(max(1, n))
}

// Add queues a waiter and reports true, unless others wait and it is expected to wait
// longer than its MaxWait for one of n connections.
func (q *Queue) Add(w Waiter, n int) bool {
	if len(q.waiters) > 0 && q.ExpectedWait(w, n) > w.MaxWait {
		return false
	}
	q.waiters = slices.Insert(q.waiters, q.insertIndex(w), w)
	return true
}

// insertIndex returns the index at which w is queued: behind waiters of equal priority
// and deadline.
func (q *Queue) insertIndex(w Waiter) int {
	return sort.Search(len(q.waiters), func(i int) bool { return compareWaiters(q.waiters[i], w) > 0 })
}

// Pop removes and returns the first waiter.
func (q *Queue) Pop() (Waiter, bool) {
	if len(q.waiters) == 0 {
		return Waiter{}, false
	}
	w := q.waiters[0]
	q.waiters = slices.Delete(q.waiters, 0, 1)
	return w, true
}

// Remove removes a waiter and reports whether it was queued.
func (q *Queue) Remove(id uint64) bool {
	i := slices.IndexFunc(q.waiters, func(w Waiter) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}
