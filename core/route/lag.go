package route

import (
	"time"

	"anviltack/core"
	"anviltack/core/mark"
)

// The constants of a LagEstimator.
const (
	// smoothing is the weight of a new value in an exponential moving average.
	smoothing = 0.2
	// behindFactor times the usual lag makes a replica count as behind; its apply rate
	// then predicts better than its usual lag.
	behindFactor = 4
	// minBehind is the least lag at which a replica counts as behind.
	minBehind = 20 * time.Millisecond
	// maxPending bounds the points that a LagEstimator waits for at once.
	maxPending = 32
)

type pendingPoint struct {
	point     core.Point
	reachedAt time.Time
}

// average is an exponential moving average.
type average struct {
	value float64
	known bool
}

func (a *average) add(v float64) {
	if !a.known {
		a.value, a.known = v, true
		return
	}
	a.value += smoothing * (v - a.value)
}

// LagEstimator estimates the replication lag and the apply rate of one replica.
type LagEstimator struct {
	// pending are points that the replica has not yet made visible, oldest first.
	pending   []pendingPoint
	visible   core.Point
	sampledAt time.Time
	lag       average
	rate      average
}

// RecordReached records that the group reached a point at reachedAt; the lag is measured
// when the replica makes the point visible.
func (e *LagEstimator) RecordReached(point core.Point, reachedAt time.Time) {
	if e.visible.Covers(point) || len(e.pending) == maxPending {
		return
	}
	if n := len(e.pending); n > 0 && e.pending[n-1].point.Covers(point) {
		return
	}
	e.pending = append(e.pending, pendingPoint{point: point, reachedAt: reachedAt})
}

// Observe records the visible point from a sample of the replica that was requested at sampledAt.
func (e *LagEstimator) Observe(visible core.Point, sampledAt time.Time) {
	if !sampledAt.After(e.sampledAt) {
		return
	}
	e.updateLag(visible, sampledAt)
	e.updateRate(visible, sampledAt)
	e.visible, e.sampledAt = visible, sampledAt
}

// updateLag takes as the time at which a point became visible the middle between
// the last sample without the point and the first one with it.
func (e *LagEstimator) updateLag(visible core.Point, sampledAt time.Time) {
	n := 0
	for _, p := range e.pending {
		if !visible.Covers(p.point) {
			break
		}
		from := p.reachedAt
		if e.sampledAt.After(from) {
			from = e.sampledAt
		}
		middle := from.Add(sampledAt.Sub(from) / 2)
		e.lag.add(float64(max(middle.Sub(p.reachedAt), 0)))
		n++
	}
	e.pending = append(e.pending[:0], e.pending[n:]...)
}

func (e *LagEstimator) updateRate(visible core.Point, sampledAt time.Time) {
	if e.sampledAt.IsZero() || visible.Term != e.visible.Term || visible.Position < e.visible.Position {
		return
	}
	d := sampledAt.Sub(e.sampledAt).Seconds()
	e.rate.add(float64(visible.Position-e.visible.Position) / d)
}

// Forecast returns the present estimates.
func (e *LagEstimator) Forecast() LagForecast {
	f := LagForecast{Visible: e.visible, SampledAt: e.sampledAt, Lag: time.Duration(e.lag.value), LagKnown: e.lag.known, Rate: e.rate.value}
	if len(e.pending) > 0 {
		f.PendingSince = e.pending[0].reachedAt
	}
	return f
}

// LagForecast predicts when one replica makes points of its group visible.
type LagForecast struct {
	// Visible is the point that was visible on the replica in the sample requested at SampledAt.
	Visible   core.Point
	SampledAt time.Time
	// Lag is the usual time between the group reaching a point and the replica making
	// it visible; valid only if LagKnown is set.
	Lag      time.Duration
	LagKnown bool
	// Rate is the apply rate in positions per second.
	Rate float64
	// PendingSince is when the group reached the oldest point that the replica has not
	// yet made visible; zero if there is none.
	PendingSince time.Time
}

// currentLag returns the usual lag, or the age of the oldest pending point if that is longer.
func (f LagForecast) currentLag(now time.Time) (time.Duration, bool) {
	if !f.PendingSince.IsZero() {
		if late := now.Sub(f.PendingSince); late > f.Lag {
			return late, true
		}
	}
	return f.Lag, f.LagKnown
}

func (f LagForecast) isBehind(now time.Time) bool {
	return !f.PendingSince.IsZero() && now.Sub(f.PendingSince) > max(behindFactor*f.Lag, minBehind)
}

// coverTime returns when the replica should make visible a point that the group reached
// at the given time. If the replica keeps up, the usual lag predicts it; if it is
// behind, its apply rate does.
func (f LagForecast) coverTime(point core.Point, reachedAt, now time.Time) (time.Time, bool) {
	if f.Visible.Covers(point) {
		return now, true
	}
	if !f.isBehind(now) {
		return latest(reachedAt.Add(f.Lag), now), f.LagKnown
	}
	if f.Rate <= 0 || point.Position <= f.Visible.Position {
		return time.Time{}, false
	}
	seconds := float64(point.Position-f.Visible.Position) / f.Rate
	if seconds > maxRetryAfter.Seconds() {
		return time.Time{}, false
	}
	return latest(f.SampledAt.Add(time.Duration(seconds*float64(time.Second))), now), true
}

// ExpectedAt returns when the replica should satisfy a requirement whose point the
// group reached at reachedAt.
func (f LagForecast) ExpectedAt(requirement mark.Requirement, reachedAt, now time.Time) (time.Time, bool) {
	t, ok := f.coverTime(requirement.Point, reachedAt, now)
	if !ok {
		return time.Time{}, false
	}
	lag, ok := f.currentLag(now)
	if !ok {
		return time.Time{}, false
	}
	return latest(t, requirement.Since.Add(lag)), true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
