package admit

import "time"

const (
	initialServiceTime = 2 * time.Millisecond
	// drainWindow is how many seconds of backlog drainRate covers before it halves
	// its sums.
	drainWindow      = 1.0
	minDrainCapacity = 0.05
	minDrainStarts   = 8
)

// serviceEstimate is the exponential moving average of service times and of their mean
// deviation.
type serviceEstimate struct {
	count     int
	mean      time.Duration
	deviation time.Duration
}

func (e *serviceEstimate) add(d time.Duration) {
	if e.count == 0 {
		e.mean, e.deviation = d, d/2
	} else {
		e.deviation += ((e.mean - d).Abs() - e.deviation) / 4
		e.mean += (d - e.mean) / 8
	}
	e.count++
}

func (e *serviceEstimate) expected() time.Duration {
	if e.count == 0 {
		return initialServiceTime
	}
	return e.mean
}

// upperBound returns a service time that most statements do not exceed.
func (e *serviceEstimate) upperBound() time.Duration {
	return e.expected() + 2*e.deviation
}

// drainRate measures the service time started per second of backlog. Unlike the number
// of slots, this is the effective capacity while slots are lent and returned. Its sums
// are also halved whenever the queue empties, so that a past overload soon loses its
// weight.
type drainRate struct {
	starts         float64
	startedSeconds float64
	backlogSeconds float64
	// backlogSince is the time up to which the current backlog is counted; zero without
	// one.
	backlogSince time.Time
}

func (d *drainRate) advance(now time.Time, waiting bool) {
	ended := !d.backlogSince.IsZero() && !waiting
	if !d.backlogSince.IsZero() {
		d.backlogSeconds += max(0, now.Sub(d.backlogSince).Seconds())
	}
	d.backlogSince = time.Time{}
	if waiting {
		d.backlogSince = now
	}
	if ended || d.backlogSeconds > drainWindow {
		d.starts, d.startedSeconds, d.backlogSeconds = d.starts/2, d.startedSeconds/2, d.backlogSeconds/2
	}
}

func (d *drainRate) recordStart(serviceTime time.Duration) {
	d.starts++
	d.startedSeconds += serviceTime.Seconds()
}

func (d *drainRate) capacity(slots int) float64 {
	if d.starts < minDrainStarts || d.backlogSeconds <= 0 {
		return float64(max(slots, 1))
	}
	return max(minDrainCapacity, d.startedSeconds/d.backlogSeconds)
}
