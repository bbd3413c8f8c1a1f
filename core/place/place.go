// Package place chooses the endpoint on which a read runs, where endpoints
// themselves refuse reads that they are too far behind for.
package place

import (
	"math/rand/v2"
	"time"

	"anviltack/core"
)

// lagMargin is added to what an endpoint says of its lag: the time from its
// report to the read's arrival there.
const lagMargin = 10 * time.Millisecond

// Candidate is an endpoint as its instance sees it.
type Candidate struct {
	Endpoint core.Endpoint
	Primary  bool
	// Near tells that the endpoint is in the instance's data centre.
	Near bool
	// Visible is the newest point that reads there were seen to cover.
	Visible core.Point
	// Lag is how far the endpoint last said its reads are behind.
	Lag time.Duration
	// BehindUntil is until when the endpoint is taken for too far behind, after
	// it refused a read; zero when it did not.
	BehindUntil time.Time
	// Load is how many statements of this instance run or wait there.
	Load int
	// Busy is how many statements the endpoint last said it runs.
	Busy int
	// Room is how many connections to the endpoint the instance may use.
	Room int
	// Slots is how many statements the endpoint runs at once.
	Slots int
	// Down tells that the endpoint cannot be used now.
	Down bool
	// Leaving tells that the endpoint gets no new work.
	Leaving bool
}

// Need is what a read asks of an endpoint.
type Need struct {
	Point core.Point
	// At is when the group had reached Point at the latest.
	At time.Time
}

// covers reports whether the endpoint is expected to hold what the read needs.
func (c *Candidate) covers(now time.Time, n Need) bool {
	if c.Primary || c.Visible.Covers(n.Point) {
		return true
	}
	return !now.Before(c.BehindUntil) && !now.Add(-c.Lag-lagMargin).Before(n.At)
}

const (
	// farCost is what another data centre costs, in statements: its traffic is
	// charged and takes longer.
	farCost = 0.75
	// primaryCost keeps reads off the primary while replicas have room.
	primaryCost = 1.0
	// busyWeight is what a statement of other instances counts against one of
	// this instance, whose number is known and not seconds old.
	busyWeight = 0.25
)

// cost orders endpoints: the wait to expect there, in statements per slot.
func (c *Candidate) cost() float64 {
	load := float64(c.Load) + busyWeight*float64(c.Busy)
	cost := load / float64(max(1, min(c.Room, c.Slots)))
	if !c.Near {
		cost += farCost
	}
	if c.Primary {
		cost += primaryCost
	}
	return cost
}

// Choose returns the best candidate for a read, leaving out those that were
// tried, or false when there is none.
func Choose(now time.Time, n Need, candidates []Candidate, tried map[core.Endpoint]bool, random *rand.Rand) (core.Endpoint, bool) {
	var best core.Endpoint
	bestCost := 0.0
	ties := 0
	for i := range candidates {
		c := &candidates[i]
		if c.Down || c.Leaving || tried[c.Endpoint] || !c.covers(now, n) {
			continue
		}
		cost := c.cost()
		switch {
		case best == "" || cost < bestCost:
			best, bestCost, ties = c.Endpoint, cost, 1
		case cost == bestCost:
			ties++
			if random.IntN(ties) == 0 {
				best = c.Endpoint
			}
		}
	}
	return best, best != ""
}

// minWait separates attempts at an endpoint that is expected to have caught up.
const minWait = 10 * time.Millisecond

// Wait returns when a candidate is expected to cover the need, or false when none
// is.
func Wait(now time.Time, n Need, candidates []Candidate) (time.Duration, bool) {
	best := time.Duration(0)
	found := false
	for i := range candidates {
		c := &candidates[i]
		if c.Down || c.Leaving || c.Primary {
			continue
		}
		d := max(n.At.Add(c.Lag+lagMargin).Sub(now), c.BehindUntil.Sub(now), minWait)
		if !found || d < best {
			best, found = d, true
		}
	}
	return best, found
}
