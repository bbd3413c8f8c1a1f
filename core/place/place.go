// Package place chooses the endpoint for a read and divides an endpoint's connections
// and slots among instances. Endpoints enforce freshness themselves: they refuse a read
// if they lag too far behind.
package place

import (
	"math/rand/v2"
	"time"

	"anviltack/core"
)

// lagMargin is added to the lag that an endpoint reported, for the time between the
// report and the read's arrival there.
const lagMargin = 10 * time.Millisecond

// Candidate is an instance's view of an endpoint.
type Candidate struct {
	Endpoint core.Endpoint
	Primary  bool
	// Local is true if the endpoint is in the instance's data centre.
	Local bool
	// Visible is the newest point known to be visible to reads at the endpoint.
	Visible core.Point
	// Lag is the replication lag that the endpoint last reported.
	Lag time.Duration
	// LaggingUntil is the time until which the endpoint counts as too far behind after
	// it refused a read; zero if it did not.
	LaggingUntil time.Time
	// Load is how many statements of this instance run or wait there.
	Load int
	// Running is how many statements the endpoint last reported as running.
	Running int
	// ConnectionShare is how many connections to the endpoint the instance may open.
	ConnectionShare int
	// Slots is how many statements the endpoint runs at once.
	Slots int
	// Down is true if the endpoint is unavailable.
	Down bool
	// Leaving is true if the endpoint gets no new statements.
	Leaving bool
}

// Requirement is the point that an endpoint must cover to run a read.
type Requirement struct {
	Point core.Point
	// ReachedAt is the latest time at which the group can have reached Point.
	ReachedAt time.Time
}

// covers reports whether the endpoint is expected to meet the requirement.
func (c *Candidate) covers(now time.Time, required Requirement) bool {
	if c.Primary || c.Visible.Covers(required.Point) {
		return true
	}
	return !now.Before(c.LaggingUntil) && !now.Add(-c.Lag-lagMargin).Before(required.ReachedAt)
}

const (
	// remoteCost is added for an endpoint in another data centre, whose traffic is
	// billed and takes longer; in statements per slot.
	remoteCost = 0.75
	// primaryCost keeps reads off the primary while replicas have capacity; in
	// statements per slot.
	primaryCost = 1.0
	// runningWeight is the weight of a statement that the endpoint reported, relative
	// to one of this instance: the reported number may be seconds old.
	runningWeight = 0.25
)

// cost estimates the wait at the endpoint, in statements per slot.
func (c *Candidate) cost() float64 {
	load := float64(c.Load) + runningWeight*float64(c.Running)
	cost := load / float64(max(1, min(c.ConnectionShare, c.Slots)))
	if !c.Local {
		cost += remoteCost
	}
	if c.Primary {
		cost += primaryCost
	}
	return cost
}

// Choose returns the candidate with the lowest cost that has not been tried, or false if
// there is none. Ties are broken at random.
func Choose(now time.Time, required Requirement, candidates []Candidate, tried map[core.Endpoint]bool, random *rand.Rand) (core.Endpoint, bool) {
	var best core.Endpoint
	bestCost := 0.0
	ties := 0
	for i := range candidates {
		c := &candidates[i]
		if c.Down || c.Leaving || tried[c.Endpoint] || !c.covers(now, required) {
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

// minRetryDelay separates attempts at an endpoint that should already have caught up.
const minRetryDelay = 10 * time.Millisecond

// CatchUpDelay returns how long it is expected to take until a replica meets the
// requirement, or false if no replica is available.
func CatchUpDelay(now time.Time, required Requirement, candidates []Candidate) (time.Duration, bool) {
	best := time.Duration(0)
	found := false
	for i := range candidates {
		c := &candidates[i]
		if c.Down || c.Leaving || c.Primary {
			continue
		}
		delay := max(required.ReachedAt.Add(c.Lag+lagMargin).Sub(now), c.LaggingUntil.Sub(now), minRetryDelay)
		if !found || delay < best {
			best, found = delay, true
		}
	}
	return best, found
}
