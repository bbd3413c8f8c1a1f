package mark

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"anviltack/core"
)

// modelEndpoint is one endpoint in a small model of a group. Its log lists the term in
// which each entry was written.
type modelEndpoint struct {
	log      []uint64
	fence    uint64
	term     uint64
	received int
	primary  bool
}

func (n *modelEndpoint) status() core.Status {
	s := core.Status{Role: core.RoleReplica, Fence: n.fence, Term: n.term, Received: uint64(n.received), Applied: uint64(n.received)}
	if n.primary {
		s.Role = core.RolePrimary
	}
	if l := len(n.log); l > 0 {
		s.Last = core.Point{Term: n.log[l-1], Position: uint64(l)}
	}
	return s
}

// replicate sends a replica up to count entries from an index on, if the logs agree
// before that index.
func (n *modelEndpoint) replicate(to *modelEndpoint, from, count int) {
	if n.fence > n.term || to.fence > n.term || to.primary && to.term == n.term {
		return
	}
	if from > len(to.log) || from > len(n.log) || from > 0 && to.log[from-1] != n.log[from-1] {
		return
	}
	end := min(from+count, len(n.log))
	for i := from; i < end; i++ {
		if i < len(to.log) && to.log[i] != n.log[i] {
			to.log = to.log[:i]
		}
		if i >= len(to.log) {
			to.log = append(to.log, n.log[i])
		}
	}
	if to.term != n.term {
		to.received = 0
	}
	to.fence, to.term, to.primary = n.term, n.term, false
	to.received = max(to.received, end)
}

type acknowledged struct {
	ms       int
	term     uint64
	position int
}

type model struct {
	endpoints    []*modelEndpoint
	acknowledged []acknowledged
	tracker      *Tracker
	now          int
}

func (m *model) majority() int { return len(m.endpoints)/2 + 1 }

// acknowledge acknowledges the whole log of the primary n if the present statuses show
// that a majority holds it.
func (m *model) acknowledge(n *modelEndpoint) {
	if !n.primary || n.fence > n.term || len(n.log) == 0 || n.log[len(n.log)-1] != n.term {
		return
	}
	holders := 0
	for _, o := range m.endpoints {
		if o.term == n.term && o.fence == n.term && o.received >= len(n.log) {
			holders++
		}
	}
	if holders >= m.majority() {
		m.acknowledged = append(m.acknowledged, acknowledged{ms: m.now, term: n.term, position: len(n.log)})
	}
}

func (m *model) promote(t *rapid.T) {
	term := uint64(0)
	for _, n := range m.endpoints {
		term = max(term, n.fence)
	}
	term++
	order := rapid.Permutation([]int{0, 1, 2, 3, 4}[:len(m.endpoints)]).Draw(t, "fenced")
	var first *modelEndpoint
	for _, i := range order[:rapid.IntRange(1, len(order)).Draw(t, "count")] {
		n := m.endpoints[i]
		n.fence = term
		if first == nil || first.status().Last.Less(n.status().Last) {
			first = n
		}
	}
	fenced := 0
	for _, n := range m.endpoints {
		if n.fence == term {
			fenced++
		}
	}
	if fenced < m.majority() {
		return
	}
	first.primary, first.term = true, term
	first.log = append(first.log, term)
	first.received = len(first.log)
}

func (m *model) step(t *rapid.T) {
	m.now++
	i := rapid.IntRange(0, len(m.endpoints)-1).Draw(t, "node")
	n := m.endpoints[i]
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		m.promote(t)
	case 1, 2:
		if n.primary && n.fence == n.term {
			n.log = append(n.log, n.term)
			n.received = len(n.log)
		}
	case 3, 4, 5:
		to := m.endpoints[rapid.IntRange(0, len(m.endpoints)-1).Draw(t, "to")]
		if n.primary && to != n {
			n.replicate(to, rapid.IntRange(0, len(n.log)).Draw(t, "from"), rapid.IntRange(0, 3).Draw(t, "entries"))
		}
	case 6:
		m.acknowledge(n)
	default:
		m.tracker.Observe(core.Endpoint(fmt.Sprint(i)), at(m.now), n.status())
	}
}

// check compares what the history reports as fresh for each endpoint with the writes that
// were really acknowledged by then.
func (m *model) check(t *rapid.T) {
	for i, n := range m.endpoints {
		fresh, ok := m.tracker.History().FreshAsOf(n.status().Visible())
		if !ok {
			continue
		}
		for _, a := range m.acknowledged {
			if !at(a.ms).Before(fresh) {
				continue
			}
			if a.position > n.received || n.log[a.position-1] != a.term {
				t.Fatalf("endpoint %d at %v counts as fresh as of %s but lacks write %d of term %d", i, n.status(), sinceStart(fresh), a.position, a.term)
			}
		}
	}
}

func TestFreshEndpointsHoldAcknowledgedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{}
		var names []core.Endpoint
		for i := range rapid.SampledFrom([]int{3, 5}).Draw(t, "size") {
			m.endpoints = append(m.endpoints, &modelEndpoint{term: 1, fence: 1, primary: i == 0})
			names = append(names, core.Endpoint(fmt.Sprint(i)))
		}
		m.tracker = NewTracker(names...)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.step(t)
			m.check(t)
		}
	})
}

func TestHistoryIsBounded(t *testing.T) {
	h := &History{}
	for i := range 10 * maxSamples {
		h.Add(GroupSample{At: at(i), Point: core.Point{Term: 1, Position: uint64(i)}})
		if h.Len() > maxSamples {
			t.Fatal(h.Len())
		}
	}
	for i := 1; i < len(h.samples); i++ {
		if !h.samples[i-1].At.Before(h.samples[i].At) {
			t.Fatal("out of order")
		}
	}
	for age := 100; age < 9*maxSamples; age *= 2 {
		p := 10*maxSamples - age
		fresh, ok := h.FreshAsOf(core.Point{Term: 1, Position: uint64(p)})
		if late := at(p).Sub(fresh); !ok || late > time.Duration(age)*time.Millisecond/4 {
			t.Fatalf("a point %d ms old counts as %v older", age, late)
		}
	}
	if fresh, ok := h.FreshAsOf(core.Point{Term: 1, Position: 10 * maxSamples}); !ok || fresh != at(10*maxSamples-1) {
		t.Fatal("the newest sample is gone")
	}
}

func BenchmarkObserve(b *testing.B) {
	names := []core.Endpoint{"a", "b", "c"}
	t := NewTracker(names...)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		t.Observe(names[i%len(names)], at(i), core.Status{Fence: 1, Term: 1, Received: uint64(i), Applied: uint64(i)})
	}
}
