package group

import (
	"slices"
	"time"

	"anviltack/core"
)

// Verdict says whether a statement's answer may go to its caller.
type Verdict string

// The verdicts on a statement that ran.
const (
	VerdictPending   Verdict = "pending"
	VerdictConfirmed Verdict = "confirmed"
	VerdictUnknown   Verdict = "unknown"
)

// Confirmation is what a majority of the group holds in one term.
type Confirmation struct {
	Term uint64
	// Position is held durably by a majority; it never falls within a term.
	Position uint64
	// AsOf is the newest time at which the primary of Term was proved not to
	// have been replaced.
	AsOf time.Time
	// Closed is true once a higher term was seen; nothing of Term is confirmed
	// any more.
	Closed bool
}

// Verdict judges a statement that arrived at arrival, was sent in term and left
// its primary at point.
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

// Confirmed returns what a majority holds in the highest term known.
func (m *Machine) Confirmed() Confirmation { return m.confirmed }

// Current returns the primary's newest reported point.
func (m *Machine) Current() (core.Point, bool) {
	e := m.member(m.primary)
	if e == nil || !e.isPrimary(m.term) {
		return core.Point{}, false
	}
	return core.Point{Term: m.term, Position: e.held(m.term)}, true
}

// confirm recomputes the confirmation from the newest statuses.
func (m *Machine) confirm(now time.Time) {
	c := &m.confirmed
	c.Closed = m.fence > m.term
	m.noteAhead(now)
	if c.Closed || m.primary == "" {
		return
	}
	var positions []uint64
	var times []time.Time
	for _, e := range m.members {
		if m.follows(e) {
			positions = append(positions, e.held(m.term))
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
		m.unmetSince, m.behindSince = now, now
		m.advancedAt = now
	}
	if t := times[len(times)-n]; t.After(c.AsOf) {
		c.AsOf = t
		m.unmetSince = now
	}
	m.noteAhead(now)
	m.resume(now)
}

// noteAhead keeps unconfirmedAt.
func (m *Machine) noteAhead(now time.Time) {
	current, ok := m.Current()
	if !ok || current.Position <= m.confirmed.Position {
		m.unconfirmedAt = time.Time{}
	} else if m.unconfirmedAt.IsZero() {
		m.unconfirmedAt = now
	}
}

// stalled returns how long the primary has held a position that no majority
// holds, without any progress.
func (m *Machine) stalled(now time.Time) time.Duration {
	if m.sparse {
		return m.stalledInVain(now)
	}
	if m.unconfirmedAt.IsZero() {
		return 0
	}
	return now.Sub(latest(m.unconfirmedAt, m.advancedAt, m.heardSince))
}
