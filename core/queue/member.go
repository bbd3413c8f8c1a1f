package queue

import (
	"math"
	"time"

	"anviltack/core"
)

// activeTime is how long an organisation counts as active after its last statement, and the
// time constant over which arrivals are counted.
const activeTime = 5 * time.Second

// deviations is by how many standard deviations a count of arrivals has to exceed a share to
// count as beyond it: about one count in forty does by chance.
const deviations = 2

// member is an organisation that waits, or whose last statement came or was served less than
// activeTime ago.
type member struct {
	organisation core.Organisation
	weight       float64
	usedAt       time.Time
	// waiting is the number of its waiters.
	waiting int
	// waitingSince is the time since which it has had waiters.
	waitingSince time.Time
	// arrived counts its statements.
	arrived tally
}

// tally counts arrivals; each counts for less as time passes, with activeTime.
type tally struct {
	count     float64
	countedAt time.Time
}

// add counts one arrival.
func (t *tally) add(now time.Time) { *t = tally{t.recent(now) + 1, now} }

// recent returns the recent arrivals.
func (t tally) recent(now time.Time) float64 {
	if t.count == 0 {
		return 0
	}
	return t.count * math.Exp(-float64(now.Sub(t.countedAt))/float64(activeTime))
}

// atLeast returns what the recent arrivals are at least, but for chance.
func (t tally) atLeast(now time.Time) float64 {
	n := t.recent(now)
	return max(0, n-deviations*math.Sqrt(n))
}

// share returns the organisation's weight.
func (w Waiter) share() float64 {
	if w.Weight > 0 && !math.IsInf(w.Weight, 1) {
		return w.Weight
	}
	return 1
}

// memberOf returns the organisation of a waiter.
func (q *Queue) memberOf(now time.Time, w Waiter) *member {
	q.forgetIdle(now)
	m := q.member(w.Organisation)
	if m == nil {
		m = &member{organisation: w.Organisation}
		q.members = append(q.members, m)
	}
	m.weight, m.usedAt = w.share(), now
	return m
}

// member returns an organisation, or nil.
func (q *Queue) member(o core.Organisation) *member {
	for _, m := range q.members {
		if m.organisation == o {
			return m
		}
	}
	return nil
}

// Arrive counts a statement that arrives, also if it is refused.
func (q *Queue) Arrive(now time.Time, w Waiter) {
	q.memberOf(now, w).arrived.add(now)
	q.levelOf(w.Priority).arrived.add(now)
}
