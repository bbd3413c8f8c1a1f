package home

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"anviltack/core"
	"anviltack/core/place"
)

func liveInstances(n, centres int) []Instance {
	live := make([]Instance, n)
	for i := range live {
		live[i] = Instance{Name: core.Instance(fmt.Sprint("i", i)), DataCentre: core.DataCentre(fmt.Sprint("z", i%centres))}
	}
	return live
}

// TestSmallFleetsAreAllHomes checks that every instance is a home while the
// connection share of each is large enough and there are no more of them than slots.
func TestSmallFleetsAreAllHomes(t *testing.T) {
	is := is.New(t)
	is.Equal(Count(Limits{Connections: 22}, 4, 5), 5)
	is.Equal(Count(Limits{Connections: 60}, 4, 4), 4)
	is.Equal(Count(Limits{Connections: 240}, 4, 34), 34)
	is.Equal(Count(Limits{}, 4, 1000), 1000) // no limit
	is.Equal(Count(Limits{Connections: 22, Slots: 5}, 4, 5), 5)
	is.Equal(Count(Limits{Connections: 22, Slots: 3}, 4, 5), 5)
	is.Equal(len(Assign(map[core.Group]Limits{"g": {Connections: 22}}, liveInstances(5, 4))["g"]), 5)
}

// TestHomesShareSlots checks that no more instances than slots are homes, but one for each
// data centre and enough for the loss of two.
func TestHomesShareSlots(t *testing.T) {
	is := is.New(t)
	is.Equal(Count(Limits{Connections: 173, Slots: 4}, 6, 118), 6)
	is.Equal(Count(Limits{Connections: 173, Slots: 4}, 6, 1654), 6)
	is.Equal(Count(Limits{Connections: 240, Slots: 6}, 4, 34), 6)
	is.Equal(Count(Limits{Connections: 45, Slots: 1}, 2, 30), 3)
	is.Equal(Count(Limits{Connections: 6, Slots: 8}, 4, 30), 1) // connections bind
	is.Equal(Count(Limits{Slots: 8}, 4, 2), 2)
}

// TestMonitoredGroupsAreSpread checks that instances without a group of their own watch
// different groups.
func TestMonitoredGroupsAreSpread(t *testing.T) {
	is := is.New(t)
	var groups []core.Group
	for g := range 20 {
		groups = append(groups, core.Group(fmt.Sprint("g", g)))
	}
	watchers := make(map[core.Group]int)
	for _, i := range liveInstances(118, 6) {
		watchers[Monitored(i.Name, groups)]++
	}
	is.True(len(watchers) == 20)
	for _, n := range watchers {
		is.True(n <= 15) // the mean is 6
	}
	is.Equal(Monitored("i", nil), core.Group(""))
}

// TestConnectionsDoNotGrowWithInstances checks that the homes together never exceed an
// endpoint's connections, whatever the number of instances.
func TestConnectionsDoNotGrowWithInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxConnections := rapid.IntRange(3, 300).Draw(t, "most")
		live := rapid.IntRange(1, 2000).Draw(t, "live")
		n := Count(Limits{Connections: maxConnections, Slots: rapid.IntRange(0, 64).Draw(t, "slots")}, rapid.IntRange(1, 10).Draw(t, "centres"), live)
		if n < 1 || n > live {
			t.Fatalf("%d homes of %d", n, live)
		}
		if n*place.ConnectionShare(maxConnections, n) > maxConnections {
			t.Fatalf("%d homes with %d connections each of %d", n, place.ConnectionShare(maxConnections, n), maxConnections)
		}
	})
}

// namedGroups returns groups with the same limits.
func namedGroups(n int, l Limits) map[core.Group]Limits {
	groups := make(map[core.Group]Limits, n)
	for g := range n {
		groups[core.Group(fmt.Sprint("g", g))] = l
	}
	return groups
}

// TestGroupsAreSpreadEvenly checks that groups are spread evenly over the instances, also
// where few groups make an uneven spread likely, and that each group has a home in each
// data centre.
func TestGroupsAreSpreadEvenly(t *testing.T) {
	for _, c := range []struct {
		instances, groups, dataCentres int
		limits                         Limits
		homes                          int
		// most is one and a half times the share of an instance, rounded up.
		most int
	}{
		{300, 72, 4, Limits{Connections: 66}, 21, 8},
		{118, 20, 6, Limits{Connections: 173, Slots: 4}, 6, 2},
		{30, 8, 4, Limits{Connections: 45, Slots: 3}, 4, 2},
		{5, 3, 4, Limits{Connections: 22, Slots: 2}, 4, 4},
	} {
		t.Run(fmt.Sprint(c.instances), func(t *testing.T) {
			is := is.New(t)
			live := liveInstances(c.instances, c.dataCentres)
			groups := make(map[core.Instance]int)
			for _, homes := range Assign(namedGroups(c.groups, c.limits), live) {
				is.Equal(len(homes), c.homes)
				var centres []core.DataCentre
				for _, h := range homes[:c.dataCentres] {
					i := slices.IndexFunc(live, func(i Instance) bool { return i.Name == h })
					centres = append(centres, live[i].DataCentre)
				}
				slices.Sort(centres)
				is.Equal(len(slices.Compact(centres)), c.dataCentres)
				for _, h := range homes {
					groups[h]++
				}
			}
			for _, n := range groups {
				is.True(n <= c.most)
			}
		})
	}
}

// TestFewHomesMove checks that nearly all homes stay the same when an instance leaves.
func TestFewHomesMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := liveInstances(rapid.IntRange(30, 120).Draw(t, "live"), 4)
		groups := namedGroups(rapid.IntRange(1, 20).Draw(t, "groups"), Limits{Connections: 22})
		gone := rapid.IntRange(0, len(live)-1).Draw(t, "gone")
		before := Assign(groups, live)
		after := Assign(groups, slices.Delete(slices.Clone(live), gone, gone+1))
		moved := 0
		for g := range groups {
			for _, i := range after[g] {
				if !slices.Contains(before[g], i) {
					moved++
				}
			}
		}
		if moved > 2*len(groups) {
			t.Fatalf("%d homes of %d groups moved", moved, len(groups))
		}
	})
}
