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

// Entry is one committed transaction in the log, or the empty entry that starts
// a term.
type Entry struct {
	core.Point
	Changes []Change `json:"changes,omitempty"`
	// storedAt is when this endpoint wrote or received the entry.
	storedAt time.Time
}

// lastPoint returns the point of the last entry; e.mu is held.
func (e *Endpoint) lastPoint() core.Point {
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

// appendEntry writes an entry on the primary and applies it; e.mu is held.
func (e *Endpoint) appendEntry(changes []Change) {
	point := core.Point{Term: e.term, Position: uint64(len(e.entries)) + 1}
	e.entries = append(e.entries, Entry{Point: point, Changes: changes, storedAt: time.Now()})
	e.received = point.Position
	e.applyUpTo(point.Position)
	e.notifyChanged()
}

// applyUpTo applies the entries up to a position; e.mu is held.
func (e *Endpoint) applyUpTo(position uint64) {
	for e.applied < position {
		e.tables.apply(e.entries[e.applied])
		e.applied++
	}
}

// truncate drops the entries from a position on and rebuilds the tables if
// applied entries are among them; e.mu is held.
func (e *Endpoint) truncate(from uint64) {
	e.entries = e.entries[: from-1 : from-1]
	e.received = min(e.received, from-1)
	if e.applied < from {
		return
	}
	e.applied = 0
	e.tables = newTables()
	e.applyUpTo(from - 1)
}

// becomePrimary makes the endpoint primary of a term and starts the term with
// an empty entry; e.mu is held.
func (e *Endpoint) becomePrimary(term uint64) {
	e.role = core.RolePrimary
	e.term = term
	e.primaryTerm = term
	e.applyUpTo(uint64(len(e.entries)))
	e.appendEntry(nil)
}

// stepDown makes a primary a replica of its own term; e.mu is held.
func (e *Endpoint) stepDown() {
	if e.role != core.RolePrimary {
		return
	}
	e.role = core.RoleReplica
	e.notifyChanged()
}

// isWritable reports whether writes may commit; e.mu is held.
func (e *Endpoint) isWritable() bool {
	return e.role == core.RolePrimary && e.fence == e.term
}

// status returns the endpoint's status; e.mu is held.
func (e *Endpoint) status() core.Status {
	return core.Status{
		Role:     e.role,
		Fence:    e.fence,
		Term:     e.term,
		Received: e.received,
		Applied:  e.applied,
		Last:     e.lastPoint(),
	}
}

// raiseFence sets the fence to a higher term.
func (e *Endpoint) raiseFence(term uint64) (core.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term <= e.fence {
		return core.Status{}, newSQLError(stateNotReady, "fence is already at term %d", e.fence)
	}
	e.fence = term
	e.notifyChanged()
	return e.status(), nil
}

// promote makes the endpoint primary of the term of its fence.
func (e *Endpoint) promote(term uint64) (core.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role == core.RolePrimary && e.term == term && e.fence == term {
		return e.status(), nil
	}
	if term != e.fence || e.primaryTerm >= term {
		return core.Status{}, newSQLError(stateNotReady, "fence is at term %d, highest term with a primary is %d", e.fence, e.primaryTerm)
	}
	e.becomePrimary(term)
	return e.status(), nil
}
