// Package endpoint is a stand-in for a member of a database group. It speaks
// the PostgreSQL protocol, keeps keyed rows in memory and replicates its log to
// its peers asynchronously.
package endpoint

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"anviltack/core"
	"anviltack/standin/control"
)

// Defaults of an endpoint, which options override, and its first term.
const (
	defaultSlots          = 3
	defaultMaxConnections = 20
	defaultServiceTime    = 500 * time.Microsecond
	firstTerm             = 1
)

// Endpoint is one member of a database group.
type Endpoint struct {
	dataCentre     core.DataCentre
	listen         netip.AddrPort
	control        netip.AddrPort
	peers          []netip.AddrPort
	slots          chan struct{}
	maxConnections int
	connectDelay   time.Duration
	serviceTime    time.Duration
	networkDelay   time.Duration

	suspended gate

	mu sync.Mutex
	// changed is closed and replaced whenever the state below changes.
	changed chan struct{}
	// locksReleased is closed and replaced whenever row locks are released.
	locksReleased chan struct{}
	role          core.Role
	fence         uint64
	term          uint64
	// primaryTerm is the highest term known to have a primary. The endpoint is
	// promoted only to higher terms.
	primaryTerm uint64
	received    uint64
	applied     uint64
	// entries holds the log; the entry at index i has position i+1.
	entries  []Entry
	tables   tables
	locks    map[rowKey]*session
	sessions map[uint32]*session
	nextID   uint32
	faults   faults
	stats    Stats
}

// Option configures an endpoint.
type Option func(*Endpoint)

// WithPeers sets the control addresses of the other members.
func WithPeers(peers ...netip.AddrPort) Option {
	return func(e *Endpoint) { e.peers = peers }
}

// WithPrimary starts the endpoint as the primary of the first term.
func WithPrimary() Option {
	return func(e *Endpoint) { e.role = core.RolePrimary }
}

// WithSlots sets how many statements run at once.
func WithSlots(n int) Option {
	return func(e *Endpoint) { e.slots = make(chan struct{}, n) }
}

// WithMaxConnections sets how many connections are accepted in total.
func WithMaxConnections(n int) Option {
	return func(e *Endpoint) { e.maxConnections = n }
}

// WithConnectDelay sets how long it takes to accept a connection.
func WithConnectDelay(d time.Duration) Option {
	return func(e *Endpoint) { e.connectDelay = d }
}

// WithServiceTime sets how long a statement occupies its slot in addition to
// its own work.
func WithServiceTime(d time.Duration) Option {
	return func(e *Endpoint) { e.serviceTime = d }
}

// WithDataCentre sets the data centre of the endpoint. Connections of instances
// whose user name states another data centre have the network delay.
func WithDataCentre(d core.DataCentre) Option {
	return func(e *Endpoint) { e.dataCentre = d }
}

// WithNetworkDelay sets the one-way delay to other data centres; all peers are
// in other data centres.
func WithNetworkDelay(d time.Duration) Option {
	return func(e *Endpoint) { e.networkDelay = d }
}

// WithLag sets the time from received to applied on a replica.
func WithLag(d time.Duration) Option {
	return func(e *Endpoint) { e.faults.lag = d }
}

// New returns an endpoint that serves statements at listen, and replication and
// faults at control.
func New(listen, control netip.AddrPort, options ...Option) *Endpoint {
	e := &Endpoint{
		listen:         listen,
		control:        control,
		slots:          make(chan struct{}, defaultSlots),
		maxConnections: defaultMaxConnections,
		serviceTime:    defaultServiceTime,
		changed:        make(chan struct{}),
		locksReleased:  make(chan struct{}),
		role:           core.RoleReplica,
		tables:         newTables(),
		locks:          make(map[rowKey]*session),
		sessions:       make(map[uint32]*session),
	}
	for _, o := range options {
		o(e)
	}
	if e.role == core.RolePrimary {
		e.fence = firstTerm
		e.becomePrimary(firstTerm)
	}
	return e
}

// Run listens and serves until the context ends.
func (e *Endpoint) Run(ctx context.Context) error {
	statements, controls, err := control.Listen(e.listen, e.control)
	if err != nil {
		return fmt.Errorf("endpoint: %w", err)
	}
	return e.Serve(ctx, statements, controls)
}

// Serve serves on open listeners until the context ends and closes both.
func (e *Endpoint) Serve(ctx context.Context, statements, control net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{Handler: e.controlHandler(), BaseContext: func(net.Listener) context.Context { return ctx }}
	var running sync.WaitGroup
	running.Go(func() { e.runApply(ctx) })
	for _, p := range e.peers {
		running.Go(func() { e.replicate(ctx, p) })
	}
	failed := make(chan error, 2)
	running.Go(func() { failed <- e.accept(ctx, &running, statements) })
	running.Go(func() { failed <- server.Serve(control) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	cancel()
	_ = statements.Close()
	_ = server.Close()
	e.dropSessions()
	e.suspended.set(false)
	running.Wait()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("endpoint: %w", err)
	}
	return nil
}

func (e *Endpoint) accept(ctx context.Context, running *sync.WaitGroup, l net.Listener) error {
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		e.mu.Lock()
		refused := e.faults.refuseConnections
		e.mu.Unlock()
		if refused {
			_ = conn.Close()
			continue
		}
		running.Go(func() { newSession(e, conn).run(ctx) })
	}
}

// notifyChanged wakes all goroutines that wait for a change; e.mu is held.
func (e *Endpoint) notifyChanged() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// dropSessions closes every connection.
func (e *Endpoint) dropSessions() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sessions {
		s.close()
	}
}
