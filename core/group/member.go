package group

import (
	"time"

	"anviltack/core"
)

// Member is an endpoint of the group as the configuration lists it.
type Member struct {
	Name       core.Endpoint
	DataCentre core.DataCentre
	// Near tells that the endpoint is in the instance's data centre.
	Near bool
	// Leaving tells that the endpoint gets no new work; as a primary it is
	// relieved.
	Leaving bool
}

// member is what the machine knows of one endpoint.
type member struct {
	Member
	// status is the newest report, asked for at sentAt; known is false before
	// the first one.
	status core.Status
	sentAt time.Time
	known  bool
	// runsSince is a time since which the endpoint has run without a break, as of
	// status; zero while none is known.
	runsSince time.Time
	// answeredAt is when the endpoint last answered anything.
	answeredAt time.Time
	// refusedFirst and refusedLast bound the refusals since the last answer.
	refusedFirst time.Time
	refusedLast  time.Time
	refusals     int
	// silentSince is when the first question went out that was not answered; zero
	// without one.
	silentSince time.Time
	// failures counts every kind of failure since the last answer.
	failures int
	// outstanding lists when the samples still unanswered were asked for,
	// oldest first.
	outstanding []time.Time
	// nextSample is when the next sample is due.
	nextSample time.Time
	// heldUntil is until when no sample is asked for, whatever is wanted.
	heldUntil time.Time
	// fresh asks for the next sample over a new connection.
	fresh bool
}

// answered notes that the endpoint is alive.
func (e *member) answered(now time.Time) {
	e.answeredAt = now
	e.silentSince = time.Time{}
	e.refusals = 0
	e.failures = 0
}

// sampled notes that a sample was asked for.
func (e *member) sampled(now time.Time) {
	e.outstanding = append(e.outstanding, now)
	if e.silentSince.IsZero() {
		e.silentSince = now
	}
}

// postponed notes that an endpoint which lives could not report.
func (e *member) postponed(now time.Time, p *Periods) {
	e.nextSample = now.Add(p.SampleTimeout)
	e.heldUntil = now.Add(p.Busy)
}

// failed notes a failure to reach the endpoint and when to try again.
func (e *member) failed(now time.Time, f Failure, p *Periods) {
	if f == FailureRefused {
		if e.refusals == 0 {
			e.refusedFirst = now
		}
		e.refusals++
		e.refusedLast = now
	}
	e.nextSample = now
	if e.failures > 0 || f == FailureRefused {
		e.nextSample = now.Add(p.Sample)
	}
	e.failures++
	e.fresh = true
}

// settle drops a sample from the outstanding ones.
func (e *member) settle(sentAt time.Time) {
	for i, t := range e.outstanding {
		if t.Equal(sentAt) {
			e.outstanding = append(e.outstanding[:i], e.outstanding[i+1:]...)
			return
		}
	}
}

// isDead reports whether refusals show that no process listens.
func (e *member) isDead(span time.Duration) bool {
	return e.refusals >= minRefusals && e.refusedLast.Sub(e.refusedFirst) >= span
}

// follows reports whether the endpoint's status counts for confirmations in term.
// Unless terms are given from outside, a term begins with an entry of its own.
func (m *Machine) follows(e *member) bool {
	s := e.status
	begun := s.Last.Term == m.term || s.Last == core.Point{}
	return e.known && s.Term == m.term && s.Fence <= m.term && (begun || m.givenTerms) && m.remembers(e)
}

// held returns the position up to which the endpoint holds the log of term. A log
// whose last entry is older may have to be cut back, so nothing of it counts.
func (e *member) held(term uint64) uint64 {
	if last := e.status.Last; last.Term != term && last != (core.Point{}) {
		return 0
	}
	return e.status.Received
}

// isPrimary reports whether the endpoint last reported to be a primary that
// takes writes in term.
func (e *member) isPrimary(term uint64) bool {
	return e.known && e.status.Role == core.RolePrimary && e.status.Term == term && e.status.Fence == term
}
