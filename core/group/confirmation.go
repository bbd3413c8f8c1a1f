package group

import (
	"slices"
	"time"

	"anviltack/core"
)

// Verdict is whether the answer of a statement may be returned to its caller.
type Verdict string

// The verdicts on an executed statement.
const (
	VerdictPending   Verdict = "pending"
	VerdictConfirmed Verdict = "confirmed"
	VerdictUnknown   Verdict = "unknown"
)

// Confirmation is how far a majority of the group has confirmed one term.
type Confirmation struct {
	Term uint64
	// Position is held durably by a majority; it never decreases within a term.
	Position uint64
	// AsOf is the newest time at which the primary of Term is proved not to have been
	// replaced.
	AsOf time.Time
	// Closed is true once a higher term was seen; nothing more of Term is confirmed
	// then.
	Closed bool
}

// Verdict returns the verdict on a statement that arrived at arrival, was sent to the
// primary of term and was executed with the primary's log at point.
func (c Confirmation) Verdict(arrival time.Time, term uint64, point core.Point) Verdict {
	switch {
	case point.Term != term, c.Term > term, c.Term == term && c.Closed:
		return VerdictUnknown
	case c.Term == term && c.Position >= point.Position && !c.AsOf.Before(arrival):
		return VerdictConfirmed
	default:
		return VerdictPending
	}
}

// Confirmed returns the confirmation of the highest term known.
func (m *Machine) Confirmed() Confirmation { return m.confirmed }

// PrimaryPoint returns the newest point that the primary reported.
func (m *Machine) PrimaryPoint() (core.Point, bool) {
	e := m.member(m.primary)
	if e == nil || !e.isPrimary(m.term) {
		return core.Point{}, false
	}
	return core.Point{Term: m.term, Position: e.positionIn(m.term)}, true
}

// confirm recomputes the confirmation from the newest statuses.
func (m *Machine) confirm(now time.Time) {
	c := &m.confirmed
	c.Closed = m.fence > m.term
	m.updateUnconfirmedSince(now)
	if c.Closed || m.primary == "" {
		return
	}
	var positions []uint64
	var times []time.Time
	for _, e := range m.members {
		if m.isCounted(e) {
			positions = append(positions, e.positionIn(m.term))
			times = append(times, e.sentAt)
		}
	}
	n := m.majority()
	if len(positions) < n {
		return
	}
	slices.Sort(positions)
	slices.SortFunc(times, time.Time.Compare)
	if p := positions[len(positions)-n]; p > c.Position {
		c.Position = p
		m.noProgressSince, m.positionBehindSince = now, now
		m.advancedAt = now
	}
	if t := times[len(times)-n]; t.After(c.AsOf) {
		c.AsOf = t
		m.noProgressSince = now
	}
	m.updateUnconfirmedSince(now)
	m.noteResumed(now)
}

func (m *Machine) updateUnconfirmedSince(now time.Time) {
	current, ok := m.PrimaryPoint()
	if !ok || current.Position <= m.confirmed.Position {
		m.unconfirmedSince = time.Time{}
	} else if m.unconfirmedSince.IsZero() {
		m.unconfirmedSince = now
	}
}

// stalled returns how long the primary has been ahead of the confirmed position without
// that position rising.
func (m *Machine) stalled(now time.Time) time.Duration {
	if m.sparseSamples {
		return m.stalledOnDemand(now)
	}
	if m.unconfirmedSince.IsZero() {
		return 0
	}
	return now.Sub(latest(m.unconfirmedSince, m.advancedAt, m.listeningSince))
}
