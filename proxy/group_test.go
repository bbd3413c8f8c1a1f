package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"anviltack/core"
)

// TestWitnessWithoutPointIsNoSample does not take a primary's answer that carries no
// position for news of its log: a deaf replica would pass for fresh.
func TestWitnessWithoutPointIsNoSample(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(nil)
	w.run()
	old := core.Point{Term: 1, Position: 10}
	w.setField(w.find("r"), "deaf", "yes")
	w.setField(w.find("s"), "dark", "yes")
	w.mu.Lock()
	p := w.find("p")
	p.last, p.applied = core.Point{Term: 1, Position: 20}, core.Point{Term: 1, Position: 20}
	w.mu.Unlock()
	committed := w.proxy.now()
	g := (*w.proxy.groups.Load())["g"].control
	checked := make(chan time.Time)
	g.control.offer(func(now time.Time) {
		e := g.endpoints["p"]
		g.noteWitness(now, e, witness{sentAt: now, runsSince: now})
		r := core.Status{Role: core.RoleReplica, Term: 1, Received: 10, Last: old}
		g.tracker.Observe("r", now, r)
		at, _ := g.tracker.History().FreshAsOf(old)
		checked <- at
	})
	is.True((<-checked).Before(committed))
}

// TestBornAgainIsAnotherEndpoint keeps no connection and no position of an endpoint
// whose process started anew under its name.
func TestBornAgainIsAnotherEndpoint(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(nil)
	w.run()
	find := func() *endpoint { return (*w.proxy.groups.Load())["g"].state.Load().endpoint("r") }
	before := find()
	w.mu.Lock()
	w.find("r").info.Born = 7
	offer := w.offer
	w.mu.Unlock()
	offer(w.list())
	w.until(func() bool { return find() != nil && find() != before })
	_, err := before.acquire(connectionRequest{maxWait: time.Second})
	is.True(err != nil)
	is.NoErr(w.open("a", "bounded").send(Statement{ID: "1", Kind: KindRead}).Err)
}

// TestEmptyEndpointIsNoSample does not take the reports of an endpoint that started
// anew without its log for proof that an old log is fresh.
func TestEmptyEndpointIsNoSample(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(nil)
	w.run()
	w.setField(w.find("s"), "deaf", "yes")
	is.NoErr(w.open("a", "newest").send(Statement{ID: "1", Kind: KindWrite}).Err) // held by p and r
	w.mu.Lock()
	w.noStore = true // so that nobody promotes
	w.find("p").dark = true
	r := w.find("r")
	r.info.Born, r.last, r.applied, r.deaf = 7, core.Point{}, core.Point{}, true
	offer := w.offer
	w.mu.Unlock()
	offer(w.list())
	time.Sleep(1700 * time.Millisecond) // longer than the bound
	for range 5 {
		is.True(w.open("b", "bounded").send(Statement{ID: "2", Kind: KindRead}).Err != nil)
	}
}

// TestLeavingPrimaryIsRelieved promotes another endpoint before a primary that leaves
// is gone, and sends it no new reads.
func TestLeavingPrimaryIsRelieved(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(nil)
	w.run()
	w.mu.Lock()
	w.find("p").info.Leaving = true
	offer := w.offer
	w.mu.Unlock()
	offer(w.list())
	is.True(w.promotions() != "p token 1")
	a := w.open("a", "newest").send(Statement{ID: "1", Kind: KindWrite})
	is.NoErr(a.Err)
	is.True(a.Proof != "signed by p")
}

// promoteElsewhere makes an endpoint primary without this instance; the old primary
// goes on until it is told.
func (w *world) promoteElsewhere(name core.Endpoint) {
	if err := w.promote(context.Background(), "g", name, 0); err != nil {
		panic(err)
	}
}

// TestDeposedPrimaryAcknowledgesNothing never passes on what a replaced primary says
// of a write, a read of the newest data or a transaction, though it still takes them
// all and the instance was not told.
func TestDeposedPrimaryAcknowledgesNothing(t *testing.T) {
	for name, say := range map[string]func(c *testCaller) Answer{
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
			w := newWorld(nil)
			w.run()
			c := w.open("a", "newest")
			w.promoteElsewhere("s")
			is.True(say(c).Proof != "signed by p")
		})
	}
}

// TestLastMarkSurvivesPromotion reads a session's own commit after the primary that
// took it was replaced.
func TestLastMarkSurvivesPromotion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(nil)
	w.run()
	c := w.open("a", "session")
	is.NoErr(c.send(Statement{ID: "1", Kind: KindWrite}).Err)
	w.promoteElsewhere("s")
	w.setField(w.find("p"), "dark", "yes")
	for {
		a := c.send(Statement{ID: "2", Kind: KindRead})
		if a.Err == nil {
			is.True(a.Proof == "signed by r" || a.Proof == "signed by s")
			return
		}
	}
}
