package endpoint

import (
	"time"

	"anviltack/core"
)

// Change is one row change of an entry.
type Change struct {
	Table  Table  `json:"table"`
	Key    string `json:"key"`
	Value  string `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Entry is one committed transaction in the log, or the empty entry with which
// a term begins.
type Entry struct {
	core.Point
	Changes []Change `json:"changes,omitempty"`
	// at is when this endpoint wrote or received the entry.
	at time.Time
}

// last returns the point of the last entry; e.mu is held.
func (e *Endpoint) last() core.Point {
	if len(e.entries) == 0 {
		return core.Point{}
	}
	return e.entries[len(e.entries)-1].Point
}

// pointAt returns the point of the entry at a position; e.mu is held.
func (e *Endpoint) pointAt(position uint64) core.Point {
	if position == 0 || position > uint64(len(e.entries)) {
		return core.Point{}
	}
	return e.entries[position-1].Point
}

// add writes an entry on the primary and makes it visible; e.mu is held.
func (e *Endpoint) add(changes []Change) {
	point := core.Point{Term: e.term, Position: uint64(len(e.entries)) + 1}
	e.entries = append(e.entries, Entry{Point: point, Changes: changes, at: time.Now()})
	e.received = point.Position
	e.show(point.Position)
	e.broadcast()
}

// show applies entries up to a position; e.mu is held.
func (e *Endpoint) show(position uint64) {
	for e.applied < position {
		e.tables.apply(e.entries[e.applied])
		e.applied++
	}
}

// cut drops the entries from a position on; e.mu is held.
func (e *Endpoint) cut(from uint64) {
	e.entries = e.entries[: from-1 : from-1]
	e.received = min(e.received, from-1)
	if e.applied < from {
		return
	}
	e.applied = 0
	e.tables = newTables()
	e.show(from - 1)
}

// lead makes the endpoint primary of a term; e.mu is held.
func (e *Endpoint) lead(term uint64) {
	e.role = core.RolePrimary
	e.term = term
	e.pushed = term
	e.show(uint64(len(e.entries)))
	e.add(nil)
}

// stepDown makes a primary a replica of its own term; e.mu is held.
func (e *Endpoint) stepDown() {
	if e.role != core.RolePrimary {
		return
	}
	e.role = core.RoleReplica
	e.broadcast()
}

// isWritable reports whether writes may commit; e.mu is held.
func (e *Endpoint) isWritable() bool {
	return e.role == core.RolePrimary && e.fence == e.term
}

// status returns what the endpoint reports of itself; e.mu is held.
func (e *Endpoint) status() core.Status {
	return core.Status{
		Role:     e.role,
		Fence:    e.fence,
		Term:     e.term,
		Received: e.received,
		Applied:  e.applied,
		Last:     e.last(),
	}
}

// raiseFence tells the endpoint a higher term.
func (e *Endpoint) raiseFence(term uint64) (core.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term <= e.fence {
		return core.Status{}, newSQLError(stateNotReady, "fence is already at term %d", e.fence)
	}
	e.fence = term
	e.broadcast()
	return e.status(), nil
}

// promote makes the endpoint primary of the term of its fence.
func (e *Endpoint) promote(term uint64) (core.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role == core.RolePrimary && e.term == term && e.fence == term {
		return e.status(), nil
	}
	if term != e.fence || e.pushed >= term {
		return core.Status{}, newSQLError(stateNotReady, "fence is at term %d, primary known of term %d", e.fence, e.pushed)
	}
	e.lead(term)
	return e.status(), nil
}
