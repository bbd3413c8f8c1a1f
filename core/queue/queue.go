// Package queue orders the statements that wait for a connection to one endpoint
// and refuses at once those that would wait too long.
package queue

import (
	"slices"
	"sort"
	"time"
)

// Waiter is a statement that waits.
type Waiter struct {
	// ID names the waiter; it is unique in its queue.
	ID uint64
	// Priority is the lower the more important.
	Priority int
	// Due is when the statement's operation should be done.
	Due time.Time
	// Limit is how long the statement may wait.
	Limit time.Duration
}

// before orders waiters: the more important first, then the one due first.
func before(a, b Waiter) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	return a.Due.Compare(b.Due)
}

// smoothing is the weight of the newest hold in the average.
const smoothing = 0.1

// firstHold is the hold assumed before any was measured: a statement of some
// tens of milliseconds.
const firstHold = 30 * time.Millisecond

// Queue holds the waiters of one endpoint.
type Queue struct {
	waiters []Waiter
	// hold is the average time for which a statement keeps its connection.
	hold time.Duration
}

// Len returns how many wait.
func (q *Queue) Len() int { return len(q.waiters) }

// Hold returns the average time for which a statement keeps its connection.
func (q *Queue) Hold() time.Duration {
	if q.hold == 0 {
		return firstHold
	}
	return q.hold
}

// Held takes for how long a statement kept its connection.
func (q *Queue) Held(d time.Duration) {
	q.hold = q.Hold() + time.Duration(smoothing*float64(d-q.Hold()))
}

// Wait returns how long a new waiter is expected to wait for one of n
// connections.
func (q *Queue) Wait(w Waiter, n int) time.Duration {
	return time.Duration(q.place(w)+1) * q.Hold() / time.Duration(max(1, n))
}

// Add lets a waiter in unless it is expected to wait beyond its limit for one of
// n connections.
func (q *Queue) Add(w Waiter, n int) bool {
	if len(q.waiters) > 0 && q.Wait(w, n) > w.Limit {
		return false
	}
	q.waiters = slices.Insert(q.waiters, q.place(w), w)
	return true
}

// place returns how many waiters go before w; those that are its equals came
// first.
func (q *Queue) place(w Waiter) int {
	return sort.Search(len(q.waiters), func(i int) bool { return before(q.waiters[i], w) > 0 })
}

// Next takes out the waiter whose turn it is.
func (q *Queue) Next() (Waiter, bool) {
	if len(q.waiters) == 0 {
		return Waiter{}, false
	}
	w := q.waiters[0]
	q.waiters = slices.Delete(q.waiters, 0, 1)
	return w, true
}

// Remove takes a waiter out and reports whether it was there.
func (q *Queue) Remove(id uint64) bool {
	i := slices.IndexFunc(q.waiters, func(w Waiter) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}
