package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"anviltack/core"
	"anviltack/standin/endpoint"
)

const (
	fetchLimit = 2 * time.Second
	// settleLimit bounds the wait for every group to have a primary at the end.
	settleLimit = 15 * time.Second
	settlePause = 100 * time.Millisecond
)

// fleet looks at the endpoints from the outside.
type fleet struct {
	databases []Database
	client    *http.Client

	mu sync.Mutex
	// stats holds the newest counters of each endpoint, also of one that ended.
	stats map[netip.AddrPort]endpoint.Stats
}

func newFleet(databases []Database) *fleet {
	return &fleet{
		databases: databases,
		client:    &http.Client{Timeout: fetchLimit},
		stats:     make(map[netip.AddrPort]endpoint.Stats),
	}
}

// watch reads the counters until the context ends.
func (f *fleet) watch(ctx context.Context) {
	for {
		f.sample()
		if !pause(ctx, statsPeriod) {
			f.sample()
			return
		}
	}
}

func (f *fleet) sample() {
	for _, d := range f.databases {
		for _, a := range d.Controls {
			var s endpoint.Stats
			if f.fetch(context.Background(), a, "/stats", &s) != nil {
				continue
			}
			f.mu.Lock()
			f.stats[a] = s
			f.mu.Unlock()
		}
	}
}

func (f *fleet) fetch(ctx context.Context, a netip.AddrPort, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+path, nil)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return fmt.Errorf("load: %s%s: %w", a, path, err)
	}
	return nil
}

// final returns the log and the rows of a database's primary, or of the endpoint
// with the newest log when there is none.
func (f *fleet) final(ctx context.Context, d Database) (entries []endpoint.Entry, rows endpoint.Rows, led bool, err error) {
	a, led := f.primary(ctx, d)
	if !led {
		a = f.newest(ctx, d)
	}
	if err = f.fetch(ctx, a, "/log", &entries); err != nil {
		return nil, endpoint.Rows{}, led, err
	}
	err = f.fetch(ctx, a, "/rows", &rows)
	return entries, rows, led, err
}

// primary waits for a primary of the highest term that a majority follows.
func (f *fleet) primary(ctx context.Context, d Database) (netip.AddrPort, bool) {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	for {
		if a, ok := f.findPrimary(ctx, d); ok {
			return a, true
		}
		if !pause(ctx, settlePause) {
			return netip.AddrPort{}, false
		}
	}
}

// newest returns the endpoint whose log ends last.
func (f *fleet) newest(ctx context.Context, d Database) netip.AddrPort {
	var best core.Point
	var address netip.AddrPort
	for _, a := range d.Controls {
		var s endpoint.Stats
		if f.fetch(ctx, a, "/stats", &s) == nil && best.Less(s.Status.Last) {
			best, address = s.Status.Last, a
		}
	}
	return address
}

func (f *fleet) findPrimary(ctx context.Context, d Database) (netip.AddrPort, bool) {
	var best core.Status
	var address netip.AddrPort
	following := make(map[uint64]int)
	for _, a := range d.Controls {
		var s endpoint.Stats
		if f.fetch(ctx, a, "/stats", &s) != nil {
			continue
		}
		following[s.Status.Term]++
		if s.Status.Role == core.RolePrimary && s.Status.Fence == s.Status.Term && s.Status.Term > best.Term {
			best, address = s.Status, a
		}
	}
	return address, best.Term > 0 && following[best.Term] > len(d.Controls)/2
}
