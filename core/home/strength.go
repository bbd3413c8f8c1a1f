package home

import (
	"cmp"
	"math"
	"slices"

	"anviltack/core"
)

const (
	// homeMbps is how many megabits a second cross the link of a home instance while its
	// statements take up one processor core.
	homeMbps = 9
	// watcherMbps is the same for an instance that passes on the store to others.
	watcherMbps = 200
)

// Strength is what an instance has to work with; a field that is not known is zero.
type Strength struct {
	// Cores is how many processor cores the instance has, which may be part of one.
	Cores float64
	// LinkMbps is the speed of the instance's own link in megabits a second.
	LinkMbps float64
}

// coresFor returns how many cores can be put to work that moves mbps megabits a second for
// each core; zero if nothing is known.
func (s Strength) coresFor(mbps float64) float64 {
	byLink := s.LinkMbps / mbps
	switch {
	case byLink <= 0:
		return max(0, s.Cores)
	case s.Cores <= 0:
		return byLink
	}
	return min(s.Cores, byLink)
}

// weights returns the weight of each instance for work that moves mbps megabits a second
// for each core, as a multiple of the mean. Strength counts twice, for how much work an
// instance carries and for how soon it does each piece. All weights are 1 if the strengths
// are equal, or if one is not known: versions that do not announce it take all instances as
// equal, and the instances have to agree.
func weights(live []Instance, mbps float64) map[core.Instance]float64 {
	squares := make([]float64, 0, len(live))
	for _, i := range live {
		s := i.Strength.coresFor(mbps)
		squares = append(squares, s*s)
	}
	// The sum has to be the same for every order of the list.
	ordered := slices.Sorted(slices.Values(squares))
	sum := 0.0
	for _, s := range ordered {
		sum += s
	}
	equal := len(ordered) == 0 || ordered[0] == 0 || ordered[0] == ordered[len(ordered)-1]
	relative := make(map[core.Instance]float64, len(live))
	for k, i := range live {
		relative[i.Name] = 1
		if !equal {
			relative[i.Name] = squares[k] / (sum / float64(len(live)))
		}
	}
	return relative
}

// draw is an instance's place in a weighted rendezvous: among instances that draw, the
// chance to come first is in proportion to the weight.
type draw struct {
	instance core.Instance
	hash     uint64
	weight   float64
	// score is distributed exponentially at a rate of the weight, and rises with the hash.
	score float64
}

func newDraw(i core.Instance, hash uint64, weight float64) draw {
	return draw{instance: i, hash: hash, weight: weight, score: -math.Log1p(-float64(hash)*0x1p-64) / weight}
}

// minScore is a lower bound of a draw's score that takes no logarithm, less a margin for
// rounding.
func minScore(hash uint64, weight float64) float64 {
	const margin = 1e-9
	return float64(hash) * 0x1p-64 / weight * (1 - margin)
}

// compare orders draws; at equal weights the lower hash comes first.
func (d draw) compare(other draw) int {
	byWeight := 0
	if d.weight != other.weight {
		byWeight = cmp.Compare(d.score, other.score)
	}
	return cmp.Or(byWeight, cmp.Compare(d.hash, other.hash), cmp.Compare(d.instance, other.instance))
}
