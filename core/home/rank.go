package home

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"anviltack/core"
)

// Rank returns an instance's place in the order in which a group's home instances react to a
// failure of its primary. Instances in the primary's data centre come after the others, and
// instances that are not homes last: if the data centre failed or is partitioned, those in it
// cannot react, and every place before the first that can costs a delay.
func Rank(self core.Instance, homes []Instance, g core.Group, primary core.DataCentre) int {
	isHome := slices.ContainsFunc(homes, func(h Instance) bool { return h.Name == self })
	if !isHome {
		return len(homes)
	}
	ordered := slices.Clone(homes)
	slices.SortFunc(ordered, func(a, b Instance) int {
		switch inA, inB := a.DataCentre == primary, b.DataCentre == primary; {
		case inA && !inB:
			return 1
		case inB && !inA:
			return -1
		}
		return cmp.Compare(rankHash(g, a.Name), rankHash(g, b.Name))
	})
	return slices.IndexFunc(ordered, func(h Instance) bool { return h.Name == self })
}

func rankHash(g core.Group, i core.Instance) uint64 {
	return xxhash.Sum64String(string(i) + " " + string(g))
}
