// Package platform is a stand-in for the platform: a key-value store with
// compare-and-swap, leases and watches, and a list of live instances. It
// implements the part of Consul's published HTTP API that instances use.
package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"anviltack/standin/control"
)

// Platform holds all its state in memory.
type Platform struct {
	listen  netip.AddrPort
	control netip.AddrPort

	mu sync.Mutex
	// index counts changes; it starts at 1 as in Consul.
	index uint64
	// changed is closed and replaced with each change.
	changed  chan struct{}
	pairs    map[string]*pair
	leases   map[string]*lease
	services []registration
	// visibleServices is the instance list in answers; it lags behind services
	// by the ListLag of the fault.
	visibleServices []registration
	visibleIndex    uint64
	fault           Fault
	stats           Stats
}

// pair is the stored value of a key.
type pair struct {
	value       []byte
	createIndex uint64
	modifyIndex uint64
	// session is the lease that holds the key, or "" if none does.
	session string
}

// lease is a session with a TTL; the keys it holds are released when it
// expires.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns a platform that serves its API at listen and faults at control.
func New(listen, control netip.AddrPort) *Platform {
	return &Platform{
		listen:       listen,
		control:      control,
		index:        1,
		visibleIndex: 1,
		changed:      make(chan struct{}),
		pairs:        make(map[string]*pair),
		leases:       make(map[string]*lease),
		stats:        Stats{Calls: make(map[string]int)},
	}
}

// Run listens and serves until the context ends.
func (p *Platform) Run(ctx context.Context) error {
	api, controls, err := control.Listen(p.listen, p.control)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	return p.Serve(ctx, api, controls)
}

// Serve serves on open listeners until the context ends and closes both.
func (p *Platform) Serve(ctx context.Context, api, control net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	base := func(net.Listener) context.Context { return ctx }
	servers := []*http.Server{
		{Handler: p.Handler(), BaseContext: base},
		{Handler: p.controlHandler(), BaseContext: base},
	}
	failed := make(chan error, len(servers))
	var running sync.WaitGroup
	for i, l := range []net.Listener{api, control} {
		running.Go(func() { failed <- servers[i].Serve(l) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	cancel()
	for _, s := range servers {
		_ = s.Close()
	}
	running.Wait()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("platform: %w", err)
	}
	return nil
}

// advanceIndex counts a change and wakes the watches; p.mu is held.
func (p *Platform) advanceIndex() uint64 {
	p.index++
	close(p.changed)
	p.changed = make(chan struct{})
	return p.index
}

// expireLeases ends the leases whose TTL is over; p.mu is held.
func (p *Platform) expireLeases(now time.Time) {
	for id, l := range p.leases {
		if now.After(l.expires) {
			p.destroyLease(id)
		}
	}
}

// destroyLease ends a lease and releases its keys; p.mu is held.
func (p *Platform) destroyLease(id string) {
	delete(p.leases, id)
	for _, k := range p.pairs {
		if k.session == id {
			k.session = ""
			k.modifyIndex = p.advanceIndex()
		}
	}
}
