// Package mark holds the high-water marks of a session, one for each database group, and the
// samples that prove how fresh an endpoint is.
package mark

import (
	"slices"
	"strings"
	"time"

	"anviltack/core"
)

// MaxGroups is the maximum number of groups with a mark in one session.
const MaxGroups = 16

// Requirement is what an endpoint must satisfy before a read may run on it.
type Requirement struct {
	// Point must be covered by the point visible on the endpoint; the zero Point
	// requires nothing.
	Point core.Point
	// Since must not be later than the time as of which the endpoint is fresh.
	Since time.Time
}

type entry struct {
	group core.Group
	point core.Point
	// lastRaise is the value of Marks.raises at the last Raise of the group.
	lastRaise uint64
}

// Marks holds the marks of one session.
type Marks struct {
	// baseline is a time after every write that was acknowledged to the caller in a
	// group without an entry. Reads of such a group must be fresh as of baseline.
	baseline time.Time
	// entries is sorted by group and has at most MaxGroups elements.
	entries []entry
	// raises counts the calls of Raise.
	raises uint64
}

// New returns the marks of a session that began at start without a token.
func New(start time.Time) *Marks {
	return &Marks{baseline: start}
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

// Raise makes the mark of a group cover p and reports whether it changed. If there
// are MaxGroups others, it evicts the mark raised least recently; reads of that
// group must then be fresh as of now.
func (m *Marks) Raise(g core.Group, p core.Point, now time.Time) bool {
	m.raises++
	i, ok := m.find(g)
	if ok {
		e := &m.entries[i]
		e.lastRaise = m.raises
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
	m.entries = slices.Insert(m.entries, i, entry{group: g, point: p, lastRaise: m.raises})
	return true
}

func (m *Marks) evict(now time.Time) {
	oldest := 0
	for i, e := range m.entries {
		if e.lastRaise < m.entries[oldest].lastRaise {
			oldest = i
		}
	}
	m.entries = slices.Delete(m.entries, oldest, oldest+1)
	if now.After(m.baseline) {
		m.baseline = now
	}
}

// Accept raises the marks to cover those of a token from the caller. The error is a
// *core.Error with CodeBadMark; the marks are then unchanged.
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

// Requirement returns the requirement of a read of group g that arrived at now and allows
// data of age maxAge. A read of a group without a mark must also be fresh as of the start
// of the session, which covers every write acknowledged to the caller before.
func (m *Marks) Requirement(g core.Group, maxAge time.Duration, now time.Time) Requirement {
	r := Requirement{Since: now.Add(-maxAge)}
	p, ok := m.Point(g)
	r.Point = p
	if !ok && m.baseline.After(r.Since) {
		r.Since = m.baseline
	}
	return r
}
