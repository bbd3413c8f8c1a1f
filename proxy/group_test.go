package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"anviltack/core"
)

// TestPrimaryCheckWithoutPointIsNoSample checks that an answer of the primary without a
// position makes no sample of its log. Otherwise a replica that receives nothing would
// count as fresh.
func TestPrimaryCheckWithoutPointIsNoSample(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	old := core.Point{Term: 1, Position: 10}
	sim.setField(sim.find("r"), "deaf", "yes")
	sim.setField(sim.find("s"), "dark", "yes")
	sim.mu.Lock()
	p := sim.find("p")
	p.last, p.applied = core.Point{Term: 1, Position: 20}, core.Point{Term: 1, Position: 20}
	sim.mu.Unlock()
	committed := sim.proxy.now()
	g := sim.proxy.placement.Load().groups["g"].groupControl
	checked := make(chan time.Time)
	g.control.tryPost(func(now time.Time) {
		e := g.endpoints["p"]
		g.recordPrimaryCheck(now, e, primaryCheck{sentAt: now, upSince: now})
		r := core.Status{Role: core.RoleReplica, Term: 1, Received: 10, Last: old}
		g.tracker.Observe("r", now, r)
		at, _ := g.tracker.History().FreshAsOf(old)
		checked <- at
	})
	is.True(receive(t, checked, "checked").Before(committed))
}

// TestRestartedProcessIsNewEndpoint checks that connections and positions of an endpoint
// are dropped if its process restarts under the same name.
func TestRestartedProcessIsNewEndpoint(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	find := func() *endpoint { return sim.proxy.placement.Load().groups["g"].state.Load().endpoint("r") }
	before := find()
	sim.mu.Lock()
	sim.find("r").info.StartedAt = 7
	offer := sim.offerEndpoints
	sim.mu.Unlock()
	offer(sim.list())
	sim.waitFor(func() bool { return find() != nil && find() != before })
	_, err := before.acquire(connectionRequest{maxWait: time.Second})
	is.True(err != nil)
	is.NoErr(sim.open("a", "bounded").send(Statement{ID: "1", Kind: KindRead}).Err)
}

// TestEmptyEndpointIsNoSample checks that the status of an endpoint which restarted with
// an empty log does not make an old log count as fresh.
func TestEmptyEndpointIsNoSample(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	sim.setField(sim.find("s"), "deaf", "yes")
	is.NoErr(sim.open("a", "newest").send(Statement{ID: "1", Kind: KindWrite}).Err) // held by p and r
	sim.mu.Lock()
	sim.storeDown = true // prevents a promotion
	sim.find("p").unreachable = true
	r := sim.find("r")
	r.info.StartedAt, r.last, r.applied, r.notReceiving = 7, core.Point{}, core.Point{}, true
	offer := sim.offerEndpoints
	sim.mu.Unlock()
	offer(sim.list())
	time.Sleep(1700 * time.Millisecond) // longer than the staleness bound
	for range 5 {
		is.True(sim.open("b", "bounded").send(Statement{ID: "2", Kind: KindRead}).Err != nil)
	}
}

// TestLeavingPrimaryIsRelieved checks that another endpoint is promoted while a leaving
// primary still runs, and that the leaving one gets no new work.
func TestLeavingPrimaryIsRelieved(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	sim.mu.Lock()
	sim.find("p").info.Leaving = true
	offer := sim.offerEndpoints
	sim.mu.Unlock()
	offer(sim.list())
	is.True(sim.promotions() != "p token 1")
	a := sim.open("a", "newest").send(Statement{ID: "1", Kind: KindWrite})
	is.NoErr(a.Err)
	is.True(a.Proof != "signed by p")
}

// promoteExternally makes an endpoint primary without this instance. The old primary
// keeps its role until it is fenced.
func (s *simulation) promoteExternally(name core.Endpoint) {
	if err := s.promote(context.Background(), "g", name, 0); err != nil {
		panic(err)
	}
}

// TestDeposedPrimaryAcknowledgesNothing checks that no answer of a replaced primary to a
// write, a read of the newest data or a transaction reaches the caller, though the primary
// still accepts them all and the instance was not informed of the promotion.
func TestDeposedPrimaryAcknowledgesNothing(t *testing.T) {
	for name, send := range map[string]func(c *testCaller) Answer{
		"write": func(c *testCaller) Answer { return c.send(Statement{ID: "1", Kind: KindWrite}) },
		"read":  func(c *testCaller) Answer { return c.send(Statement{ID: "1", Kind: KindRead}) },
		"transaction": func(c *testCaller) Answer {
			c.send(Statement{ID: "1", Kind: KindBegin})
			return c.send(Statement{ID: "2", Kind: KindRead})
		},
		"commit": func(c *testCaller) Answer {
			c.send(Statement{ID: "1", Kind: KindBegin})
			c.send(Statement{ID: "2", Kind: KindWrite})
			return c.send(Statement{ID: "3", Kind: KindCommit})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sim := newSimulation(t)
			sim.startAndWait()
			c := sim.open("a", "newest")
			sim.promoteExternally("s")
			is.True(send(c).Proof != "signed by p")
		})
	}
}

// TestLastMarkSurvivesPromotion checks that a session reads its own commit after the
// primary that executed it was replaced.
func TestLastMarkSurvivesPromotion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	c := sim.open("a", "session")
	is.NoErr(c.send(Statement{ID: "1", Kind: KindWrite}).Err)
	sim.promoteExternally("s")
	sim.setField(sim.find("p"), "dark", "yes")
	for {
		a := c.send(Statement{ID: "2", Kind: KindRead})
		if a.Err == nil {
			is.True(a.Proof == "signed by r" || a.Proof == "signed by s")
			return
		}
	}
}
