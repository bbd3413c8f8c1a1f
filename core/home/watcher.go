package home

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"anviltack/core"
)

const (
	// minWatchers is how many instances of a data centre follow the store by themselves at
	// least, so that the others have a second source when one is lost.
	minWatchers = 2
	// followersPerWatcher bounds how many instances one of them serves on average.
	followersPerWatcher = 32
)

// Watchers returns the instances of one data centre that follow the store by themselves;
// the others follow it through them.
func Watchers(centre []Instance) []core.Instance {
	names := make([]core.Instance, 0, len(centre))
	for _, i := range centre {
		names = append(names, i.Name)
	}
	slices.SortFunc(names, func(a, b core.Instance) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	n := max(minWatchers, (len(names)+followersPerWatcher)/(followersPerWatcher+1))
	return names[:min(n, len(names))]
}
