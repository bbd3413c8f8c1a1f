package queue

import "time"

// staleHold is how long after the last answer the average says nothing any more.
const staleHold = 500 * time.Millisecond

// Statements are refused to spare those with the shortest target from a part of that
// target on; the rest of it is for their wait for a connection and their work.
const (
	// shedFrom is the part for targets without end: an endpoint without a queue
	// takes less.
	shedFrom = 0.2
	// shedTo is the part for targets as short as the shortest.
	shedTo = 0.5
	// shedSpan is over how much more of it the probability rises to one, so that
	// instances which see the same overload do not all refuse and admit at once.
	shedSpan = 0.3
)

// Refusal returns the probability with which a statement of some target is refused at
// once, because statements take so long at the endpoint that those with the shortest
// target would be late. It rises with the time that statements take, sooner for those
// that can come back later, so that the endpoint stays busy with what is in time.
// Without answers for a while nothing is known and nothing is refused.
func (q *Queue) Refusal(sinceAnswer, target, shortest time.Duration) float64 {
	if shortest <= 0 || target <= shortest || sinceAnswer >= staleHold {
		return 0
	}
	used := float64(q.Hold()) / float64(shortest)
	from := shedFrom + (shedTo-shedFrom)*float64(shortest)/float64(target)
	return min(1, max(0, (used-from)/shedSpan))
}
