package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// runRestart starts a replica again, with nothing of before, while the other one receives nothing.
func runRestart(trouble bool) int {
	const (
		stale   = 1500 * time.Millisecond // maxStalenessMs of the route
		deafFor = 6500 * time.Millisecond
		down    = 300 * time.Millisecond
		catchUp = 1500 * time.Millisecond
		rounds  = 4
	)
	d, st := newDeployment(544)
	st.Put("op/config", configuration(3, []string{"orders"}, 1000))
	db := newService(st, "orders", d.zones, 20, nil)
	d.startCloud(db)
	list := d.startAll(4)
	var mu sync.Mutex
	type ack struct {
		at time.Time
		n  int
	}
	var acks []ack
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() { // one writer
		var c *client
		for n := 1; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if c == nil {
				var err error
				if c, err = dialClient(list[n%len(list)].front, "ordersprimary", "w"); err != nil {
					c = nil
					continue
				}
			}
			a, err := c.query(fmt.Sprintf("w%d", n), fmt.Sprintf("WRITE item %d", n), 3*time.Second)
			if err != nil {
				c = nil
				continue
			}
			if a.complete != "" {
				mu.Lock()
				acks = append(acks, ack{time.Now(), n})
				mu.Unlock()
			}
		}
	})
	newest := func(before time.Time) int {
		mu.Lock()
		defer mu.Unlock()
		for i := len(acks) - 1; i >= 0; i-- {
			if acks[i].at.Before(before) {
				return acks[i].n
			}
		}
		return 0
	}
	reads, old := 0, 0
	var first, last time.Time
	for k := range 8 { // readers
		all.Go(func() {
			var c *client
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				if c == nil {
					var err error
					if c, err = dialClient(list[k%len(list)].front, "ordersbounded", "r"); err != nil {
						c = nil
						continue
					}
				}
				id, sent := fmt.Sprintf("r%d-%d", k, n), time.Now()
				a, err := c.query(id, "READ item", 4*time.Second)
				if err != nil {
					c = nil
					continue
				}
				if a.complete == "" {
					continue
				}
				got, _ := strconv.Atoi(a.first)
				want := newest(sent.Add(-stale))
				mu.Lock()
				reads++
				if got < want {
					old++
					if old == 1 {
						first = sent
					}
					last = sent
					if old <= 20 {
						note("caller sent %s READ item through %s, got %q signed %q; write %d was acknowledged more than %v before", id, list[k%len(list)].name, a.first, a.complete, want, stale)
					}
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	for range rounds {
		p := db.primaryBackend()
		var replicas []*backend
		for _, b := range db.backends {
			if b != p {
				replicas = append(replicas, b)
			}
		}
		one, other := replicas[0], replicas[1]
		if trouble {
			db.mu.Lock()
			other.deaf = true
			db.mu.Unlock()
			note("%s receives nothing", other.id)
		}
		time.Sleep(3 * time.Second)
		if trouble {
			note("%s crashes", one.id)
			one.crash()
			time.Sleep(down)
			one.forget(catchUp)
			note("%s is back under its id and knows nothing of before", one.id)
		}
		time.Sleep(deafFor - 3*time.Second - down)
		if trouble {
			other.hear()
			note("%s receives again", other.id)
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	note("%d writes acknowledged, %d reads", len(acks), reads)
	if old > 0 {
		note("the first was sent %.1f s before the last", last.Sub(first).Seconds())
	}
	if len(acks) < 100 || reads < 1000 {
		return verdictNone("too little was served")
	}
	return verdict(old > 0, "%d reads ran on a log that lacks a write acknowledged more than %v before them", old, stale)
}
