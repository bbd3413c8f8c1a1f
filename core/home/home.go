// Package home chooses the instances that connect to a group's endpoints. Where all
// instances together would have too few connections each, a part of them connects
// and serves the sessions of the others, so that connections, reports and failover
// control grow with groups and not with instances times endpoints.
package home

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"anviltack/core"
	"anviltack/core/place"
)

// fewest is how many connections to an endpoint an instance needs to be of use: one
// for a transaction that rests, one for another statement and one for reports.
const fewest = 3

// Instance is a live instance.
type Instance struct {
	Name       core.Instance
	DataCentre core.DataCentre
}

// Count returns how many of live instances connect to endpoints that take most
// connections each.
func Count(most, live int) int {
	if most <= 0 || place.Part(most, live) >= fewest {
		return live
	}
	return min(live, max(1, most/fewest-1))
}

// Choose returns the homes of a group, the first choice first. They are dealt over
// the data centres in turn, so that each has one while there are enough, and few of
// them change when an instance comes or goes.
func Choose(g core.Group, live []Instance, most int) []core.Instance {
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(weight(g, a.Name), weight(g, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	// turn is an instance's place among those of its data centre.
	turn := make(map[core.Instance]int, len(ranked))
	seen := make(map[core.DataCentre]int)
	for _, i := range ranked {
		turn[i.Name] = seen[i.DataCentre]
		seen[i.DataCentre]++
	}
	slices.SortStableFunc(ranked, func(a, b Instance) int { return cmp.Compare(turn[a.Name], turn[b.Name]) })
	homes := make([]core.Instance, 0, len(ranked))
	for _, i := range ranked[:Count(most, len(ranked))] {
		homes = append(homes, i.Name)
	}
	return homes
}

// weight orders the instances for one group (rendezvous hashing).
func weight(g core.Group, i core.Instance) uint64 {
	return xxhash.Sum64String(string(g) + "\x00" + string(i))
}
