package mark

import (
	"slices"
	"time"

	"anviltack/core"
)

// The bounds of a History.
const (
	// maxSamples is how many samples a History keeps.
	maxSamples = 512
	// resolution is the least ratio of a sample's age to the distance of its
	// neighbours after thinning.
	resolution = 24
)

// Sample tells that Point covers every write of a group that was acknowledged
// before At.
type Sample struct {
	At    time.Time
	Point core.Point
}

// implies reports whether s tells at least as much as o.
func (s Sample) implies(o Sample) bool {
	return !s.At.Before(o.At) && o.Point.Covers(s.Point)
}

// History is the samples of one group, the denser the newer they are. Leaving
// one out is always safe: an endpoint then counts as less fresh than it is.
type History struct {
	// samples is sorted by At and has at most maxSamples elements.
	samples []Sample
}

// Add puts a sample in unless a newer one tells as much.
func (h *History) Add(s Sample) {
	i := len(h.samples)
	for i > 0 && !h.samples[i-1].At.Before(s.At) {
		if h.samples[i-1].implies(s) {
			return
		}
		i--
		if s.implies(h.samples[i]) {
			h.samples = slices.Delete(h.samples, i, i+1)
		}
	}
	j := i
	for j > 0 && s.implies(h.samples[j-1]) {
		j--
	}
	h.samples = slices.Replace(h.samples, j, i, s)
	if len(h.samples) == maxSamples {
		h.thin()
	}
}

// thin drops samples whose neighbours are near for their age. If few are, the
// oldest go.
func (h *History) thin() {
	n := len(h.samples)
	newest := h.samples[n-1].At
	kept := h.samples[:1]
	for i := 1; i < n-1; i++ {
		between := h.samples[i+1].At.Sub(kept[len(kept)-1].At)
		if between*resolution > newest.Sub(h.samples[i].At) {
			kept = append(kept, h.samples[i])
		}
	}
	kept = append(kept, h.samples[n-1])
	if spare := len(kept) - maxSamples/4*3; spare > 0 {
		kept = slices.Delete(kept, 0, spare)
	}
	h.samples = kept
}

// FreshAsOf returns the time of the newest sample that p covers: a read at p
// sees every write acknowledged before it. Both term and position count: a
// replaced primary at (t, 100) lacks what (t+1, 97) holds, and a replica that
// went over to t+1 at 96 lacks (t, 97).
func (h *History) FreshAsOf(p core.Point) (time.Time, bool) {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if p.Covers(h.samples[i].Point) {
			return h.samples[i].At, true
		}
	}
	return time.Time{}, false
}

// Since returns the oldest sample not before t: the least that an endpoint must
// reach to be fresh as of t.
func (h *History) Since(t time.Time) (Sample, bool) {
	i, _ := slices.BinarySearchFunc(h.samples, t, func(s Sample, t time.Time) int {
		return s.At.Compare(t)
	})
	if i == len(h.samples) {
		return Sample{}, false
	}
	return h.samples[i], true
}

// ReachedAt returns a time by which the group had reached p, the oldest known
// without a gap.
func (h *History) ReachedAt(p core.Point) (time.Time, bool) {
	i := len(h.samples)
	for i > 0 && h.samples[i-1].Point.Covers(p) {
		i--
	}
	if i == len(h.samples) {
		return time.Time{}, false
	}
	return h.samples[i].At, true
}

// Newest returns the newest sample.
func (h *History) Newest() (Sample, bool) {
	if len(h.samples) == 0 {
		return Sample{}, false
	}
	return h.samples[len(h.samples)-1], true
}

// Clone returns a copy that later changes do not touch.
func (h *History) Clone() *History {
	return &History{samples: slices.Clone(h.samples)}
}

// Len returns how many samples there are.
func (h *History) Len() int { return len(h.samples) }
