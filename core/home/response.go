package home

import (
	"maps"
	"slices"
	"time"

	"anviltack/core"
)

const (
	// slowFactor is how many times the usual time a slow home instance takes to open a
	// session.
	slowFactor = 3
	// slowMargin is how much longer than usual it takes at least: an operation has up to
	// 12 statements, and with less its caller hardly notices.
	slowMargin = 10 * time.Millisecond
	// minHold and maxHold bound how long a slow home instance gets no sessions before one
	// more is tried; the time doubles while it stays slow.
	minHold = 2 * time.Second
	maxHold = 8 * time.Second
	// responseMemory is how long an observation counts.
	responseMemory = 10 * time.Second
	// usualStep is the factor by which one observation moves the usual time.
	usualStep = 1.2
)

// Responses are the times that the home instances take to open sessions, as one instance
// observes them, and the order in which it tries them. It is not safe for concurrent use.
type Responses struct {
	// near and far are the usual times in the own data centre and in others.
	near, far   usualTime
	byInstance  map[core.Instance]*response
	forgottenAt time.Time
}

// usualTime follows the median of the observed times; zero before the first.
type usualTime time.Duration

func (u *usualTime) add(took time.Duration) {
	switch {
	case *u == 0:
		*u = usualTime(took)
	case took > time.Duration(*u):
		*u = usualTime(float64(*u) * usualStep)
	default:
		*u = usualTime(float64(*u) / usualStep)
	}
}

// isExceeded reports whether a time is that of a slow instance. An instance that is slow
// itself observes long times everywhere, and soon takes them as usual.
func (u *usualTime) isExceeded(took time.Duration) bool {
	usual := time.Duration(*u)
	return took > slowFactor*usual && took > usual+slowMargin
}

// response is what was observed of one home instance.
type response struct {
	// average is the moving average of the times.
	average    time.Duration
	observedAt time.Time
	// hold is how long the instance gets no sessions; zero while it is not slow. It gets
	// the next one at retryAt or later, which isRetried says it has got.
	hold      time.Duration
	retryAt   time.Time
	isRetried bool
}

// Observe records how long a home instance took to open a session, and reports whether it
// became slow or ceased to be.
func (r *Responses) Observe(now time.Time, i core.Instance, isNear bool, took time.Duration) bool {
	r.forget(now)
	usual := &r.far
	if isNear {
		usual = &r.near
	}
	usual.add(took)
	o := r.recent(now, i)
	if o == nil {
		o = &response{average: took}
		r.byInstance[i] = o
	}
	o.observedAt = now
	wasSlow := o.hold > 0
	if wasSlow && !usual.isExceeded(took) {
		o.average = took
	} else {
		o.average = (o.average + took) / 2
	}
	switch {
	case !usual.isExceeded(o.average):
		o.hold, o.retryAt = 0, time.Time{}
	case !wasSlow:
		o.hold, o.retryAt = minHold, now.Add(minHold)
	case o.isRetried:
		o.hold = min(2*o.hold, maxHold)
		o.retryAt = now.Add(o.hold)
	}
	o.isRetried = false
	return wasSlow != (o.hold > 0)
}

// Recent returns the average time that a home instance took to open a session, zero if none
// was observed lately, and whether it is slow.
func (r *Responses) Recent(now time.Time, i core.Instance) (time.Duration, bool) {
	o := r.recent(now, i)
	if o == nil {
		return 0, false
	}
	return o.average, o.hold > 0
}

// recent returns what was observed of an instance; nil if that is too long ago.
func (r *Responses) recent(now time.Time, i core.Instance) *response {
	o := r.byInstance[i]
	if o == nil || now.Sub(o.observedAt) >= responseMemory {
		return nil
	}
	return o
}

// forget drops old observations from time to time.
func (r *Responses) forget(now time.Time) {
	if r.byInstance == nil {
		r.byInstance = make(map[core.Instance]*response)
	}
	if now.Sub(r.forgottenAt) < responseMemory {
		return
	}
	r.forgottenAt = now
	maps.DeleteFunc(r.byInstance, func(i core.Instance, _ *response) bool { return r.recent(now, i) == nil })
}

// candidate is a home instance with its class: lower ones are tried first.
type candidate struct {
	instance core.Instance
	class    int
}

// Classes of candidates.
const (
	classNear = iota
	// classNearSlow are slow instances in the own data centre that are still not slower
	// than the usual way to another one.
	classNearSlow
	classFar
	classSlow
)

// Order returns the home instances in the order in which to try them for a new session,
// given those of the own data centre and the others, each in random order. Of the first two
// the one that is clearly quicker comes first.
func (r *Responses) Order(now time.Time, near, far []core.Instance) []core.Instance {
	candidates := make([]candidate, 0, len(near)+len(far))
	for _, i := range near {
		candidates = append(candidates, candidate{instance: i, class: r.nearClass(now, i)})
	}
	for _, i := range far {
		c := candidate{instance: i, class: classFar}
		if o := r.recent(now, i); o != nil && now.Before(o.retryAt) {
			c.class = classSlow
		}
		candidates = append(candidates, c)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return a.class - b.class })
	if len(candidates) > 1 && candidates[0].class == candidates[1].class && r.isQuicker(now, candidates[1].instance, candidates[0].instance) {
		candidates[0], candidates[1] = candidates[1], candidates[0]
	}
	ordered := make([]core.Instance, 0, len(candidates))
	for _, c := range candidates {
		ordered = append(ordered, c.instance)
	}
	if len(ordered) > 0 {
		r.retry(now, ordered[0])
	}
	return ordered
}

// nearClass returns the class of a home instance in the own data centre.
func (r *Responses) nearClass(now time.Time, i core.Instance) int {
	o := r.recent(now, i)
	switch {
	case o == nil || !now.Before(o.retryAt):
		return classNear
	case o.average <= time.Duration(r.far)+slowMargin:
		return classNearSlow
	}
	return classSlow
}

// isQuicker reports whether an instance takes less than half the time of another one that
// is not slow; a slow one that is tried again has to get its session.
func (r *Responses) isQuicker(now time.Time, i, than core.Instance) bool {
	a, b := r.recent(now, i), r.recent(now, than)
	return a != nil && b != nil && b.hold == 0 && 2*a.average < b.average
}

// retry notes that a slow instance gets a session, so that it gets no more before its
// response is known.
func (r *Responses) retry(now time.Time, i core.Instance) {
	if o := r.recent(now, i); o != nil && o.hold > 0 && !now.Before(o.retryAt) {
		o.retryAt, o.isRetried = now.Add(o.hold), true
	}
}
