package home

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"anviltack/core"
)

// unevenInstances returns two strong instances in each of three data centres and as many
// weak ones as are to be spread over these.
func unevenInstances(weak int, cores float64) []Instance {
	live := liveInstances(6+weak, 3)
	for i := range live {
		live[i].Strength = Strength{Cores: cores, LinkMbps: 10}
		if i < 6 {
			live[i].Strength = Strength{Cores: 0.8, LinkMbps: 200}
		}
	}
	return live
}

func withStrength(live []Instance, s Strength) []Instance {
	live = slices.Clone(live)
	for i := range live {
		live[i].Strength = s
	}
	return live
}

// TestEqualStrengthsChangeNothing checks that homes and watchers are those of the versions
// without strengths if the strengths are equal or one is not known.
func TestEqualStrengthsChangeNothing(t *testing.T) {
	is := is.New(t)
	want := map[core.Group][]core.Instance{
		"g0": {"i13", "i2", "i27", "i16", "i33"},
		"g1": {"i19", "i29", "i3", "i17", "i4"},
		"g2": {"i17", "i3", "i22", "i11", "i9"},
	}
	unknown := unevenInstances(28, 0.464)
	unknown[len(unknown)-1].Strength = Strength{}
	for _, live := range [][]Instance{
		liveInstances(34, 3), unknown,
		withStrength(liveInstances(34, 3), Strength{Cores: 0.1, LinkMbps: 0.3}), withStrength(liveInstances(34, 3), Strength{Cores: 0.464}),
	} {
		is.Equal(Assign(namedGroups(3, Limits{Connections: 80, Slots: 5}), live), want)
		is.Equal(Watchers(live), []core.Instance{"i6", "i17"})
	}
}

// TestStrongAreMostlyHomes checks for fleets with two strong instances in each of three
// data centres that these have about half of the homes, that no instance gets too busy, and that every data centre keeps a home of its own, also without its
// strong instances.
func TestStrongAreMostlyHomes(t *testing.T) {
	for _, c := range []struct {
		weak   int
		cores  float64
		limits Limits
		homes  int
		// least and most bound the homes at strong instances.
		least, most int
		// statements is how many each group has in a second.
		statements float64
	}{
		{85, 0.192, Limits{Connections: 46, Slots: 4}, 32, 14, 24, 300},
		{28, 0.464, Limits{Connections: 80, Slots: 5}, 40, 10, 20, 163},
	} {
		t.Run(fmt.Sprint(c.weak), func(t *testing.T) {
			is := is.New(t)
			live := unevenInstances(c.weak, c.cores)
			groups := make(map[core.Instance]int)
			for _, homes := range Assign(namedGroups(8, c.limits), live) {
				for _, h := range homes {
					groups[h]++
				}
			}
			total, strong := 0, 0
			for k, i := range live {
				total += groups[i.Name]
				if k < 6 {
					strong += groups[i.Name]
				}
			}
			is.Equal(total, c.homes)
			is.True(strong >= c.least && strong <= c.most)
			for k, i := range live {
				busy := float64(groups[i.Name]) * c.statements / 3 * secondsPerStatement / live[k].Strength.Cores
				is.True(busy < 0.3)
			}
			for _, homes := range Assign(namedGroups(8, c.limits), slices.Delete(live, 0, 6)) {
				is.Equal(len(centresOf(live, homes)), 3)
			}
		})
	}
}

// secondsPerStatement is the processor time of a statement at its home instance.
const secondsPerStatement = 0.0003

// centresOf returns the data centres of instances.
func centresOf(live []Instance, names []core.Instance) map[core.DataCentre]bool {
	centres := make(map[core.DataCentre]bool)
	for _, i := range live {
		if slices.Contains(names, i.Name) {
			centres[i.DataCentre] = true
		}
	}
	return centres
}

// TestUnevenFleetsMoveFewHomes checks that nearly all homes stay when any instance leaves,
// that the order of the list does not matter, and that the loss of a data centre or of the
// strong instances in one leaves homes of each group.
func TestUnevenFleetsMoveFewHomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := unevenInstances(rapid.IntRange(24, 100).Draw(t, "weak"), rapid.SampledFrom([]float64{0.192, 0.464}).Draw(t, "cores"))
		groups := namedGroups(rapid.IntRange(1, 20).Draw(t, "groups"), Limits{Connections: 80, Slots: 5})
		gone := rapid.IntRange(0, len(live)-1).Draw(t, "gone")
		before := Assign(groups, live)
		after := Assign(groups, slices.Delete(rapid.Permutation(live).Draw(t, "order"), 0, 0))
		if !maps.EqualFunc(before, after, slices.Equal) {
			t.Fatalf("the order of the list matters: %v, %v", before, after)
		}
		after = Assign(groups, slices.Delete(slices.Clone(live), gone, gone+1))
		moved := 0
		for g := range groups {
			for _, i := range after[g] {
				if !slices.Contains(before[g], i) {
					moved++
				}
			}
			if len(centresOf(live, before[g])) != 3 {
				t.Fatalf("homes in %d data centres", len(centresOf(live, before[g])))
			}
		}
		if moved > 2*len(groups) {
			t.Fatalf("%d homes of %d groups moved", moved, len(groups))
		}
	})
}

// TestWatchersAreStrong checks that the strong instances of a data centre are mostly the
// first to watch the store.
func TestWatchersAreStrong(t *testing.T) {
	is := is.New(t)
	strong := 0
	for n := range 50 {
		centre := slices.DeleteFunc(unevenInstances(85, 0.192), func(i Instance) bool { return i.DataCentre != "z0" })
		for k := range centre {
			centre[k].Name += core.Instance(fmt.Sprint("-", n))
		}
		watchers := Watchers(centre)
		is.Equal(len(watchers), 2)
		for _, i := range centre[:2] {
			if slices.Contains(watchers, i.Name) {
				strong++
			}
		}
	}
	is.True(strong >= 90)
}
