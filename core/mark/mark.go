// Package mark holds what one session has seen of each database group, and the
// samples that prove how fresh an endpoint is.
package mark

import (
	"slices"
	"strings"
	"time"

	"anviltack/core"
)

// MaxGroups is how many groups one session keeps marks for.
const MaxGroups = 16

// Need is what an endpoint must show before a read may run on it.
type Need struct {
	// Point must be covered by what the endpoint shows; the zero Point asks
	// for nothing.
	Point core.Point
	// Since must not be later than the time as of which the endpoint is fresh.
	Since time.Time
}

type entry struct {
	group core.Group
	point core.Point
	turn  uint64
}

// Marks holds the marks of one session.
type Marks struct {
	// arrived is a time after every write that was acknowledged to the caller
	// in a group that has no entry. A group without an entry is read as fresh
	// as of arrived.
	arrived time.Time
	// entries is sorted by group and has at most MaxGroups elements.
	entries []entry
	turn    uint64
}

// New returns the marks of a session that began at arrived and brought none.
func New(arrived time.Time) *Marks {
	return &Marks{arrived: arrived}
}

func (m *Marks) find(g core.Group) (int, bool) {
	return slices.BinarySearchFunc(m.entries, g, func(e entry, g core.Group) int {
		return strings.Compare(string(e.group), string(g))
	})
}

// Point returns the mark of a group, if there is one.
func (m *Marks) Point(g core.Group) (core.Point, bool) {
	i, ok := m.find(g)
	if !ok {
		return core.Point{}, false
	}
	return m.entries[i].point, true
}

// Raise makes the mark of a group cover p and reports whether it changed. When
// there are MaxGroups others, the one raised longest ago gives way, and its
// group is from then on read as fresh as of now.
func (m *Marks) Raise(g core.Group, p core.Point, now time.Time) bool {
	m.turn++
	i, ok := m.find(g)
	if ok {
		e := &m.entries[i]
		e.turn = m.turn
		if e.point.Covers(p) {
			return false
		}
		e.point = e.point.Join(p)
		return true
	}
	if len(m.entries) == MaxGroups {
		m.evict(now)
		i, _ = m.find(g)
	}
	m.entries = slices.Insert(m.entries, i, entry{group: g, point: p, turn: m.turn})
	return true
}

func (m *Marks) evict(now time.Time) {
	oldest := 0
	for i, e := range m.entries {
		if e.turn < m.entries[oldest].turn {
			oldest = i
		}
	}
	m.entries = slices.Delete(m.entries, oldest, oldest+1)
	if now.After(m.arrived) {
		m.arrived = now
	}
}

// Accept raises the marks by a token that the caller handed in. The error is a
// *core.Error with CodeBadMark; the marks are then as before.
func (m *Marks) Accept(token string, now time.Time) error {
	entries, err := parse(token)
	if err != nil {
		return err
	}
	for _, e := range entries {
		m.Raise(e.group, e.point, now)
	}
	return nil
}

// Need returns what a read of group g asks for when it came at now and its data
// may be age old. A group without a mark is read as fresh as of the session's
// arrival, which covers every write acknowledged to the caller before.
func (m *Marks) Need(g core.Group, age time.Duration, now time.Time) Need {
	n := Need{Since: now.Add(-age)}
	p, ok := m.Point(g)
	n.Point = p
	if !ok && m.arrived.After(n.Since) {
		n.Since = m.arrived
	}
	return n
}
