package queue

import "time"

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
