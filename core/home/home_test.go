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

func fleet(n, centres int) []Instance {
	live := make([]Instance, n)
	for i := range live {
		live[i] = Instance{Name: core.Instance(fmt.Sprint("i", i)), DataCentre: core.DataCentre(fmt.Sprint("z", i%centres))}
	}
	return live
}

// TestSmallFleetsAreAllHomes lets every instance connect while each has connections
// enough.
func TestSmallFleetsAreAllHomes(t *testing.T) {
	is := is.New(t)
	is.Equal(Count(22, 5), 5)
	is.Equal(Count(60, 4), 4)
	is.Equal(Count(240, 34), 34)
	is.Equal(Count(0, 1000), 1000) // no bound is known
	is.Equal(len(Choose("g", fleet(5, 4), 22)), 5)
}

// TestConnectionsDoNotGrowWithInstances keeps the connections to an endpoint within
// its number however many instances there are.
func TestConnectionsDoNotGrowWithInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(3, 300).Draw(t, "most")
		live := rapid.IntRange(1, 2000).Draw(t, "live")
		n := Count(most, live)
		if n < 1 || n > live {
			t.Fatalf("%d homes of %d", n, live)
		}
		if n*place.Part(most, n) > most {
			t.Fatalf("%d homes with %d connections each of %d", n, place.Part(most, n), most)
		}
	})
}

// TestLoadIsDealt gives each instance about its share of the groups and each data
// centre a home of each.
func TestLoadIsDealt(t *testing.T) {
	is := is.New(t)
	live := fleet(300, 4)
	groups := make(map[core.Instance]int)
	for g := range 72 {
		homes := Choose(core.Group(fmt.Sprint("g", g)), live, 66)
		is.Equal(len(homes), 21)
		var centres []core.DataCentre
		for _, h := range homes[:4] {
			i := slices.IndexFunc(live, func(i Instance) bool { return i.Name == h })
			centres = append(centres, live[i].DataCentre)
		}
		slices.Sort(centres)
		is.Equal(len(slices.Compact(centres)), 4)
		for _, h := range homes {
			groups[h]++
		}
	}
	for _, n := range groups {
		is.True(n <= 15) // of 72 groups, 5 in the mean
	}
}

// TestFewHomesMove keeps nearly all homes when an instance goes.
func TestFewHomesMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := fleet(rapid.IntRange(30, 120).Draw(t, "live"), 4)
		gone := rapid.IntRange(0, len(live)-1).Draw(t, "gone")
		before := Choose("g", live, 22)
		after := Choose("g", slices.Delete(slices.Clone(live), gone, gone+1), 22)
		moved := 0
		for _, i := range after {
			if !slices.Contains(before, i) {
				moved++
			}
		}
		if moved > 2 {
			t.Fatalf("%d homes moved", moved)
		}
	})
}
