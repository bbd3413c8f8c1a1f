package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runToken crashes a primary while the platform's service of promotions is cut off for a while.
func runToken(trouble bool) int {
	const (
		instances = 4
		heal      = 2200 * time.Millisecond // after the first call of a promotion was held up
	)
	d, st := newDeployment(544)
	st.Put("op/config", configuration(3, []string{"orders"}, 1000))
	db := newService(st, "orders", d.zones, 20, nil)
	var mu sync.Mutex
	var highest uint64
	lower := 0
	inner := cloud([]*service{db}, func(string, string, string, uint64) {})
	target := serveHTTP("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Service, ID string }
		text := make([]byte, r.ContentLength)
		_, _ = r.Body.Read(text)
		_ = json.Unmarshal(text, &body)
		r.Body = http.NoBody
		token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
		mu.Lock()
		note("platform gets POST /promote %s %s from %s with token %d; the highest before is %d", body.Service, body.ID, r.Header.Get("Duty-Holder"), token, highest)
		if token < highest {
			lower++
		}
		highest = max(highest, token)
		mu.Unlock()
		request, _ := http.NewRequest(http.MethodPost, "/promote", strings.NewReader(string(text)))
		request.Header = r.Header
		inner.ServeHTTP(w, request)
	}))
	l, address := newLink(target)
	d.cloud = address
	sent := make(chan struct{}, 100)
	l.held = func(b []byte, _ time.Duration) { note("held up: %q", firstLine(b)); sent <- struct{}{} }
	l.delivered = func(b []byte, after time.Duration) { note("passes after %.1f s: %q", after.Seconds(), firstLine(b)) }
	d.startAll(instances)
	// First failovers without trouble, until the first primary leads again: the instance that
	// replaces it is connected to the platform then.
	first := db.primaryBackend()
	for n := 0; n == 0 || db.primaryBackend() != first; n++ {
		p := db.primaryBackend()
		if n == 6 {
			return verdictNone("the first primary does not lead again")
		}
		note("%s crashes", p.id)
		p.crash()
		if !waitFor(15*time.Second, func() bool { next := db.primaryBackend(); return next != nil && next != p }) {
			return verdictNone("no failover")
		}
		time.Sleep(time.Second)
		p.restart()
		note("%s leads, %s is back", db.primaryBackend().id, p.id)
		time.Sleep(7 * time.Second)
	}
	second := first
	if trouble {
		l.setCut(true)
		note("the service of promotions is cut off")
	}
	note("%s crashes", second.id)
	second.crash()
	if trouble {
		select {
		case <-sent:
		case <-time.After(10 * time.Second):
			return verdictNone("no call was held up")
		}
		time.Sleep(heal)
		l.setCut(false)
		note("the service of promotions is reached again")
	}
	waitFor(15*time.Second, func() bool { p := db.primaryBackend(); return p != nil && p != second })
	time.Sleep(5 * time.Second)
	p := db.primaryBackend()
	if p == nil || p == second {
		return verdictNone("no second failover")
	}
	note("%s leads", p.id)
	mu.Lock()
	defer mu.Unlock()
	return verdict(lower > 0, "%d calls came with a lower token than one before", lower)
}

func firstLine(b []byte) string {
	t := string(b)
	head, _, _ := strings.Cut(t, "\r\n")
	for _, l := range strings.Split(t, "\r\n") {
		if strings.HasPrefix(l, "Fencing-Token") {
			head += "; " + l
		}
	}
	return fmt.Sprint(head)
}

func waitFor(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
