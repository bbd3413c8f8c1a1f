// Package home chooses the home instances of a group: those that connect to its
// endpoints. Where a connection share for every instance would be too small, only some
// instances connect and serve the sessions of the others, so that connections, status
// samples and failover control grow with the number of groups and not with instances
// times endpoints.
package home

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"anviltack/core"
	"anviltack/core/place"
)

// minConnections is how many connections to an endpoint a home instance needs: one for
// an idle transaction, one for another statement and one for status samples.
const minConnections = 3

// Instance is a live instance.
type Instance struct {
	Name       core.Instance
	DataCentre core.DataCentre
}

// Count returns how many of the instances are homes of a group whose endpoints
// accept maxConnections connections each; zero stands for no limit.
func Count(maxConnections, instances int) int {
	if maxConnections <= 0 || place.ConnectionShare(maxConnections, instances) >= minConnections {
		return instances
	}
	return min(instances, max(1, maxConnections/minConnections-1))
}

// Choose returns the home instances of a group in order of preference. They alternate
// between the data centres, so that each has one if there are enough, and few of them
// change when an instance joins or leaves.
func Choose(g core.Group, live []Instance, maxConnections int) []core.Instance {
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(weight(g, a.Name), weight(g, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	// rankInDataCentre counts the instances of the same data centre that come before.
	rankInDataCentre := make(map[core.Instance]int, len(ranked))
	instancesIn := make(map[core.DataCentre]int)
	for _, i := range ranked {
		rankInDataCentre[i.Name] = instancesIn[i.DataCentre]
		instancesIn[i.DataCentre]++
	}
	slices.SortStableFunc(ranked, func(a, b Instance) int { return cmp.Compare(rankInDataCentre[a.Name], rankInDataCentre[b.Name]) })
	homes := make([]core.Instance, 0, len(ranked))
	for _, i := range ranked[:Count(maxConnections, len(ranked))] {
		homes = append(homes, i.Name)
	}
	return homes
}

// weight is an instance's rendezvous hash for a group; lower weights come first.
func weight(g core.Group, i core.Instance) uint64 {
	return xxhash.Sum64String(string(g) + "\x00" + string(i))
}
