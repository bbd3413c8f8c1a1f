package admit

import "time"

const (
	limitGrowPeriod = 100 * time.Millisecond
	// limitTolerance is how many times the fastest service time an answer may
	// take before it counts as queued at the endpoint.
	limitTolerance = 2.0
	limitShrink    = 0.8
	// limitForget is how often the fastest service time is forgotten by a step.
	limitForget = time.Second
)

// Limit is an adaptive number of slots: it grows by a part of a slot while
// answers come promptly and shrinks by a factor when they queue at the endpoint.
type Limit struct {
	// value stays between one and most.
	value   float64
	most    float64
	fastest time.Duration
	mean    estimate
	changed time.Time
	eased   time.Time
}

// NewLimit returns a limit that starts at one slot and never exceeds most.
func NewLimit(most int) *Limit {
	return &Limit{value: 1, most: float64(most)}
}

// Slots returns the present limit.
func (l *Limit) Slots(time.Time) int { return int(l.value) }

// Observe takes the service time of one finished statement and whether the
// limit was in full use.
func (l *Limit) Observe(now time.Time, service time.Duration, full bool) {
	if l.fastest == 0 || service < l.fastest {
		l.fastest = service
	}
	if now.Sub(l.eased) > limitForget {
		l.eased = now
		l.fastest += l.fastest / 10
	}
	l.mean.add(service)
	if now.Sub(l.changed) < limitGrowPeriod {
		return
	}
	l.changed = now
	if float64(l.mean.mean) > limitTolerance*float64(l.fastest) {
		l.value = max(1, l.value*limitShrink)
	} else if full {
		l.value = min(l.most, l.value+0.5)
	}
}
