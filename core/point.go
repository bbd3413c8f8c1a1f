package core

import (
	"fmt"
	"strconv"
	"strings"
)

// Point is a position in a group's log with the term to which it belongs.
type Point struct {
	// Term is the term of the primary with whose log this one was consistent.
	Term uint64 `json:"term"`
	// Position is the number of log entries (bytes, in PostgreSQL) since the group
	// was created. It keeps increasing from one term to the next.
	Position uint64 `json:"position"`
}

// Covers reports whether a log at p contains everything acknowledged up to q, that
// is, whether neither the term nor the position of p is lower than that of q.
func (p Point) Covers(q Point) bool {
	return p.Term >= q.Term && p.Position >= q.Position
}

// Less orders points by term and then by position.
func (p Point) Less(q Point) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Position < q.Position
}

// Join returns the lowest point that covers both p and q.
func (p Point) Join(q Point) Point {
	return Point{Term: max(p.Term, q.Term), Position: max(p.Position, q.Position)}
}

// String returns the point as "term.position" in decimal.
func (p Point) String() string {
	return strconv.FormatUint(p.Term, 10) + "." + strconv.FormatUint(p.Position, 10)
}

// ParsePoint parses the format that String returns.
func ParsePoint(s string) (Point, error) {
	term, position, ok := strings.Cut(s, ".")
	if !ok {
		return Point{}, fmt.Errorf("core: %q is not a point: no dot", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Point{}, fmt.Errorf("core: %q is not a point: %w", s, err)
	}
	p, err := strconv.ParseUint(position, 10, 64)
	if err != nil {
		return Point{}, fmt.Errorf("core: %q is not a point: %w", s, err)
	}
	return Point{Term: t, Position: p}, nil
}
