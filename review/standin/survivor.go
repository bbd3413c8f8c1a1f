package main

import "time"

// The times of the scenario survivor.
const (
	// firstCrash is when the primary crashes, counted from when a replica stops to receive,
	// secondCrash how long after its promotion the successor does, and crashFor how long each
	// is down.
	firstCrash  = 1500 * time.Millisecond
	secondCrash = 100 * time.Millisecond
	crashFor    = 7 * time.Second
	// registerAfter is how long after its start a server registers.
	registerAfter = 350 * time.Millisecond
)

// survivor lets a replica receive nothing for a while, in which the primary crashes and then
// the replica that was promoted. Both come back with their logs.
func (w *World) survivor(g *Group) {
	g.mu.Lock()
	deaf := g.backends[len(g.backends)-1]
	if deaf == g.leader {
		deaf = g.backends[0]
	}
	g.mu.Unlock()
	time.Sleep(3 * time.Second)
	w.note("%s receives nothing", deaf.id)
	g.setDeaf(deaf, true)
	time.AfterFunc(deafFor, func() {
		g.setDeaf(deaf, false)
		w.note("%s receives again", deaf.id)
	})
	time.Sleep(firstCrash)
	first := g.newest()
	go w.crash(g, first)
	for g.newest() == first {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(secondCrash)
	w.crash(g, g.newest())
}

// newest returns the primary of the newest term.
func (g *Group) newest() *Backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader
}

// crash lets a backend crash for crashFor.
func (w *World) crash(g *Group, b *Backend) {
	g.mu.Lock()
	silentFor := time.Since(b.beatAt)
	g.mu.Unlock()
	w.note("%s crashes", b.id)
	b.crash()
	time.AfterFunc(expiry-silentFor, func() {
		w.note("the entry of %s expires", b.id)
		w.store.Remove("servers/" + b.id)
	})
	time.Sleep(crashFor)
	w.note("%s is back", b.id)
	b.mayBeat.Store(false)
	time.AfterFunc(registerAfter, func() {
		b.mayBeat.Store(true)
		b.beat()
	})
	if err := b.start(); err != nil {
		w.note("could not start %s: %v", b.id, err)
	}
}
