package home

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"anviltack/core"
)

// sortedAssign is Assign by sorting all instances for each group, as earlier versions do it:
// instances of different versions must compute the same homes.
func sortedAssign(groups map[core.Group]Limits, live []Instance) map[core.Group][]core.Instance {
	dataCentres := make(map[core.DataCentre]bool)
	for _, i := range live {
		dataCentres[i.DataCentre] = true
	}
	total := 0
	for _, l := range groups {
		total += Count(l, len(dataCentres), len(live))
	}
	meanShare := max(minShare, shareSlack*float64(total)/float64(max(1, len(live))))
	weights := weights(live, homeMbps)
	homes := make(map[core.Group][]core.Instance)
	assigned := make(map[core.Instance]int)
	for _, g := range slices.Sorted(maps.Keys(groups)) {
		type candidate struct {
			instance Instance
			ranked   ranked
		}
		var list []candidate
		for _, i := range live {
			isFull := float64(assigned[i.Name]) >= meanShare*weights[i.Name]
			list = append(list, candidate{i, ranked{draw: newDraw(i.Name, groupHash(g, i.Name), weights[i.Name]), isFull: isFull}})
		}
		slices.SortFunc(list, func(a, b candidate) int { return a.ranked.compare(b.ranked) })
		in := make(map[core.DataCentre]int)
		for k := range list {
			c := &list[k]
			c.ranked.rank = in[c.instance.DataCentre]
			in[c.instance.DataCentre]++
		}
		slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.ranked.rank, b.ranked.rank) })
		for _, c := range list[:Count(groups[g], len(dataCentres), len(live))] {
			homes[g] = append(homes[g], c.instance.Name)
			assigned[c.instance.Name]++
		}
	}
	return homes
}

// TestAssignAsEarlierVersions checks that homes are those that earlier versions compute.
func TestAssignAsEarlierVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := liveInstances(rapid.IntRange(1, 60).Draw(t, "live"), rapid.IntRange(1, 6).Draw(t, "centres"))
		if rapid.Bool().Draw(t, "uneven") {
			for k := range live {
				live[k].Strength = Strength{Cores: rapid.Float64Range(0.1, 1).Draw(t, "cores"), LinkMbps: 200}
			}
		}
		groups := namedGroups(rapid.IntRange(0, 20).Draw(t, "groups"), Limits{
			Connections: rapid.IntRange(3, 100).Draw(t, "connections"), Slots: rapid.IntRange(0, 8).Draw(t, "slots"),
		})
		got, want := Assign(groups, live), sortedAssign(groups, live)
		if !maps.EqualFunc(got, want, slices.Equal) {
			t.Fatalf("homes %v, earlier %v", got, want)
		}
	})
}

// BenchmarkAssign assigns the homes of fleets of the sizes that docs/CAPACITY.md names.
func BenchmarkAssign(b *testing.B) {
	for _, n := range []struct{ instances, groups int }{{34, 8}, {300, 80}, {1700, 1800}} {
		b.Run(fmt.Sprint(n.instances), func(b *testing.B) {
			live := liveInstances(n.instances, 4)
			for k := range live {
				live[k].Strength = Strength{Cores: 0.4 + float64(k%5)/10, LinkMbps: 200}
			}
			groups := namedGroups(n.groups, Limits{Connections: 60, Slots: 3})
			for b.Loop() {
				Assign(groups, live)
			}
		})
	}
}
