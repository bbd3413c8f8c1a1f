package main

import (
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// soak disturbs the run with one disruption after the other, at most one of each scope at a
// time.
func (w *World) soak(r *rand.Rand) {
	all := []string{"kill", "stop", "term", "crash", "replica", "lose", "deaf", "cut", "release", "store", "silent", "cloud", "late", "restore", "reborn"}
	if *kinds != "" {
		all = strings.Split(*kinds, ",")
	}
	time.Sleep(3 * time.Second)
	for !w.ended.Load() {
		k := all[r.IntN(len(all))]
		i := w.instances[r.IntN(len(w.instances))]
		g := w.groups[[]string{"svc0", "svc1"}[r.IntN(2)]]
		span := time.Duration(1000+r.IntN(3500)) * time.Millisecond
		go w.disturb(k, i, g, span, rand.New(rand.NewPCG(r.Uint64(), 3)))
		time.Sleep(time.Duration(500+r.IntN(4000)) * time.Millisecond)
	}
}

func (w *World) disturb(k string, i *Instance, g *Group, span time.Duration, r *rand.Rand) {
	switch k {
	case "cloud", "late", "restore":
		if !w.taken.CompareAndSwap(false, true) {
			return
		}
		defer w.taken.Store(false)
		w.note("%s for %v", k, span)
	case "kill", "term", "stop", "cut":
		if !i.taken.CompareAndSwap(false, true) {
			return
		}
		defer i.taken.Store(false)
		w.note("%s %s for %v", k, i.name, span)
	default:
		if !g.taken.CompareAndSwap(false, true) {
			return
		}
		defer g.taken.Store(false)
		w.note("%s %s for %v", k, g.name, span)
	}
	g.mu.Lock()
	leader := g.leader
	other := g.backends[r.IntN(len(g.backends))]
	for other == leader {
		other = g.backends[r.IntN(len(g.backends))]
	}
	g.mu.Unlock()
	switch k {
	case "kill":
		i.expected.Store(true)
		i.signal(syscall.SIGKILL)
		<-i.exited
		time.Sleep(span / 3)
		i.run()
	case "term":
		i.expected.Store(true)
		i.signal(syscall.SIGTERM)
		select {
		case <-i.exited:
		case <-time.After(6 * time.Second):
			w.breach("GRACE", "%s had to be killed", i.name)
			i.signal(syscall.SIGKILL)
			<-i.exited
		}
		i.run()
		time.Sleep(2 * time.Second)
	case "stop":
		i.signal(syscall.SIGSTOP)
		time.Sleep(span)
		i.signal(syscall.SIGCONT)
		time.Sleep(time.Second)
	case "cut":
		i.cut.Store(true)
		time.Sleep(span)
		i.cut.Store(false)
	case "crash", "replica":
		b := leader
		if k == "replica" {
			b = other
		}
		b.crash()
		t := time.AfterFunc(3600*time.Millisecond, func() { w.store.Remove("servers/" + b.id) })
		time.Sleep(span)
		t.Stop()
		if err := b.start(); err != nil {
			w.note("could not start %s: %v", b.id, err)
		}
		time.Sleep(3 * time.Second)
	case "lose":
		how := []string{"silent", "reset", "cut"}[r.IntN(3)]
		g.mu.Lock()
		for _, b := range g.backends {
			b.lose = func(string) string {
				if rand.IntN(20) == 0 {
					return how
				}
				return ""
			}
		}
		g.mu.Unlock()
		time.Sleep(span)
		g.mu.Lock()
		for _, b := range g.backends {
			b.lose = func(string) string { return "" }
		}
		g.mu.Unlock()
	case "deaf":
		g.mu.Lock()
		other.deaf = true
		g.mu.Unlock()
		time.Sleep(span)
		g.mu.Lock()
		other.deaf = false
		g.mu.Unlock()
	case "release":
		g.mu.Lock()
		leader.state = "draining"
		g.mu.Unlock()
		leader.beat()
		time.Sleep(8 * time.Second)
		leader.crash()
		w.store.Remove("servers/" + leader.id)
		time.Sleep(200 * time.Millisecond)
		g.mu.Lock()
		leader.id, leader.state, leader.born = newServerID(r), "ready", time.Now().UnixMilli()
		g.mu.Unlock()
		if err := leader.start(); err != nil {
			w.note("could not start %s: %v", leader.id, err)
		}
		time.Sleep(2 * time.Second)
	case "cloud":
		w.slowCloud.Store(true)
		time.Sleep(2 * span)
		w.slowCloud.Store(false)
	case "late":
		w.lateStore.Store(true)
		time.Sleep(span)
		w.lateStore.Store(false)
		time.Sleep(4 * time.Second)
	case "silent":
		g.mu.Lock()
		for _, b := range g.backends {
			for c := range b.conns {
				if r.IntN(2) == 0 {
					b.silent[c] = true
				}
			}
		}
		g.mu.Unlock()
		time.Sleep(2 * time.Second)
	case "reborn":
		other.crash()
		time.Sleep(span / 4)
		g.mu.Lock()
		other.born, other.beats, other.log, other.role = time.Now().UnixMilli(), 0, nil, "replica"
		g.mu.Unlock()
		if err := other.start(); err != nil {
			w.note("could not start %s: %v", other.id, err)
		}
		time.Sleep(3 * time.Second)
	case "restore":
		w.mu.Lock()
		c := w.copies[max(0, len(w.copies)-2-r.IntN(5))]
		w.mu.Unlock()
		again := w.store.Restore(c)
		w.note("restored to revision %d", c.revision)
		for key, value := range again {
			go func() {
				time.Sleep(time.Duration(rand.IntN(1800)) * time.Millisecond)
				w.store.mu.Lock()
				defer w.store.mu.Unlock()
				w.store.put(key, value, 0)
			}()
		}
		time.Sleep(6 * time.Second)
		w.mu.Lock()
		w.copies = nil
		w.copies = append(w.copies, w.store.Copy())
		w.mu.Unlock()
	case "store":
		for _, i := range w.instances {
			i.cut.Store(true)
		}
		time.Sleep(span)
		for _, i := range w.instances {
			i.cut.Store(false)
		}
		time.Sleep(time.Second)
	}
}
