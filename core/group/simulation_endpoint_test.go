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

func (f *simEndpoint) status() core.Status {
	s := core.Status{Role: core.RoleReplica, Fence: f.fence, Term: f.term, Received: uint64(f.matched)}
	if f.primary {
		s.Role, s.Received = core.RolePrimary, uint64(len(f.log))
	}
	if n := len(f.log); n > 0 {
		s.Last = core.Point{Term: f.log[n-1].term, Position: uint64(n)}
	}
	return s
}

// execute runs a function on an endpoint, or when it resumes if it is suspended; a dead
// endpoint drops it.
func (f *simEndpoint) execute(run func()) {
	if f.suspended {
		f.deferred = append(f.deferred, run)
	} else if !f.dead {
		run()
	}
}

func (w *simulation) resumeEndpoint(f *simEndpoint) {
	held := f.deferred
	f.suspended, f.deferred = false, nil
	for _, run := range held {
		f.execute(run)
	}
}

// replicate pushes an endpoint's log every 2 ms while it is primary.
func (w *simulation) replicate(f *simEndpoint) {
	f.execute(func() {
		if f.primary && f.fence == f.term {
			for _, o := range w.endpoints {
				isDue := f.next[o.name] < len(f.log) || w.now.Sub(f.pushed[o.name]) >= 50*time.Millisecond
				if o != f && !f.unreachable[o.name] && !o.dead && isDue {
					f.pushed[o.name] = w.now
					w.push(f, o)
				}
			}
		}
	})
	w.after(2*time.Millisecond, func() { w.replicate(f) })
}

func (w *simulation) push(f, o *simEndpoint) {
	from := min(f.next[o.name], len(f.log))
	term, prev := f.term, uint64(0)
	if from > 0 {
		prev = f.log[from-1].term
	}
	entries := append([]entry(nil), f.log[from:]...)
	w.after(w.delay(), func() {
		o.execute(func() {
			matched, fence := o.applyPush(term, from, prev, entries)
			w.after(w.delay(), func() {
				f.execute(func() {
					if fence > f.fence {
						f.primary, f.fence, f.matched = false, fence, 0
					} else if f.term == term {
						f.next[o.name] = matched
					}
				})
			})
		})
	})
}

// applyPush applies a push. It returns the length of the matching log, or an earlier
// index to retry from, and the fence.
func (f *simEndpoint) applyPush(term uint64, from int, prev uint64, entries []entry) (int, uint64) {
	if f.fence > term {
		return 0, f.fence
	}
	if term > f.term {
		f.term, f.matched = term, 0
	}
	f.fence, f.primary = term, false
	if from > len(f.log) || from > 0 && f.log[from-1].term != prev {
		return max(min(from-1, len(f.log)), 0), term
	}
	for i, e := range entries {
		if n := from + i; n < len(f.log) && f.log[n] != e {
			f.log = f.log[:n]
		}
		if from+i == len(f.log) {
			f.log = append(f.log, e)
		}
	}
	f.matched = max(f.matched, from+len(entries))
	return from + len(entries), term
}
