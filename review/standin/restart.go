package main

import (
	"syscall"
	"time"
)

// The times of the scenario restart.
const (
	// deafFor is how long a replica receives nothing, from the start of the outage on.
	deafFor = 6500 * time.Millisecond
	// killBefore is how long before the return a process is killed, and startAfter how soon
	// after its end it is started again.
	killBefore = 700 * time.Millisecond
	startAfter = 500 * time.Millisecond
	// replicaBack and othersBack are when the servers register again, counted from the return
	// of the store; the pages allow two seconds.
	replicaBack = 50 * time.Millisecond
	othersBack  = 1900 * time.Millisecond
)

// restart takes the store down until the servers' entries have expired, and restarts a
// process just before it is back, while a replica receives nothing. The replica is the first
// that registers again.
func (w *World) restart(g *Group) {
	i := w.instances[0]
	g.mu.Lock()
	deaf := g.backends[len(g.backends)-1]
	if deaf == g.leader {
		deaf = g.backends[0]
	}
	g.mu.Unlock()
	time.Sleep(3 * time.Second)
	w.note("the store is down; %s receives nothing", deaf.id)
	w.storeDown.Store(true)
	for _, b := range g.backends {
		b.mayBeat.Store(false)
	}
	g.setDeaf(deaf, true)
	time.AfterFunc(deafFor, func() {
		g.setDeaf(deaf, false)
		w.note("%s receives again", deaf.id)
	})
	time.AfterFunc(expiry, func() {
		for _, b := range g.backends {
			w.store.Remove("servers/" + b.id)
		}
	})
	time.Sleep(outage - killBefore)
	w.note("%s is killed", i.name)
	i.expected.Store(true)
	i.signal(syscall.SIGKILL)
	<-i.exited
	time.Sleep(startAfter)
	i.run()
	w.note("%s is started again", i.name)
	time.Sleep(killBefore - startAfter)
	w.note("the store is back")
	w.storeDown.Store(false)
	for _, b := range g.backends {
		back := othersBack
		if b == deaf {
			back = replicaBack
		}
		time.AfterFunc(back, func() {
			w.note("%s registers again", b.id)
			b.mayBeat.Store(true)
			b.beat()
		})
	}
}

func (g *Group) setDeaf(b *Backend, deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b.deaf = deaf
}
