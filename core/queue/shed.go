package queue

import (
	"time"

	"anviltack/core"
)

// serviceTimeMaxAge is how long after the last answer the average service time is
// still used.
const serviceTimeMaxAge = 500 * time.Millisecond

// Load shedding starts once the service time exceeds a fraction of the shortest target;
// the rest of that target is left for waiting for a connection and for running.
const (
	// minShedThreshold is the fraction for infinitely long targets; the service time at
	// an endpoint without a queue is below it.
	minShedThreshold = 0.2
	// maxShedThreshold is the fraction for targets equal to the shortest.
	maxShedThreshold = 0.5
	// shedRamp is the further fraction over which the probability rises to one.
	// Without a ramp, instances that see the same overload would all reject and then
	// all admit at the same time.
	shedRamp = 0.3
)

// ShedProbability returns the probability with which to reject a statement on arrival,
// because service times at the endpoint are so long that statements with the shortest
// target would miss it. It rises with the service time, earlier for longer targets,
// whose callers can retry later, so that the endpoint stays busy with statements that
// meet their targets. It is zero for the shortest target, and when the last answer is
// serviceTimeMaxAge old, since the average is then out of date.
func (q *Queue) ShedProbability(sinceAnswer, target, shortest time.Duration) float64 {
	if shortest <= 0 || target <= shortest || sinceAnswer >= serviceTimeMaxAge {
		return 0
	}
	usedFraction := float64(q.ServiceTime()) / float64(shortest)
	threshold := minShedThreshold + (maxShedThreshold-minShedThreshold)*float64(shortest)/float64(target)
	return min(1, max(0, (usedFraction-threshold)/shedRamp))
}

// ShedProbabilityOf is ShedProbability for a statement that was counted by Arrive. What is to be
// rejected is taken first from the organisations that are furthest beyond their shares.
func (q *Queue) ShedProbabilityOf(now time.Time, w Waiter, sinceAnswer, target, shortest time.Duration) float64 {
	p := q.ShedProbability(sinceAnswer, target, shortest)
	if p == 0 || w.Organisation == "" {
		return p
	}
	return q.sharedProbability(now, w.Organisation, p)
}

// sharedProbability returns the probability with which to reject a statement of an organisation
// so that as much is rejected as with probability p for each: first of what the organisations
// furthest beyond their shares sent for certain, then evenly of the rest.
func (q *Queue) sharedProbability(now time.Time, o core.Organisation, p float64) float64 {
	m := q.member(o)
	if p == 0 || m == nil || m.arrived.count == 0 || len(q.members) <= 1 {
		return p
	}
	all, certain := 0.0, 0.0
	for _, other := range q.members {
		all += other.arrived.recent(now)
		certain += other.arrived.atLeast(now)
	}
	rejected := m.arrived.atLeast(now)
	if excess := p * all; excess <= certain {
		rejected = max(0, rejected-q.fairLevel(now, excess)*m.weight)
	} else {
		rejected += (m.arrived.recent(now) - rejected) * (excess - certain) / (all - certain)
	}
	return rejected / m.arrived.recent(now)
}

// fairLevel returns how many arrivals for each unit of weight leave the given excess above.
func (q *Queue) fairLevel(now time.Time, excess float64) float64 {
	level := 0.0
	for range q.members {
		above, weights := 0.0, 0.0
		for _, m := range q.members {
			if n := m.arrived.atLeast(now); n > level*m.weight {
				above += n
				weights += m.weight
			}
		}
		if above-excess <= level*weights {
			break
		}
		level = (above - excess) / weights
	}
	return level
}
