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

func (e *modelEndpoint) status() core.Status {
	s := core.Status{Role: core.RoleReplica, Fence: e.fence, Term: e.term, Received: uint64(e.received), Applied: uint64(e.received)}
	if e.primary {
		s.Role = core.RolePrimary
	}
	if l := len(e.log); l > 0 {
		s.Last = core.Point{Term: e.log[l-1], Position: uint64(l)}
	}
	return s
}

// replicate sends a replica up to count entries from an index on, if the logs agree
// before that index.
func (e *modelEndpoint) replicate(to *modelEndpoint, from, count int) {
	if e.fence > e.term || to.fence > e.term || to.primary && to.term == e.term {
		return
	}
	if from > len(to.log) || from > len(e.log) || from > 0 && to.log[from-1] != e.log[from-1] {
		return
	}
	end := min(from+count, len(e.log))
	for i := from; i < end; i++ {
		if i < len(to.log) && to.log[i] != e.log[i] {
			to.log = to.log[:i]
		}
		if i >= len(to.log) {
			to.log = append(to.log, e.log[i])
		}
	}
	if to.term != e.term {
		to.received = 0
	}
	to.fence, to.term, to.primary = e.term, e.term, false
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

// acknowledge acknowledges the whole log of an endpoint if it is the primary and the
// present statuses show that a majority holds the log.
func (m *model) acknowledge(e *modelEndpoint) {
	if !e.primary || e.fence > e.term || len(e.log) == 0 || e.log[len(e.log)-1] != e.term {
		return
	}
	holders := 0
	for _, o := range m.endpoints {
		if o.term == e.term && o.fence == e.term && o.received >= len(e.log) {
			holders++
		}
	}
	if holders >= m.majority() {
		m.acknowledged = append(m.acknowledged, acknowledged{ms: m.now, term: e.term, position: len(e.log)})
	}
}

func (m *model) promote(t *rapid.T) {
	term := uint64(0)
	for _, e := range m.endpoints {
		term = max(term, e.fence)
	}
	term++
	order := rapid.Permutation([]int{0, 1, 2, 3, 4}[:len(m.endpoints)]).Draw(t, "fenced")
	var newest *modelEndpoint
	for _, i := range order[:rapid.IntRange(1, len(order)).Draw(t, "count")] {
		e := m.endpoints[i]
		e.fence = term
		if newest == nil || newest.status().Last.Less(e.status().Last) {
			newest = e
		}
	}
	fenced := 0
	for _, e := range m.endpoints {
		if e.fence == term {
			fenced++
		}
	}
	if fenced < m.majority() {
		return
	}
	newest.primary, newest.term = true, term
	newest.log = append(newest.log, term)
	newest.received = len(newest.log)
}

func (m *model) step(t *rapid.T) {
	m.now++
	i := rapid.IntRange(0, len(m.endpoints)-1).Draw(t, "node")
	e := m.endpoints[i]
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		m.promote(t)
	case 1, 2:
		if e.primary && e.fence == e.term {
			e.log = append(e.log, e.term)
			e.received = len(e.log)
		}
	case 3, 4, 5:
		to := m.endpoints[rapid.IntRange(0, len(m.endpoints)-1).Draw(t, "to")]
		if e.primary && to != e {
			e.replicate(to, rapid.IntRange(0, len(e.log)).Draw(t, "from"), rapid.IntRange(0, 3).Draw(t, "entries"))
		}
	case 6:
		m.acknowledge(e)
	default:
		m.tracker.Observe(core.Endpoint(fmt.Sprint(i)), at(m.now), e.status())
	}
}

// check compares what the history reports as fresh for each endpoint with the writes that
// were really acknowledged by then.
func (m *model) check(t *rapid.T) {
	for i, e := range m.endpoints {
		fresh, ok := m.tracker.History().FreshAsOf(e.status().Visible())
		if !ok {
			continue
		}
		for _, a := range m.acknowledged {
			if !at(a.ms).Before(fresh) {
				continue
			}
			if a.position > e.received || e.log[a.position-1] != a.term {
				t.Fatalf("endpoint %d at %v counts as fresh as of %s but lacks write %d of term %d", i, e.status(), sinceStart(fresh), a.position, a.term)
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
