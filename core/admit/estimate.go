package admit

import "time"

const (
	firstServiceTime = 2 * time.Millisecond
	// drainWindow is how many seconds of backlog the observed capacity covers.
	drainWindow   = 1.0
	drainMinimum  = 0.05
	drainMinStart = 8
)

// estimate is a moving mean of service times and of their deviation.
type estimate struct {
	samples   int
	mean      time.Duration
	deviation time.Duration
}

func (e *estimate) add(d time.Duration) {
	if e.samples == 0 {
		e.mean, e.deviation = d, d/2
	} else {
		e.deviation += ((e.mean - d).Abs() - e.deviation) / 4
		e.mean += (d - e.mean) / 8
	}
	e.samples++
}

func (e *estimate) expected() time.Duration {
	if e.samples == 0 {
		return firstServiceTime
	}
	return e.mean
}

// safe returns a time within which most statements end.
func (e *estimate) safe() time.Duration {
	return e.expected() + 2*e.deviation
}

// drain measures how much work leaves the queue for each second in which
// something waits. Unlike the number of slots it tells the capacity that is
// really to be had while slots are lent to and fro. Half of what it knows is
// forgotten when the queue has emptied, so that an overload is soon forgotten.
type drain struct {
	starts  float64
	work    float64
	backlog float64
	// since is when the present backlog was last accounted; zero without one.
	since time.Time
}

func (d *drain) advance(now time.Time, waiting bool) {
	ended := !d.since.IsZero() && !waiting
	if !d.since.IsZero() {
		d.backlog += max(0, now.Sub(d.since).Seconds())
	}
	d.since = time.Time{}
	if waiting {
		d.since = now
	}
	if ended || d.backlog > drainWindow {
		d.starts, d.work, d.backlog = d.starts/2, d.work/2, d.backlog/2
	}
}

func (d *drain) start(work time.Duration) {
	d.starts++
	d.work += work.Seconds()
}

func (d *drain) capacity(slots int) float64 {
	if d.starts < drainMinStart || d.backlog <= 0 {
		return float64(max(slots, 1))
	}
	return max(drainMinimum, d.work/d.backlog)
}
