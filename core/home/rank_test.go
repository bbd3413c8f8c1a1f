package home

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"anviltack/core"
)

// TestRankOutsidePrimaryFirst checks that ranks are the same at all instances and all
// different, and that those outside the primary's data centre come first.
func TestRankOutsidePrimaryFirst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		homes := liveInstances(rapid.IntRange(1, 12).Draw(rt, "instances"), rapid.IntRange(1, 4).Draw(rt, "centres"))
		primary := rapid.SampledFrom(homes).Draw(rt, "primary").DataCentre
		g := core.Group(fmt.Sprint("g", rapid.IntRange(0, 99).Draw(rt, "group")))
		outside := 0
		for _, h := range homes {
			if h.DataCentre != primary {
				outside++
			}
		}
		var ranks []int
		for _, h := range homes {
			rank := Rank(h.Name, homes, g, primary)
			is.Equal(rank < outside, h.DataCentre != primary)
			ranks = append(ranks, rank)
		}
		slices.Sort(ranks)
		for i, rank := range ranks {
			is.Equal(rank, i)
		}
		is.Equal(Rank("another", homes, g, primary), len(homes))
	})
}
