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
	clusterSlots          = 3
	clusterMembershipSkew = 300 * time.Millisecond
)

// cluster simulates the sharing of one endpoint by several instances that join, leave and
// pause. It makes the assumptions of Lender: a running instance sees a change of members
// within half of membershipSkew, no statement takes longer than minRemaining, and an
// instance that is removed from the list sees that too.
type cluster struct {
	t           *rapid.T
	random      *rand.Rand
	now         time.Time
	events      events
	seq         int
	instances   []*clusterInstance
	lastID      uint64
	serviceTime time.Duration
	// atEndpoint counts the statements running at the endpoint.
	atEndpoint int
	started    map[uint64]bool
	refused    map[uint64]bool
}

type clusterInstance struct {
	sharing *Sharing
	paused  bool
	listed  bool
	delayed []func()
}

func (c *cluster) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(d), seq: c.seq, do: do})
}

// deliver runs an event on an instance, or once it resumes if it is paused.
func (c *cluster) deliver(i int, d time.Duration, do func() Output) {
	c.after(d, func() {
		instance := c.instances[i]
		if instance.paused {
			instance.delayed = append(instance.delayed, func() { c.applyOutput(i, do()) })
			return
		}
		c.applyOutput(i, do())
	})
}

func (c *cluster) applyOutput(i int, o Output) {
	instance := c.instances[i]
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
		c.atEndpoint++
		if c.atEndpoint > clusterSlots {
			c.t.Fatalf("%d statements on %d slots at %s", c.atEndpoint, clusterSlots, c.now.Sub(time.Unix(1000, 0)))
		}
		c.after(c.serviceTime, func() { c.atEndpoint-- })
		c.deliver(i, c.serviceTime, func() Output { return instance.sharing.Finish(c.now, a.ID) })
	}
	self := instanceName(i)
	for _, g := range o.Grants {
		to := slices.IndexFunc(c.instances, func(o *clusterInstance) bool { return o.sharing.self == g.To })
		c.send(to, func() Output { return c.instances[to].sharing.HandleGrant(c.now, self, g) })
	}
	for _, r := range o.Recalls {
		to := slices.IndexFunc(c.instances, func(o *clusterInstance) bool { return o.sharing.self == r.To })
		c.send(to, func() Output { return c.instances[to].sharing.HandleRecall(c.now, self, r) })
	}
	for _, m := range o.Messages {
		to := slices.IndexFunc(c.instances, func(o *clusterInstance) bool { return o.sharing.self == m.To })
		c.send(to, func() Output {
			if m.Return {
				return c.instances[to].sharing.HandleReturn(c.now, m.Request)
			}
			return c.instances[to].sharing.HandleSlotRequest(c.now, m.Request)
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

// announceMembers makes every instance read the list of members, each at its own time.
func (c *cluster) announceMembers() {
	for i := range c.instances {
		d := time.Duration(c.random.Int64N(int64(clusterMembershipSkew / 2)))
		c.deliver(i, d, func() Output {
			var members []core.Instance
			for i, instance := range c.instances {
				if instance.listed {
					members = append(members, instanceName(i))
				}
			}
			return c.instances[i].sharing.SetInstances(c.now, members)
		})
	}
}

func (c *cluster) resume(i int) {
	instance := c.instances[i]
	instance.paused, instance.listed = false, true
	delayed := instance.delayed
	instance.delayed = nil
	c.random.Shuffle(len(delayed), func(i, j int) { delayed[i], delayed[j] = delayed[j], delayed[i] })
	for _, do := range delayed {
		do()
	}
	c.announceMembers()
}

func (c *cluster) keepTicking(i int) {
	c.deliver(i, 0, func() Output { return c.instances[i].sharing.Tick(c.now) })
	c.after(5*time.Millisecond, func() { c.keepTicking(i) })
}

func (c *cluster) arrive() {
	i := min(c.random.IntN(len(c.instances)+2), len(c.instances)-1)
	c.lastID++
	r := Request{ID: c.lastID, Caller: "c", Deadline: c.now.Add(200 * time.Millisecond)}
	c.deliver(i, 0, func() Output { return c.instances[i].sharing.Arrive(c.now, r) })
	c.after(time.Duration(c.random.Int64N(int64(2*time.Millisecond))), c.arrive)
}

// TestSlotsNeverExceeded checks the invariant of slot leases: all instances together never
// run more statements than the endpoint has slots, whichever instances join, leave or
// pause and whichever messages are lost or late. It fails without the quarantine after a
// change of owner, without minRemaining, if a return ends a later lease than its own, and
// if a lease counts from the arrival of its grant.
func TestSlotsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		c := &cluster{
			t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
			started: map[uint64]bool{}, refused: map[uint64]bool{},
		}
		c.serviceTime = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 40 * time.Millisecond}).Draw(t, "work")
		for i := range rapid.IntRange(2, 5).Draw(t, "instances") {
			s := NewSharing("e1", instanceName(i), clusterSlots, c.random, WithLenderOptions(WithMembershipSkew(clusterMembershipSkew)))
			c.instances = append(c.instances, &clusterInstance{sharing: s, listed: true})
			c.keepTicking(i)
		}
		c.announceMembers()
		c.after(time.Second, c.arrive)
		at := time.Second
		for range rapid.IntRange(0, 6).Draw(t, "changes") {
			i := rapid.IntRange(0, len(c.instances)-1).Draw(t, "instance")
			drop := rapid.Bool().Draw(t, "dropped from the list")
			at += time.Duration(rapid.Int64Range(0, int64(500*time.Millisecond)).Draw(t, "gap"))
			length := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "length"))
			pause := rapid.Bool().Draw(t, "pause")
			c.after(at, func() {
				c.instances[i].paused = pause
				if drop {
					c.instances[i].listed = false
					c.announceMembers()
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
