package admit

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"anviltack/core"
)

const (
	clusterSlots  = 3
	clusterSpread = 300 * time.Millisecond
)

// cluster drives the sharing of one endpoint on several instances that come,
// go and pause. Its assumptions are those of Lender: an instance that runs
// learns of a change of members within half of the spread, no statement takes
// longer than the guard, and an instance left out of the list learns of that too.
type cluster struct {
	t      *rapid.T
	random *rand.Rand
	now    time.Time
	events events
	seq    int
	nodes  []*node
	id     uint64
	work   time.Duration
	// present counts the statements at the endpoint.
	present int
	started map[uint64]bool
	refused map[uint64]bool
}

type node struct {
	sharing *Sharing
	paused  bool
	listed  bool
	backlog []func()
}

func (c *cluster) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(d), seq: c.seq, do: do})
}

// deliver runs an event on an instance, after its pause when it is paused.
func (c *cluster) deliver(i int, d time.Duration, do func() Output) {
	c.after(d, func() {
		n := c.nodes[i]
		if n.paused {
			n.backlog = append(n.backlog, func() { c.settle(i, do()) })
			return
		}
		c.settle(i, do())
	})
}

func (c *cluster) settle(i int, o Output) {
	n := c.nodes[i]
	for _, a := range o.Actions {
		if a.Err != nil {
			c.refused[a.ID] = true
			if c.started[a.ID] {
				c.t.Fatalf("statement %d ran and was refused", a.ID)
			}
			continue
		}
		if c.refused[a.ID] || c.started[a.ID] {
			c.t.Fatalf("statement %d started after its answer", a.ID)
		}
		c.started[a.ID] = true
		c.present++
		if c.present > clusterSlots {
			c.t.Fatalf("%d statements on %d slots at %s", c.present, clusterSlots, c.now.Sub(time.Unix(1000, 0)))
		}
		c.after(c.work, func() { c.present-- })
		c.deliver(i, c.work, func() Output { return n.sharing.Finish(c.now, a.ID) })
	}
	self := instanceName(i)
	for _, g := range o.Grants {
		to := slices.IndexFunc(c.nodes, func(o *node) bool { return o.sharing.self == g.To })
		c.send(to, func() Output { return c.nodes[to].sharing.Granted(c.now, self, g) })
	}
	for _, g := range o.Recalls {
		to := slices.IndexFunc(c.nodes, func(o *node) bool { return o.sharing.self == g.To })
		c.send(to, func() Output { return c.nodes[to].sharing.Recalled(c.now, self, g) })
	}
	for _, m := range o.Messages {
		to := slices.IndexFunc(c.nodes, func(o *node) bool { return o.sharing.self == m.To })
		c.send(to, func() Output {
			if m.Return {
				return c.nodes[to].sharing.Return(c.now, m.Ask)
			}
			return c.nodes[to].sharing.Ask(c.now, m.Ask)
		})
	}
}

// send loses one message in twenty and delays one in ten by up to two leases.
func (c *cluster) send(to int, do func() Output) {
	d := time.Duration(c.random.Int64N(int64(3 * time.Millisecond)))
	switch n := c.random.IntN(20); {
	case n == 0:
		return
	case n < 3:
		d = time.Duration(c.random.Int64N(int64(2 * defaultLease)))
	}
	c.deliver(to, d, do)
}

// tell lets every instance read the list, each at its own time.
func (c *cluster) tell() {
	for i := range c.nodes {
		d := time.Duration(c.random.Int64N(int64(clusterSpread / 2)))
		c.deliver(i, d, func() Output {
			var members []core.Instance
			for i, n := range c.nodes {
				if n.listed {
					members = append(members, instanceName(i))
				}
			}
			return c.nodes[i].sharing.SetMembers(c.now, members)
		})
	}
}

func (c *cluster) resume(i int) {
	n := c.nodes[i]
	n.paused, n.listed = false, true
	backlog := n.backlog
	n.backlog = nil
	c.random.Shuffle(len(backlog), func(i, j int) { backlog[i], backlog[j] = backlog[j], backlog[i] })
	for _, do := range backlog {
		do()
	}
	c.tell()
}

func (c *cluster) beat(i int) {
	c.deliver(i, 0, func() Output { return c.nodes[i].sharing.Tick(c.now) })
	c.after(5*time.Millisecond, func() { c.beat(i) })
}

func (c *cluster) arrive() {
	i := min(c.random.IntN(len(c.nodes)+2), len(c.nodes)-1)
	c.id++
	r := Request{ID: c.id, Caller: "c", Deadline: c.now.Add(200 * time.Millisecond)}
	c.deliver(i, 0, func() Output { return c.nodes[i].sharing.Arrive(c.now, r) })
	c.after(time.Duration(c.random.Int64N(int64(2*time.Millisecond))), c.arrive)
}

// TestSlotsNeverExceeded is the invariant of slot leases: over all instances no
// more statements run than the endpoint has slots, whatever comes, goes, pauses
// or is lost. It fails without the rest after a change of owner, without the
// guard, when a return is taken for a later lease, and when a lease counts from
// the arrival of its grant.
func TestSlotsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		c := &cluster{
			t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
			started: map[uint64]bool{}, refused: map[uint64]bool{},
		}
		c.work = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 40 * time.Millisecond}).Draw(t, "work")
		for i := range rapid.IntRange(2, 5).Draw(t, "instances") {
			s := NewSharing("e1", instanceName(i), clusterSlots, c.random, WithLending(WithSpread(clusterSpread)))
			c.nodes = append(c.nodes, &node{sharing: s, listed: true})
			c.beat(i)
		}
		c.tell()
		c.after(time.Second, c.arrive)
		at := time.Second
		for range rapid.IntRange(0, 6).Draw(t, "changes") {
			i := rapid.IntRange(0, len(c.nodes)-1).Draw(t, "instance")
			drop := rapid.Bool().Draw(t, "dropped from the list")
			at += time.Duration(rapid.Int64Range(0, int64(500*time.Millisecond)).Draw(t, "gap"))
			length := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "length"))
			pause := rapid.Bool().Draw(t, "pause")
			c.after(at, func() {
				c.nodes[i].paused = pause
				if drop {
					c.nodes[i].listed = false
					c.tell()
				}
			})
			c.after(at+length, func() { c.resume(i) })
		}
		end := c.now.Add(at + time.Second)
		for c.now.Before(end) {
			e := heap.Pop(&c.events).(event)
			c.now = e.at
			e.do()
		}
		if len(c.started) == 0 {
			t.Fatal("nothing ran")
		}
	})
}
