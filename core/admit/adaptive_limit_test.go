package admit

import "time"

const (
	limitGrowPeriod = 100 * time.Millisecond
	// limitTolerance is how many times the fastest service time an answer may
	// take before it counts as queued at the endpoint.
	limitTolerance = 2.0
	limitShrink    = 0.8
	// limitFastestPeriod is how often the fastest service time is raised by a tenth, so
	// that an old minimum does not last.
	limitFastestPeriod = time.Second
)

// AdaptiveLimit is an adaptive concurrency limit: it grows by a fraction of a slot while
// answers are prompt, and shrinks by a factor when statements queue at the endpoint.
type AdaptiveLimit struct {
	// value stays between one and most.
	value         float64
	most          float64
	fastest       time.Duration
	serviceTime   serviceEstimate
	changed       time.Time
	fastestRaised time.Time
}

// NewAdaptiveLimit returns a limit that starts at one slot and never exceeds most.
func NewAdaptiveLimit(most int) *AdaptiveLimit {
	return &AdaptiveLimit{value: 1, most: float64(most)}
}

// Slots returns the current limit.
func (l *AdaptiveLimit) Slots(time.Time) int { return int(l.value) }

// Observe adjusts the limit by the service time of one finished statement; full is true if
// all slots were in use.
func (l *AdaptiveLimit) Observe(now time.Time, service time.Duration, full bool) {
	if l.fastest == 0 || service < l.fastest {
		l.fastest = service
	}
	if now.Sub(l.fastestRaised) > limitFastestPeriod {
		l.fastestRaised = now
		l.fastest += l.fastest / 10
	}
	l.serviceTime.add(service)
	if now.Sub(l.changed) < limitGrowPeriod {
		return
	}
	l.changed = now
	if float64(l.serviceTime.mean) > limitTolerance*float64(l.fastest) {
		l.value = max(1, l.value*limitShrink)
	} else if full {
		l.value = min(l.most, l.value+0.5)
	}
}
