package main

import "time"

// The times of the scenario split.
const (
	// outage is how long the store is down, and expiry after how much silence it removes a
	// server's entry.
	outage = 4500 * time.Millisecond
	expiry = 3600 * time.Millisecond
	// primaryBack and replicasBack are when the servers register again, counted from the
	// return of the store; the pages allow two seconds.
	primaryBack  = 50 * time.Millisecond
	replicasBack = 1700 * time.Millisecond
	// cutAfter is when the cut begins after the return of the store, and cutFor its length.
	cutAfter = 1400 * time.Millisecond
	cutFor   = 7 * time.Second
)

// split takes the store down until the servers' entries have expired. After it is back, a cut
// puts the primary and the first instance on one side, and the store, the replicas and the
// other instances on the other.
func (w *World) split(g *Group) {
	near, far := w.instances[:1], w.instances[1:]
	g.mu.Lock()
	primary := g.leader
	g.mu.Unlock()
	time.Sleep(3 * time.Second)
	w.note("the store is down")
	w.storeDown.Store(true)
	for _, b := range g.backends {
		b.mayBeat.Store(false)
	}
	time.Sleep(expiry)
	for _, b := range g.backends {
		w.store.Remove("servers/" + b.id)
	}
	time.Sleep(outage - expiry)
	w.note("the store is back")
	for _, b := range g.backends {
		back := replicasBack
		if b == primary {
			back = primaryBack
		}
		time.AfterFunc(back, func() {
			w.note("%s registers again", b.id)
			b.mayBeat.Store(true)
			b.beat()
		})
	}
	w.storeDown.Store(false)
	time.Sleep(cutAfter)
	w.note("cut: %s and the primary %s on one side", near[0].name, primary.id)
	setCut := func(isCut bool) {
		for _, i := range near {
			i.cut.Store(isCut)
			for _, b := range g.backends {
				if b != primary {
					i.links[b.id].set(isCut)
				}
			}
		}
		for _, i := range far {
			i.links[primary.id].set(isCut)
		}
		g.mu.Lock()
		g.cutOff = nil
		if isCut {
			g.cutOff = primary
		}
		g.mu.Unlock()
	}
	setCut(true)
	time.AfterFunc(expiry, func() {
		if g.isCutOff(primary) {
			w.store.Remove("servers/" + primary.id)
		}
	})
	time.Sleep(cutFor)
	w.note("the cut heals")
	setCut(false)
	primary.beat()
}

func (g *Group) isCutOff(b *Backend) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cutOff == b
}
