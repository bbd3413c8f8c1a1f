package route

import (
	"time"

	"anviltack/core"
)

// maxChoices bounds the replicas that a choice looks at.
const maxChoices = 16

// pick chooses among the replicas that satisfy the read. Those with a free slot
// come before those without, and doubted ones count only when asked for.
func (r *Router) pick(q *Request, doubted bool) *Candidate {
	var free, busy [maxChoices]*Candidate
	f, b := 0, 0
	for i := range q.Candidates {
		c := &q.Candidates[i]
		usable := c.Role == core.RoleReplica && !c.Leaving && c.Doubted == doubted
		if !usable || !c.satisfies(q.Need) {
			continue
		}
		switch {
		case c.InFlight < c.Slots && f < maxChoices:
			free[f] = c
			f++
		case c.InFlight >= c.Slots && b < maxChoices:
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

func (r *Router) choose(all []*Candidate) *Candidate {
	switch r.policy {
	case PolicyNearest:
		return best(all, r.isNearer)
	case PolicyLeastLoaded:
		return best(all, isLessLoaded)
	case PolicyTwoChoices:
		return r.twoChoices(all)
	}
	return all[0]
}

func best(all []*Candidate, less func(a, b *Candidate) bool) *Candidate {
	c := all[0]
	for _, o := range all[1:] {
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

// twoChoices takes the one of two replicas drawn at random with the shorter
// expected time: its recent latency times the statements before the read.
func (r *Router) twoChoices(all []*Candidate) *Candidate {
	if len(all) == 1 {
		return all[0]
	}
	i := r.random.IntN(len(all))
	j := r.random.IntN(len(all) - 1)
	if j >= i {
		j++
	}
	if all[j].cost() < all[i].cost() {
		return all[j]
	}
	return all[i]
}

func (c *Candidate) cost() time.Duration {
	const leastLatency = 100 * time.Microsecond
	return max(c.Latency, leastLatency) * time.Duration(c.InFlight+1)
}
