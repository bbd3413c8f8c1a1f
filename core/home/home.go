// Package home chooses the home instances of a group: those that connect to its
// endpoints. Where the connections or the slots of an endpoint do not give every instance
// a useful share, only some instances connect and serve the sessions of the others, so
// that connections, status samples and failover control grow with the number of groups
// and not with instances times endpoints.
package home

import (
	"cmp"
	"maps"
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
	// shareSlack is how many times its share of the groups an instance may have; less would
	// move more homes with each change of the instances.
	shareSlack = 1.5
	// minShare is how many groups an instance of mean weight may have in any case.
	minShare = 2
)

// Instance is a live instance.
type Instance struct {
	Name       core.Instance
	DataCentre core.DataCentre
	Strength   Strength
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
// instances, so that few sessions leave their data centre. All instances are homes while
// each may have a statement in flight: then nothing is gained by relaying sessions.
func Count(l Limits, dataCentres, instances int) int {
	n := instances
	if l.Connections > 0 && place.ConnectionShare(l.Connections, instances) < minConnections {
		n = max(1, l.Connections/minConnections-1)
	}
	if l.Slots > 0 && instances > place.InFlightPerSlot*l.Slots {
		n = min(n, max(l.Slots, dataCentres, minHomes))
	}
	return min(n, instances)
}

// Assign returns the home instances of each group in order of preference. They alternate
// between the data centres, so that each has one if there are enough. Within a data centre
// the chance to be home, and the share of the groups, are in proportion to an instance's
// weight: no instance is home of more than shareSlack times its share as long as others of
// its data centre are below that. Few homes change when an instance joins or leaves.
func Assign(groups map[core.Group]Limits, live []Instance) map[core.Group][]core.Instance {
	dataCentres := make(map[core.DataCentre]bool)
	for _, i := range live {
		dataCentres[i.DataCentre] = true
	}
	total := 0
	for _, l := range groups {
		total += Count(l, len(dataCentres), len(live))
	}
	meanShare := max(minShare, shareSlack*float64(total)/float64(max(1, len(live))))
	centres := byDataCentre(live, weights(live, homeMbps))
	homes := make(map[core.Group][]core.Instance, len(groups))
	assigned := make(map[core.Instance]int, len(live))
	isFull := func(i core.Instance, weight float64) bool { return float64(assigned[i]) >= meanShare*weight }
	for _, g := range slices.Sorted(maps.Keys(groups)) {
		homes[g] = choose(g, centres, Count(groups[g], len(dataCentres), len(live)), isFull)
		for _, i := range homes[g] {
			assigned[i]++
		}
	}
	return homes
}

// Moved returns how many homes of groups are at instances that were not home of them before.
func Moved(before, after map[core.Group][]core.Instance) int {
	moved := 0
	for g, homes := range after {
		for _, i := range homes {
			if !slices.Contains(before[g], i) {
				moved++
			}
		}
	}
	return moved
}

// candidates are the instances of one data centre.
type candidates struct {
	instances []core.Instance
	weights   []float64
	// first are those that come first for a group, the most preferred one first.
	first []ranked
}

// ranked is an instance in the order of preference for a group.
type ranked struct {
	draw draw
	// isFull is set if it has its share of the groups; it comes after those that have not.
	isFull bool
	// rank counts the instances of the same data centre that come before.
	rank int
}

func (r ranked) compare(other ranked) int {
	if r.isFull != other.isFull {
		if r.isFull {
			return 1
		}
		return -1
	}
	return r.draw.compare(other.draw)
}

// byDataCentre divides instances by their data centres.
func byDataCentre(live []Instance, weights map[core.Instance]float64) []*candidates {
	centres := make(map[core.DataCentre]*candidates)
	var list []*candidates
	for _, i := range live {
		c := centres[i.DataCentre]
		if c == nil {
			c = &candidates{}
			centres[i.DataCentre] = c
			list = append(list, c)
		}
		c.instances = append(c.instances, i.Name)
		c.weights = append(c.weights, weights[i.Name])
	}
	return list
}

// rank sets the n instances that come first for a group.
func (c *candidates) rank(g *hasher, n int, isFull func(i core.Instance, weight float64) bool) {
	c.first = c.first[:0]
	for k, i := range c.instances {
		hash := g.hash(i)
		if len(c.first) == n && !c.first[n-1].isFull && minScore(hash, c.weights[k]) > c.first[n-1].draw.score {
			continue
		}
		r := ranked{draw: newDraw(i, hash, c.weights[k]), isFull: isFull(i, c.weights[k])}
		if len(c.first) == n && r.compare(c.first[n-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(c.first, r, ranked.compare)
		c.first = slices.Insert(c.first[:min(len(c.first), n-1)], at, r)
	}
	for k := range c.first {
		c.first[k].rank = k
	}
}

// choose returns n home instances of a group, those that are full last in their data
// centre.
func choose(g core.Group, centres []*candidates, n int, isFull func(i core.Instance, weight float64) bool) []core.Instance {
	h := newHasher(g)
	var chosen []ranked
	for _, c := range centres {
		c.rank(h, n, isFull)
		chosen = append(chosen, c.first...)
	}
	slices.SortFunc(chosen, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), a.compare(b)) })
	homes := make([]core.Instance, 0, n)
	for _, r := range chosen[:n] {
		homes = append(homes, r.draw.instance)
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
		return cmp.Or(cmp.Compare(groupHash(a, i), groupHash(b, i)), cmp.Compare(a, b))
	})
}

// groupHash is an instance's rendezvous hash for a group.
func groupHash(g core.Group, i core.Instance) uint64 { return newHasher(g).hash(i) }

// hasher computes the rendezvous hashes for a group.
type hasher struct {
	// text holds the group's name and a separator, and room for an instance's name.
	text   []byte
	prefix int
}

func newHasher(g core.Group) *hasher {
	text := append([]byte(g), 0)
	return &hasher{text: text, prefix: len(text)}
}

func (h *hasher) hash(i core.Instance) uint64 {
	h.text = append(h.text[:h.prefix], i...)
	return xxhash.Sum64(h.text)
}
