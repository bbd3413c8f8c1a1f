package group

import "time"

const (
	// expectedOutage is the expected duration of a failover, from its first sign to the
	// first write confirmed in the new term.
	expectedOutage = 1200 * time.Millisecond
	// longOutage is how long a group may be without a primary before writes are refused
	// instead of queued.
	longOutage = 4 * time.Second
	// minRemaining is the least time that a failover in progress is expected to take
	// from now.
	minRemaining = 200 * time.Millisecond
	// longOutageRetryAfter is the retry delay returned to callers after longOutage.
	longOutageRetryAfter = 2 * time.Second
)

// Availability is whether a group accepts writes now.
type Availability struct {
	// Serving is true while the primary is known and answers.
	Serving bool
	// Replicating is true while enough replicas follow the primary for a write to be
	// confirmed.
	Replicating bool
	// Since is when the first of the two was lost; zero while both hold.
	Since time.Time
}

// IsOpen reports whether a write may be sent to the primary.
func (a Availability) IsOpen() bool { return a.Serving && a.Replicating }

// Admission is whether a write that arrives while the group is closed is queued.
type Admission struct {
	// Wait is true when the write is queued, false when it is refused.
	Wait bool
	// RetryAfter is after how long a refused caller should retry.
	RetryAfter time.Duration
}

// Admit decides whether a write is queued, given the number already queued and its
// limit: it is queued if it is likely to be served before its deadline.
func (a Availability) Admit(now, deadline time.Time, queued, limit int) Admission {
	elapsed := now.Sub(a.Since)
	if a.Since.IsZero() {
		elapsed = 0
	}
	if elapsed > longOutage {
		return Admission{RetryAfter: longOutageRetryAfter}
	}
	remaining := a.remaining(now)
	if queued >= limit || now.Add(remaining).After(deadline) {
		return Admission{RetryAfter: remaining}
	}
	return Admission{Wait: true}
}

// remaining returns how long a failover is expected to take from now.
func (a Availability) remaining(now time.Time) time.Duration {
	if a.Since.IsZero() {
		return expectedOutage
	}
	return max(expectedOutage-now.Sub(a.Since), minRemaining)
}

// WaitTimeout returns how long a queued write waits for the group to open: at most
// twice the expected time, after which the estimate was wrong.
func (a Availability) WaitTimeout(now, deadline time.Time) time.Duration {
	const overrun = 2
	return min(deadline.Sub(now), overrun*a.remaining(now))
}

// Availability returns whether the group accepts writes.
func (m *Machine) Availability() Availability {
	a := Availability{Serving: m.isServing(), Replicating: m.isReplicating()}
	if !a.IsOpen() {
		a.Since = m.closedSince
	}
	return a
}

func (m *Machine) updateClosedSince(now time.Time) {
	switch {
	case m.isServing() && m.isReplicating():
		m.closedSince = time.Time{}
	case m.closedSince.IsZero():
		m.closedSince = now
	}
}

// isServing reports whether the primary is known, answers and is not being replaced.
func (m *Machine) isServing() bool {
	e := m.member(m.primary)
	if e == nil || m.attempt != nil || m.confirmed.Closed || e.failures > 0 {
		return false
	}
	if !e.known || e.status.Term < m.term {
		return false
	}
	if m.externalTerms {
		return e.isPrimary(m.term) && m.now.Sub(m.unansweredRequestSince(e, m.now)) < m.periods.ResponseTimeout
	}
	return e.isPrimary(m.term) && m.now.Sub(e.answeredAt) < m.periods.ResponseTimeout
}

// isReplicating reports whether enough endpoints answer in the primary's term for a new
// write to be confirmed.
func (m *Machine) isReplicating() bool {
	n := m.countVoters(func(e *member) bool {
		return m.isCounted(e) && e.failures == 0 && (e.Name == m.primary || m.isReachable(e, m.now))
	})
	return n >= m.majority() && m.stalled(m.now) < m.periods.Stall/2
}
