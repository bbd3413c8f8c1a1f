package group

import "time"

const (
	// expectedGap is how long a failover is expected to take from its first
	// sign to the first write confirmed in the new term.
	expectedGap = 1200 * time.Millisecond
	// hopelessGap is how long a group may be without a primary before nobody
	// waits for one any more.
	hopelessGap = 4 * time.Second
	// minRemaining is the least time that a failover in progress is expected to
	// take from now on.
	minRemaining = 200 * time.Millisecond
	// hopelessRetry is the advice to a caller once a failover takes too long.
	hopelessRetry = 2 * time.Second
)

// Availability tells whether a group takes writes now.
type Availability struct {
	// Serving is true while the primary is known and answers.
	Serving bool
	// Replicating is true while enough replicas follow for a write to be
	// confirmed.
	Replicating bool
	// Since is when either was lost; zero while both hold.
	Since time.Time
}

// IsOpen reports whether a write may be sent to the primary.
func (a Availability) IsOpen() bool { return a.Serving && a.Replicating }

// Admission says whether a write that found the group closed waits.
type Admission struct {
	// Wait is true when the write is queued; otherwise it is refused.
	Wait bool
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

// Admit decides on a write with a deadline when queued writes of at most limit
// wait already: it waits while it is likely to be served in time.
func (a Availability) Admit(now, deadline time.Time, queued, limit int) Admission {
	elapsed := now.Sub(a.Since)
	if a.Since.IsZero() {
		elapsed = 0
	}
	if elapsed > hopelessGap {
		return Admission{RetryAfter: hopelessRetry}
	}
	remaining := a.remaining(now)
	if queued >= limit || now.Add(remaining).After(deadline) {
		return Admission{RetryAfter: remaining}
	}
	return Admission{Wait: true}
}

// remaining returns how long a failover is expected to take from now on.
func (a Availability) remaining(now time.Time) time.Duration {
	if a.Since.IsZero() {
		return expectedGap
	}
	return max(expectedGap-now.Sub(a.Since), minRemaining)
}

// Patience returns how long a write that was let in waits for the group to open: as
// long again as was expected, after which the expectation was wrong.
func (a Availability) Patience(now, deadline time.Time) time.Duration {
	const overrun = 2
	return min(deadline.Sub(now), overrun*a.remaining(now))
}

// Availability returns whether the group takes writes.
func (m *Machine) Availability() Availability {
	a := Availability{Serving: m.isServing(), Replicating: m.isReplicating()}
	if !a.IsOpen() {
		a.Since = m.closedSince
	}
	return a
}

// noteClosed keeps closedSince.
func (m *Machine) noteClosed(now time.Time) {
	switch {
	case m.isServing() && m.isReplicating():
		m.closedSince = time.Time{}
	case m.closedSince.IsZero():
		m.closedSince = now
	}
}

// isServing reports whether the primary is known and nothing speaks against it.
func (m *Machine) isServing() bool {
	e := m.member(m.primary)
	if e == nil || m.attempt != nil || m.confirmed.Closed || e.failures > 0 {
		return false
	}
	if !e.known || e.status.Term < m.term {
		return false
	}
	if m.givenTerms {
		return e.isPrimary(m.term) && m.now.Sub(m.questioned(e, m.now)) < m.periods.Doubt
	}
	return e.isPrimary(m.term) && m.now.Sub(e.answeredAt) < m.periods.Doubt
}

// isReplicating reports whether enough replicas answer in the primary's term for
// a new write to be confirmed.
func (m *Machine) isReplicating() bool {
	n := 0
	for _, e := range m.members {
		if m.follows(e) && e.failures == 0 && (e.Name == m.primary || m.isReachable(e, m.now)) {
			n++
		}
	}
	return n >= m.majority() && m.stalled(m.now) < m.periods.Stall/2
}
