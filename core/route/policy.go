package route

import (
	"time"

	"anviltack/core"
)

// maxCandidates bounds the replicas among which a read is routed.
const maxCandidates = 16

// pick chooses among the replicas that satisfy the read. Those with a free slot
// come before those without. Suspect replicas are considered only if suspect is set,
// and the others only if it is not.
func (r *Router) pick(q *Request, suspect bool) *Candidate {
	var free, busy [maxCandidates]*Candidate
	f, b := 0, 0
	for i := range q.Candidates {
		c := &q.Candidates[i]
		usable := c.Role == core.RoleReplica && !c.Leaving && c.Suspect == suspect
		if !usable || !c.satisfies(q.Requirement) {
			continue
		}
		switch {
		case c.InFlight < c.Slots && f < maxCandidates:
			free[f] = c
			f++
		case c.InFlight >= c.Slots && b < maxCandidates:
			busy[b] = c
			b++
		}
	}
	if f > 0 {
		return r.choose(free[:f])
	}
	if b > 0 {
		return r.choose(busy[:b])
	}
	return nil
}

func (r *Router) choose(candidates []*Candidate) *Candidate {
	switch r.policy {
	case PolicyNearest:
		return best(candidates, r.isNearer)
	case PolicyLeastLoaded:
		return best(candidates, isLessLoaded)
	case PolicyTwoChoices:
		return r.twoChoices(candidates)
	}
	return candidates[0]
}

func best(candidates []*Candidate, less func(a, b *Candidate) bool) *Candidate {
	c := candidates[0]
	for _, o := range candidates[1:] {
		if less(o, c) {
			c = o
		}
	}
	return c
}

func (r *Router) isNearer(a, b *Candidate) bool {
	if near := a.DataCentre == r.dataCentre; near != (b.DataCentre == r.dataCentre) {
		return near
	}
	return a.Latency < b.Latency
}

func isLessLoaded(a, b *Candidate) bool {
	x, y := a.InFlight*max(b.Slots, 1), b.InFlight*max(a.Slots, 1)
	if x != y {
		return x < y
	}
	return a.Latency < b.Latency
}

// twoChoices draws two replicas at random and returns the one with the shorter
// expected time: its recent latency times the number of statements up to and
// including the read.
func (r *Router) twoChoices(candidates []*Candidate) *Candidate {
	if len(candidates) == 1 {
		return candidates[0]
	}
	i := r.random.IntN(len(candidates))
	j := r.random.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if candidates[j].cost() < candidates[i].cost() {
		return candidates[j]
	}
	return candidates[i]
}

func (c *Candidate) cost() time.Duration {
	const minLatency = 100 * time.Microsecond
	return max(c.Latency, minLatency) * time.Duration(c.InFlight+1)
}
