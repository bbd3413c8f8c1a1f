package main

import (
	"fmt"
	"sync"
	"time"
)

// runTenant keeps a transaction open while a configuration gives the caller's key to another
// tenant.
func runTenant(trouble bool) int {
	const (
		apply = 5 * time.Second // configApplyMs of the site
		pause = time.Second     // between two statements; below txIdleMs
		// statements of a transaction, BEGIN and COMMIT included: the most that the page names
		statements = 12
	)
	d, st := newDeployment(408)
	d.bounds["configApplyMs"] = int(apply.Milliseconds())
	d.contracts = append(d.contracts, "auth", "quota")
	tenants := func(alpha, beta []string) []map[string]any {
		return []map[string]any{
			{"name": "alpha", "apiKeys": alpha, "ratePerS": 500, "burst": 500},
			{"name": "beta", "apiKeys": beta, "ratePerS": 500, "burst": 500},
		}
	}
	config := func(version int, alpha, beta []string) map[string]any {
		c := configuration(version, []string{"orders"}, 1000)
		c["tenants"] = tenants(alpha, beta)
		return c
	}
	st.Put("op/config", config(3, []string{"key-a", "key-k"}, []string{"key-b"}))

	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var acked time.Time
	holds := "alpha"
	wrong, ran := 0, 0
	db := newService(st, "orders", d.zones, 20, func(id, text, who string) {
		note("backend runs %s %q for %q", id, text, who)
		mu.Lock()
		defer mu.Unlock()
		ran++
		if !acked.IsZero() && sentAt[id].After(acked.Add(apply)) && who != holds {
			wrong++
			note("  %s was sent %.1f s after the store acknowledged that %s holds the key", id, sentAt[id].Sub(acked).Seconds(), holds)
		}
	})
	d.startCloud(db)
	list := d.startAll(2)
	c, err := dialClient(list[0].front, "ordersprimary", "key-k")
	check(err)
	ask := func(id, text string) answer {
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
		a, err := c.query(id, text, 5*time.Second)
		note("caller sends %s %q, gets %q %q, state %q, %v", id, text, a.complete, a.err, a.state, err)
		return a
	}
	for n := 0; ask(fmt.Sprintf("warm%d", n), "WRITE item warm").err != ""; n++ { // until the limits of the tenants are known
		if time.Since(record.start) > 40*time.Second {
			return verdictNone("the tenant is not served")
		}
		time.Sleep(500 * time.Millisecond)
	}
	ask("t0", "BEGIN")
	ask("t1", "WRITE item one")
	time.Sleep(500 * time.Millisecond)
	holder := "alpha"
	if trouble {
		holder = "beta"
		st.Put("op/config", config(8, []string{"key-a"}, []string{"key-b", "key-k"}))
		note("the store acknowledges version 8: key-k is taken from alpha and held by beta")
	} else {
		st.Put("op/config", config(8, []string{"key-a", "key-k"}, []string{"key-b", "key-c"}))
		note("the store acknowledges version 8: beta has one key more")
	}
	mu.Lock()
	holds, acked = holder, time.Now()
	mu.Unlock()
	for n := 2; n <= statements-2; n++ {
		time.Sleep(pause)
		a := ask(fmt.Sprintf("t%d", n), fmt.Sprintf("WRITE item n%d", n))
		if a.err != "" || a.state == "" {
			break
		}
	}
	ask("commit", "COMMIT")
	mu.Lock()
	defer mu.Unlock()
	if ran == 0 {
		return verdictNone("nothing ran")
	}
	return verdict(wrong > 0, "%d statements ran for the tenant that no longer holds the caller's key, %v and more after the acknowledgement", wrong, apply)
}
