package group

import (
	"time"

	"anviltack/core"
)

// Member is an endpoint of the group as configured.
type Member struct {
	Name       core.Endpoint
	DataCentre core.DataCentre
	// SameDataCentre is true for endpoints in the instance's own data centre.
	SameDataCentre bool
	// Leaving endpoints get no new work; a leaving primary is replaced.
	Leaving bool
	// Learner endpoints replicate the log and do not count for majorities.
	Learner bool
}

// member is the machine's state of one endpoint.
type member struct {
	Member
	// status is the newest status, requested at sentAt; known is false until the first
	// one arrives.
	status core.Status
	sentAt time.Time
	known  bool
	// upSince is a time since which the endpoint has not restarted, as of status;
	// zero while unknown.
	upSince time.Time
	// answeredAt is when the endpoint last gave any answer.
	answeredAt time.Time
	// refusedFirst and refusedLast are the times of the first and the last refusal
	// since the last answer.
	refusedFirst time.Time
	refusedLast  time.Time
	refusals     int
	// unansweredSince is when the first sample or overdue statement since the last answer
	// was sent; zero without one.
	unansweredSince time.Time
	// failures counts failures of every kind since the last answer.
	failures int
	// outstanding lists when the samples without an answer were requested, oldest
	// first.
	outstanding []time.Time
	// nextSample is when the next sample is due.
	nextSample time.Time
	// noSampleBefore is the time before which no sample is requested, even for a
	// demand.
	noSampleBefore time.Time
	// newConnection requests the next sample over a new connection.
	newConnection bool
}

// noteAnswer records that the endpoint is alive.
func (e *member) noteAnswer(now time.Time) {
	e.answeredAt = now
	e.unansweredSince = time.Time{}
	e.refusals = 0
	e.failures = 0
}

// noteSampleSent records that a sample was requested.
func (e *member) noteSampleSent(now time.Time) {
	e.outstanding = append(e.outstanding, now)
	e.noteUnanswered(now)
}

// noteUnanswered records that a request sent at sentAt has no answer yet.
func (e *member) noteUnanswered(sentAt time.Time) {
	if e.unansweredSince.IsZero() || sentAt.Before(e.unansweredSince) {
		e.unansweredSince = sentAt
	}
}

// postponeSample schedules the next sample of an endpoint that is alive but could not
// report its status.
func (e *member) postponeSample(now time.Time, p *Periods) {
	e.nextSample = now.Add(p.SampleTimeout)
	e.noSampleBefore = now.Add(p.Busy)
}

// noteFailure records a failure to reach the endpoint and schedules the next sample.
func (e *member) noteFailure(now time.Time, o Outcome, p *Periods) {
	if o == OutcomeRefused {
		if e.refusals == 0 {
			e.refusedFirst = now
		}
		e.refusals++
		e.refusedLast = now
	}
	e.nextSample = now
	if e.failures > 0 || o == OutcomeRefused {
		e.nextSample = now.Add(p.Sample)
	}
	e.failures++
	e.newConnection = true
}

// removeOutstanding removes a sample from the outstanding ones.
func (e *member) removeOutstanding(sentAt time.Time) {
	for i, t := range e.outstanding {
		if t.Equal(sentAt) {
			e.outstanding = append(e.outstanding[:i], e.outstanding[i+1:]...)
			return
		}
	}
}

// isNotListening reports whether refusals show that no process listens at the
// endpoint's address.
func (e *member) isNotListening(span time.Duration) bool {
	return e.refusals >= minRefusals && e.refusedLast.Sub(e.refusedFirst) >= span
}

// isCounted reports whether the endpoint is a voter whose status counts for confirmations in
// the machine's term. Unless terms are external, a term begins with an entry of its own.
func (m *Machine) isCounted(e *member) bool {
	s := e.status
	begun := s.Last.Term == m.term || s.Last == core.Point{}
	return !e.Learner && e.known && s.Term == m.term && s.Term >= m.voters.Floor && s.Fence <= m.term && (begun || m.externalTerms) && m.isFenceReliable(e)
}

// positionIn returns the position up to which the endpoint has the log of term. A log
// whose last entry is of another term may have to be truncated, so nothing of it
// counts.
func (e *member) positionIn(term uint64) uint64 {
	if last := e.status.Last; last.Term != term && last != (core.Point{}) {
		return 0
	}
	return e.status.Received
}

// isPrimary reports whether the endpoint's newest status shows a primary that accepts
// writes in term.
func (e *member) isPrimary(term uint64) bool {
	return e.known && e.status.Role == core.RolePrimary && e.status.Term == term && e.status.Fence == term
}
