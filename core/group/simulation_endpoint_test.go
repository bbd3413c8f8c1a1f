package group

import (
	"time"

	"anviltack/core"
)

type entry struct {
	term uint64
	id   int
}

// simEndpoint is a simulated group member in virtual time.
type simEndpoint struct {
	name            core.Endpoint
	log             []entry
	fence, term     uint64
	primary         bool
	matched         int
	next            map[core.Endpoint]int
	pushed          map[core.Endpoint]time.Time
	dead, suspended bool
	deferred        []func()
	unreachable     map[core.Endpoint]bool
}

func (e *simEndpoint) status() core.Status {
	s := core.Status{Role: core.RoleReplica, Fence: e.fence, Term: e.term, Received: uint64(e.matched)}
	if e.primary {
		s.Role, s.Received = core.RolePrimary, uint64(len(e.log))
	}
	if n := len(e.log); n > 0 {
		s.Last = core.Point{Term: e.log[n-1].term, Position: uint64(n)}
	}
	return s
}

// execute runs a function on an endpoint, or when it resumes if it is suspended; a dead
// endpoint drops it.
func (e *simEndpoint) execute(run func()) {
	if e.suspended {
		e.deferred = append(e.deferred, run)
	} else if !e.dead {
		run()
	}
}

func (sim *simulation) resumeEndpoint(e *simEndpoint) {
	deferred := e.deferred
	e.suspended, e.deferred = false, nil
	for _, run := range deferred {
		e.execute(run)
	}
}

// replicate pushes an endpoint's log every 2 ms while it is primary.
func (sim *simulation) replicate(e *simEndpoint) {
	e.execute(func() {
		if e.primary && e.fence == e.term {
			for _, o := range sim.endpoints {
				isDue := e.next[o.name] < len(e.log) || sim.now.Sub(e.pushed[o.name]) >= 50*time.Millisecond
				if o != e && !e.unreachable[o.name] && !o.dead && isDue {
					e.pushed[o.name] = sim.now
					sim.push(e, o)
				}
			}
		}
	})
	sim.after(2*time.Millisecond, func() { sim.replicate(e) })
}

func (sim *simulation) push(e, o *simEndpoint) {
	from := min(e.next[o.name], len(e.log))
	term, prev := e.term, uint64(0)
	if from > 0 {
		prev = e.log[from-1].term
	}
	entries := append([]entry(nil), e.log[from:]...)
	sim.after(sim.delay(), func() {
		o.execute(func() {
			matched, fence := o.applyPush(term, from, prev, entries)
			sim.after(sim.delay(), func() {
				e.execute(func() {
					if fence > e.fence {
						e.primary, e.fence, e.matched = false, fence, 0
					} else if e.term == term {
						e.next[o.name] = matched
					}
				})
			})
		})
	})
}

// applyPush applies a push. It returns the length of the matching log, or an earlier
// index to retry from, and the fence.
func (e *simEndpoint) applyPush(term uint64, from int, prev uint64, entries []entry) (int, uint64) {
	if e.fence > term {
		return 0, e.fence
	}
	if term > e.term {
		e.term, e.matched = term, 0
	}
	e.fence, e.primary = term, false
	if from > len(e.log) || from > 0 && e.log[from-1].term != prev {
		return max(min(from-1, len(e.log)), 0), term
	}
	for i, added := range entries {
		if n := from + i; n < len(e.log) && e.log[n] != added {
			e.log = e.log[:n]
		}
		if from+i == len(e.log) {
			e.log = append(e.log, added)
		}
	}
	e.matched = max(e.matched, from+len(entries))
	return from + len(entries), term
}
