package home

import (
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
// the others follow it through them. Strong instances are preferred, since
// a watcher sends everything to each of its followers over its own link.
func Watchers(centre []Instance) []core.Instance {
	weights := weights(centre, watcherMbps)
	draws := make([]draw, 0, len(centre))
	for _, i := range centre {
		draws = append(draws, newDraw(i.Name, xxhash.Sum64String(string(i.Name)), weights[i.Name]))
	}
	slices.SortFunc(draws, draw.compare)
	n := max(minWatchers, (len(draws)+followersPerWatcher)/(followersPerWatcher+1))
	watchers := make([]core.Instance, 0, n)
	for _, d := range draws[:min(n, len(draws))] {
		watchers = append(watchers, d.instance)
	}
	return watchers
}
