// Package home chooses the home instances of a group: those that connect to its
// endpoints. Where the connections or the slots of an endpoint do not give every instance
// a useful share, only some instances connect and serve the sessions of the others, so
// that connections, status samples and failover control grow with the number of groups
// and not with instances times endpoints.
package home

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"anviltack/core"
	"anviltack/core/place"
)

const (
	// minConnections is how many connections to an endpoint a home instance needs: one for
	// an idle transaction, one for another statement and one for status samples.
	minConnections = 3
	// minHomes is how many home instances a group has at least, so that the loss of any
	// two leaves one.
	minHomes = 3
)

// Instance is a live instance.
type Instance struct {
	Name       core.Instance
	DataCentre core.DataCentre
}

// Limits are what the endpoints of a group accept.
type Limits struct {
	// Connections is how many connections each endpoint accepts; zero stands for no
	// limit.
	Connections int
	// Slots is how many statements each endpoint runs at once; zero if not known.
	Slots int
}

// Count returns how many of the instances are homes of a group. Instances that share an
// endpoint's slots do not see one another's statements, so more of them than slots make
// statements wait at the endpoint where nothing orders them, and keep connections and
// status samples open that serve nobody. Each data centre has a home if there are enough
// instances, so that few sessions leave their data centre.
func Count(l Limits, dataCentres, instances int) int {
	n := instances
	if l.Connections > 0 && place.ConnectionShare(l.Connections, instances) < minConnections {
		n = max(1, l.Connections/minConnections-1)
	}
	if l.Slots > 0 {
		n = min(n, max(l.Slots, dataCentres, minHomes))
	}
	return min(n, instances)
}

// Choose returns the home instances of a group in order of preference. They alternate
// between the data centres, so that each has one if there are enough, and few of them
// change when an instance joins or leaves.
func Choose(g core.Group, live []Instance, l Limits) []core.Instance {
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
	for _, i := range ranked[:Count(l, len(instancesIn), len(ranked))] {
		homes = append(homes, i.Name)
	}
	return homes
}

// Monitored returns the group that an instance without a group of its own watches; such
// instances are spread over the groups. It is empty if there are no groups.
func Monitored(i core.Instance, groups []core.Group) core.Group {
	if len(groups) == 0 {
		return ""
	}
	return slices.MinFunc(groups, func(a, b core.Group) int {
		return cmp.Or(cmp.Compare(weight(a, i), weight(b, i)), cmp.Compare(a, b))
	})
}

// weight is an instance's rendezvous hash for a group; lower weights come first.
func weight(g core.Group, i core.Instance) uint64 {
	return xxhash.Sum64String(string(g) + "\x00" + string(i))
}
