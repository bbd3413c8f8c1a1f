package place

import (
	"time"

	"anviltack/core"
)

const (
	// maxGrowSlowdown is the slowdown up to which an instance with waiting statements may
	// send more: fewer statements than two for each slot are at the endpoint.
	maxGrowSlowdown = 1.8
	// minFullSlowdown is the slowdown from which all slots count as in use: there are one and
	// a half statements for each.
	minFullSlowdown = 1.5
	// minShrinkSlowdown is the slowdown from which it sends fewer: the endpoint queues more
	// than InFlightPerSlot intends.
	minShrinkSlowdown = 2.2
	// shrinkStep is by how many statements a slow answer lowers the limit: the more answers
	// an instance gets, the faster it gives way, so that instances come to equal limits.
	shrinkStep = 0.3
	// slowdownWeight is the weight of the newest statement in the moving average of the
	// slowdown.
	slowdownWeight = 0.05
	// serviceTimeWeight is the weight of the newest statement in the moving averages of
	// service times, of which the lowest counts as that without congestion.
	serviceTimeWeight = 0.02
	// serviceTimeRise is the fraction by which that lowest average rises with each
	// statement, so that it follows work that has become longer.
	serviceTimeRise = 0.0001
	// minObserved is how many statements an average needs to count: as many as its weight
	// makes it cover.
	minObserved = int(1 / serviceTimeWeight)
	// maxKinds bounds the databases whose service times are known.
	maxKinds = 64
)

// InFlight limits the statements that one instance has in flight to an endpoint: to its even
// share of InFlightPerSlot for each slot, and beyond it while the endpoint has room that
// other instances leave unused, which shows in its service times.
type InFlight struct {
	// share and ceiling bound the limit: share <= limit <= ceiling.
	share   int
	ceiling int
	limit   float64
	// slowdown is the moving average of service times relative to those without congestion.
	slowdown float64
	kinds    map[core.Database]*serviceTime
}

// serviceTime is the service time of the statements of one database.
type serviceTime struct {
	average float64
	// observed counts the statements in average, up to minObserved.
	observed int
	// lowest is a recent minimum of average; zero while fewer than minObserved are in it.
	lowest float64
}

// SetShare sets the slots of the endpoint and the number of instances that share them.
func (f *InFlight) SetShare(slots, instances int) {
	f.share = MaxInFlight(slots, instances)
	f.ceiling = max(f.share, InFlightPerSlot*slots)
	f.limit = min(max(f.limit, float64(f.share)), float64(f.ceiling))
}

// Limit returns how many statements may be in flight.
func (f *InFlight) Limit() int { return max(1, int(f.limit)) }

// IsFull reports whether the endpoint's slots are all in use, as its service times show.
func (f *InFlight) IsFull() bool { return f.slowdown >= minFullSlowdown }

// Observe records how long a statement of a database was at the endpoint. The limit grows
// only while others wait for it.
func (f *InFlight) Observe(d core.Database, took time.Duration, waiting bool) {
	lowest := f.observeServiceTime(d, took.Seconds())
	if lowest == 0 {
		return
	}
	f.slowdown += slowdownWeight * (took.Seconds()/lowest - f.slowdown)
	switch {
	case f.slowdown > minShrinkSlowdown:
		f.limit = max(float64(f.share), f.limit-shrinkStep)
	case waiting && f.slowdown < maxGrowSlowdown:
		f.limit = min(float64(f.ceiling), f.limit+1/f.limit)
	}
}

// observeServiceTime returns the service time of the database's statements without
// congestion in seconds, zero if it is not known.
func (f *InFlight) observeServiceTime(d core.Database, took float64) float64 {
	k := f.kinds[d]
	if k == nil {
		if len(f.kinds) >= maxKinds {
			return 0
		}
		if f.kinds == nil {
			f.kinds = make(map[core.Database]*serviceTime)
		}
		k = &serviceTime{}
		f.kinds[d] = k
	}
	k.observed = min(k.observed+1, minObserved)
	k.average += (took - k.average) / float64(k.observed)
	switch {
	case k.observed < minObserved:
	case k.lowest == 0:
		k.lowest = k.average
	default:
		k.lowest = min(k.average, k.lowest*(1+serviceTimeRise))
	}
	return k.lowest
}
