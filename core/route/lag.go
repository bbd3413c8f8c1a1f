package route

import (
	"time"

	"anviltack/core"
	"anviltack/core/mark"
)

// The constants of a Pace.
const (
	// smoothing is the weight of a new value in an average.
	smoothing = 0.2
	// lateFactor times the usual lag is when a replica counts as behind, so
	// that its rate tells more than its usual lag.
	lateFactor = 4
	// leastLate is how late a replica is at least before it counts as behind.
	leastLate = 20 * time.Millisecond
	// maxTargets bounds the points that a Pace watches for at once.
	maxTargets = 32
)

type target struct {
	point core.Point
	at    time.Time
}

// average is an exponentially weighted moving average.
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

// Pace learns how fast one replica follows its primary.
type Pace struct {
	// targets are points that the replica has yet to show, oldest first.
	targets []target
	visible core.Point
	sampled time.Time
	lag     average
	rate    average
}

// Expect tells that the group reached p at a time; the replica's lag is learnt
// from when it shows p.
func (p *Pace) Expect(point core.Point, at time.Time) {
	if p.visible.Covers(point) || len(p.targets) == maxTargets {
		return
	}
	if n := len(p.targets); n > 0 && p.targets[n-1].point.Covers(point) {
		return
	}
	p.targets = append(p.targets, target{point: point, at: at})
}

// Observe takes what the replica showed when asked at sampled.
func (p *Pace) Observe(visible core.Point, sampled time.Time) {
	if !sampled.After(p.sampled) {
		return
	}
	p.learnLag(visible, sampled)
	p.learnRate(visible, sampled)
	p.visible, p.sampled = visible, sampled
}

// learnLag takes the middle between the last time a target was not yet shown
// and the first time that it was.
func (p *Pace) learnLag(visible core.Point, sampled time.Time) {
	n := 0
	for _, t := range p.targets {
		if !visible.Covers(t.point) {
			break
		}
		from := t.at
		if p.sampled.After(from) {
			from = p.sampled
		}
		middle := from.Add(sampled.Sub(from) / 2)
		p.lag.add(float64(max(middle.Sub(t.at), 0)))
		n++
	}
	p.targets = append(p.targets[:0], p.targets[n:]...)
}

func (p *Pace) learnRate(visible core.Point, sampled time.Time) {
	if p.sampled.IsZero() || visible.Term != p.visible.Term || visible.Position < p.visible.Position {
		return
	}
	d := sampled.Sub(p.sampled).Seconds()
	p.rate.add(float64(visible.Position-p.visible.Position) / d)
}

// Outlook returns what the pace tells of the time to come.
func (p *Pace) Outlook() Outlook {
	o := Outlook{Visible: p.visible, Sampled: p.sampled, Lag: time.Duration(p.lag.value), Known: p.lag.known, Rate: p.rate.value}
	if len(p.targets) > 0 {
		o.Due = p.targets[0].at
	}
	return o
}

// Outlook is what is known of how one replica follows its primary.
type Outlook struct {
	// Visible is the point that the replica showed when asked at Sampled.
	Visible core.Point
	Sampled time.Time
	// Lag is how long after the group the replica usually shows a point; it
	// means something only if Known.
	Lag   time.Duration
	Known bool
	// Rate is the positions per second by which the replica went on.
	Rate float64
	// Due is when the group reached the oldest point that the replica has yet
	// to show; zero when there is none.
	Due time.Time
}

// lag returns how long after the group the replica shows a point: the usual
// time, or longer when a point is overdue.
func (o Outlook) lag(now time.Time) (time.Duration, bool) {
	if !o.Due.IsZero() {
		if late := now.Sub(o.Due); late > o.Lag {
			return late, true
		}
	}
	return o.Lag, o.Known
}

func (o Outlook) isBehind(now time.Time) bool {
	return !o.Due.IsZero() && now.Sub(o.Due) > max(lateFactor*o.Lag, leastLate)
}

// coversAt returns when the replica should show a point that the group reached
// at a time. A replica that keeps up is expected after its usual lag, one that
// is behind when its rate has brought it there.
func (o Outlook) coversAt(point core.Point, at, now time.Time) (time.Time, bool) {
	if o.Visible.Covers(point) {
		return now, true
	}
	if !o.isBehind(now) {
		return latest(at.Add(o.Lag), now), o.Known
	}
	if o.Rate <= 0 || point.Position <= o.Visible.Position {
		return time.Time{}, false
	}
	seconds := float64(point.Position-o.Visible.Position) / o.Rate
	if seconds > maxRetryAfter.Seconds() {
		return time.Time{}, false
	}
	return latest(o.Sampled.Add(time.Duration(seconds*float64(time.Second))), now), true
}

// Expected returns when the replica should satisfy a need whose point the group
// reached at reached.
func (o Outlook) Expected(n mark.Need, reached, now time.Time) (time.Time, bool) {
	t, ok := o.coversAt(n.Point, reached, now)
	if !ok {
		return time.Time{}, false
	}
	lag, ok := o.lag(now)
	if !ok {
		return time.Time{}, false
	}
	return latest(t, n.Since.Add(lag)), true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
