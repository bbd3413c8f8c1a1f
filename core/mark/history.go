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
	// minAgeGapRatio is the least ratio of a sample's age to the gap that its removal
	// leaves; below it, compaction keeps the sample.
	minAgeGapRatio = 24
)

// GroupSample states that Point covers every write of a group that was acknowledged
// before At.
type GroupSample struct {
	At    time.Time
	Point core.Point
}

// supersedes reports whether o is redundant beside s: s is as late or later, and the
// point of o covers that of s.
func (s GroupSample) supersedes(o GroupSample) bool {
	return !s.At.Before(o.At) && o.Point.Covers(s.Point)
}

// History holds the samples of one group, denser for recent times. Omitting a sample is
// always safe: an endpoint then counts as less fresh than it is.
type History struct {
	// samples is sorted by At and has at most maxSamples elements.
	samples []GroupSample
}

// Add inserts a sample unless a newer one supersedes it.
func (h *History) Add(s GroupSample) {
	i := len(h.samples)
	for i > 0 && !h.samples[i-1].At.Before(s.At) {
		if h.samples[i-1].supersedes(s) {
			return
		}
		i--
		if s.supersedes(h.samples[i]) {
			h.samples = slices.Delete(h.samples, i, i+1)
		}
	}
	j := i
	for j > 0 && s.supersedes(h.samples[j-1]) {
		j--
	}
	h.samples = slices.Replace(h.samples, j, i, s)
	if len(h.samples) == maxSamples {
		h.compact()
	}
}

// compact drops samples whose neighbours are close together relative to the sample's age.
// If that drops too few, the oldest samples are dropped.
func (h *History) compact() {
	n := len(h.samples)
	newest := h.samples[n-1].At
	kept := h.samples[:1]
	for i := 1; i < n-1; i++ {
		gap := h.samples[i+1].At.Sub(kept[len(kept)-1].At)
		if gap*minAgeGapRatio > newest.Sub(h.samples[i].At) {
			kept = append(kept, h.samples[i])
		}
	}
	kept = append(kept, h.samples[n-1])
	if excess := len(kept) - maxSamples/4*3; excess > 0 {
		kept = slices.Delete(kept, 0, excess)
	}
	h.samples = kept
}

// FreshAsOf returns the time of the newest sample that p covers: a read at p
// sees every write acknowledged before that time. Both term and position count: a
// replaced primary at (t, 100) lacks what (t+1, 97) holds, and a replica that
// switched to t+1 at 96 lacks (t, 97).
func (h *History) FreshAsOf(p core.Point) (time.Time, bool) {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if p.Covers(h.samples[i].Point) {
			return h.samples[i].At, true
		}
	}
	return time.Time{}, false
}

// FirstSince returns the oldest sample not before t: the least point that an endpoint
// must reach to be fresh as of t.
func (h *History) FirstSince(t time.Time) (GroupSample, bool) {
	i, _ := slices.BinarySearchFunc(h.samples, t, func(s GroupSample, t time.Time) int {
		return s.At.Compare(t)
	})
	if i == len(h.samples) {
		return GroupSample{}, false
	}
	return h.samples[i], true
}

// ReachedAt returns a time by which the group had reached p: that of the oldest sample
// from which on all samples cover p.
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
func (h *History) Newest() (GroupSample, bool) {
	if len(h.samples) == 0 {
		return GroupSample{}, false
	}
	return h.samples[len(h.samples)-1], true
}

// Clone returns an independent copy.
func (h *History) Clone() *History {
	return &History{samples: slices.Clone(h.samples)}
}

// Len returns the number of samples.
func (h *History) Len() int { return len(h.samples) }
