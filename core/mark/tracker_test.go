package mark

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"anviltack/core"
)

// node is one endpoint of a small model of a group: a log of the terms in which
// its entries were written.
type node struct {
	log     []uint64
	fence   uint64
	term    uint64
	held    int
	primary bool
}

func (n *node) status() core.Status {
	s := core.Status{Role: core.RoleReplica, Fence: n.fence, Term: n.term, Received: uint64(n.held), Applied: uint64(n.held)}
	if n.primary {
		s.Role = core.RolePrimary
	}
	if l := len(n.log); l > 0 {
		s.Last = core.Point{Term: n.log[l-1], Position: uint64(l)}
	}
	return s
}

// push sends a replica the entries from a place on, up to count of them, if the
// logs agree before that place.
func (n *node) push(to *node, from, count int) {
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
		to.held = 0
	}
	to.fence, to.term, to.primary = n.term, n.term, false
	to.held = max(to.held, end)
}

type acknowledged struct {
	ms    int
	entry uint64
	place int
}

type model struct {
	nodes   []*node
	acks    []acknowledged
	tracker *Tracker
	now     int
}

func (m *model) majority() int { return len(m.nodes)/2 + 1 }

// acknowledge settles all that the primary n holds with a majority, by the
// statuses of this moment.
func (m *model) acknowledge(n *node) {
	if !n.primary || n.fence > n.term || len(n.log) == 0 || n.log[len(n.log)-1] != n.term {
		return
	}
	have := 0
	for _, o := range m.nodes {
		if o.term == n.term && o.fence == n.term && o.held >= len(n.log) {
			have++
		}
	}
	if have >= m.majority() {
		m.acks = append(m.acks, acknowledged{ms: m.now, entry: n.term, place: len(n.log)})
	}
}

func (m *model) promote(t *rapid.T) {
	term := uint64(0)
	for _, n := range m.nodes {
		term = max(term, n.fence)
	}
	term++
	order := rapid.Permutation([]int{0, 1, 2, 3, 4}[:len(m.nodes)]).Draw(t, "fenced")
	var first *node
	for _, i := range order[:rapid.IntRange(1, len(order)).Draw(t, "count")] {
		n := m.nodes[i]
		n.fence = term
		if first == nil || first.status().Last.Less(n.status().Last) {
			first = n
		}
	}
	fenced := 0
	for _, n := range m.nodes {
		if n.fence == term {
			fenced++
		}
	}
	if fenced < m.majority() {
		return
	}
	first.primary, first.term = true, term
	first.log = append(first.log, term)
	first.held = len(first.log)
}

func (m *model) step(t *rapid.T) {
	m.now++
	i := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")
	n := m.nodes[i]
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		m.promote(t)
	case 1, 2:
		if n.primary && n.fence == n.term {
			n.log = append(n.log, n.term)
			n.held = len(n.log)
		}
	case 3, 4, 5:
		to := m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "to")]
		if n.primary && to != n {
			n.push(to, rapid.IntRange(0, len(n.log)).Draw(t, "from"), rapid.IntRange(0, 3).Draw(t, "entries"))
		}
	case 6:
		m.acknowledge(n)
	default:
		m.tracker.Observe(core.Endpoint(fmt.Sprint(i)), at(m.now), n.status())
	}
}

// check compares what the history says of each endpoint with the writes that
// were in truth acknowledged by then.
func (m *model) check(t *rapid.T) {
	for i, n := range m.nodes {
		fresh, ok := m.tracker.History().FreshAsOf(n.status().Visible())
		if !ok {
			continue
		}
		for _, a := range m.acks {
			if !at(a.ms).Before(fresh) {
				continue
			}
			if a.place > n.held || n.log[a.place-1] != a.entry {
				t.Fatalf("endpoint %d at %v counts as fresh as of %s but lacks write %d of term %d", i, n.status(), since(fresh), a.place, a.entry)
			}
		}
	}
}

func TestFreshEndpointsHoldAcknowledgedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{}
		var names []core.Endpoint
		for i := range rapid.SampledFrom([]int{3, 5}).Draw(t, "size") {
			m.nodes = append(m.nodes, &node{term: 1, fence: 1, primary: i == 0})
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
		h.Add(Sample{At: at(i), Point: core.Point{Term: 1, Position: uint64(i)}})
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
