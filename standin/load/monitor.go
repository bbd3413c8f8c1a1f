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
	fetchTimeout = 2 * time.Second
	// primaryTimeout bounds the wait for a database to have a primary at the
	// end.
	primaryTimeout      = 15 * time.Second
	primaryPollInterval = 100 * time.Millisecond
)

// monitor reads the state of the endpoints through their control addresses.
type monitor struct {
	databases []Database
	client    *http.Client

	mu sync.Mutex
	// stats holds the last counters read from each endpoint, including
	// endpoints that have ended.
	stats map[netip.AddrPort]endpoint.Stats
}

func newMonitor(databases []Database) *monitor {
	return &monitor{
		databases: databases,
		client:    &http.Client{Timeout: fetchTimeout},
		stats:     make(map[netip.AddrPort]endpoint.Stats),
	}
}

// poll reads the counters periodically until the context ends.
func (m *monitor) poll(ctx context.Context) {
	for {
		m.readStats()
		if !sleep(ctx, statsInterval) {
			m.readStats()
			return
		}
	}
}

func (m *monitor) readStats() {
	for _, d := range m.databases {
		for _, a := range d.ControlAddresses {
			var s endpoint.Stats
			if m.fetch(context.Background(), a, "/stats", &s) != nil {
				continue
			}
			m.mu.Lock()
			m.stats[a] = s
			m.mu.Unlock()
		}
	}
}

func (m *monitor) fetch(ctx context.Context, a netip.AddrPort, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+path, nil)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	response, err := m.client.Do(request)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return fmt.Errorf("load: %s%s: %w", a, path, err)
	}
	return nil
}

// finalState returns the log and the rows of a database's primary, or of the
// endpoint with the newest log if there is no primary.
func (m *monitor) finalState(ctx context.Context, d Database) (entries []endpoint.Entry, rows endpoint.Rows, hasPrimary bool, err error) {
	a, hasPrimary := m.waitForPrimary(ctx, d)
	if !hasPrimary {
		a = m.newestEndpoint(ctx, d)
	}
	if err = m.fetch(ctx, a, "/log", &entries); err != nil {
		return nil, endpoint.Rows{}, hasPrimary, err
	}
	err = m.fetch(ctx, a, "/rows", &rows)
	return entries, rows, hasPrimary, err
}

// waitForPrimary waits for a primary of the highest term that a majority
// follows.
func (m *monitor) waitForPrimary(ctx context.Context, d Database) (netip.AddrPort, bool) {
	ctx, cancel := context.WithTimeout(ctx, primaryTimeout)
	defer cancel()
	for {
		if a, ok := m.findPrimary(ctx, d); ok {
			return a, true
		}
		if !sleep(ctx, primaryPollInterval) {
			return netip.AddrPort{}, false
		}
	}
}

// newestEndpoint returns the endpoint whose log has the highest last point.
func (m *monitor) newestEndpoint(ctx context.Context, d Database) netip.AddrPort {
	var best core.Point
	var address netip.AddrPort
	for _, a := range d.ControlAddresses {
		var s endpoint.Stats
		if m.fetch(ctx, a, "/stats", &s) == nil && best.Less(s.Status.Last) {
			best, address = s.Status.Last, a
		}
	}
	return address
}

func (m *monitor) findPrimary(ctx context.Context, d Database) (netip.AddrPort, bool) {
	var best core.Status
	var address netip.AddrPort
	membersByTerm := make(map[uint64]int)
	for _, a := range d.ControlAddresses {
		var s endpoint.Stats
		if m.fetch(ctx, a, "/stats", &s) != nil {
			continue
		}
		membersByTerm[s.Status.Term]++
		if s.Status.Role == core.RolePrimary && s.Status.Fence == s.Status.Term && s.Status.Term > best.Term {
			best, address = s.Status, a
		}
	}
	return address, best.Term > 0 && membersByTerm[best.Term] > len(d.ControlAddresses)/2
}
