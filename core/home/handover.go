package home

import (
	"maps"
	"slices"
	"time"

	"anviltack/core"
	"anviltack/core/place"
)

const (
	// formerFor is how long a former home counts as one that still holds connections: until
	// its sessions have ended and it has left the group.
	formerFor = sessionGrace + minRetention
	// takeoverDelay is how long a new home leaves the connections of a whole share to the
	// home that it replaces, which may learn of it later and then still ends its sessions.
	takeoverDelay = 1500 * time.Millisecond
	// unknownNonHomes is how many instances may hold connections besides the former homes
	// that an instance knows of: another list named them, or no home accepted a session.
	unknownNonHomes = 1
)

// Handover divides the connections to endpoints while homes of their groups move. An
// endpoint accepts one share more than its group has homes: former homes and new ones divide
// that share, until the former ones have left and the new ones replace them. Together all
// stay at or below the limit if they learn of a move within takeoverDelay, unless most homes
// of a group move within that time.
type Handover struct {
	homes map[core.Group][]core.Instance
	// startedAt is when each new home became one, and endedAt when each former one ceased
	// to be one.
	startedAt, endedAt moves
}

// moves are the times of moves.
type moves map[core.Group]map[core.Instance]time.Time

func (m moves) add(now time.Time, g core.Group, i core.Instance) {
	if m[g] == nil {
		m[g] = make(map[core.Instance]time.Time)
	}
	m[g][i] = now
}

// forget drops the moves that are older than an age.
func (m moves) forget(now time.Time, age time.Duration) {
	for g, at := range m {
		maps.DeleteFunc(at, func(_ core.Instance, t time.Time) bool { return now.Sub(t) >= age })
		if len(at) == 0 {
			delete(m, g)
		}
	}
}

// Assign records an assignment. The homes of a group's first one are not new: it is not known
// which instances they replace, if any.
func (h *Handover) Assign(now time.Time, homes map[core.Group][]core.Instance) {
	if h.homes == nil {
		h.startedAt, h.endedAt = make(moves), make(moves)
	}
	h.startedAt.forget(now, takeoverDelay)
	h.endedAt.forget(now, formerFor)
	for g, before := range h.homes {
		for _, i := range before {
			if !slices.Contains(homes[g], i) {
				h.endedAt.add(now, g, i)
				delete(h.startedAt[g], i)
			}
		}
		for _, i := range homes[g] {
			if !slices.Contains(before, i) {
				h.startedAt.add(now, g, i)
				delete(h.endedAt[g], i)
			}
		}
	}
	h.homes = homes
}

// Share returns how many of maxConnections to an endpoint of a group an instance may open:
// a home, a former home, or one that serves because no home accepted a session.
func (h *Handover) Share(now time.Time, g core.Group, i core.Instance, maxConnections int) int {
	homes := h.homes[g]
	isHome := len(homes) == 0 || slices.Contains(homes, i)
	if isHome && now.Sub(h.startedAt[g][i]) >= takeoverDelay {
		return place.ConnectionShare(maxConnections, len(homes))
	}
	former := 0
	for _, at := range h.endedAt[g] {
		if now.Sub(at) < formerFor {
			former++
		}
	}
	return place.NonHomeShare(maxConnections, len(homes), max(1, former)+unknownNonHomes)
}
