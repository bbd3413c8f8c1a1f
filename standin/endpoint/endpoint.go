// Package endpoint stands in for a member of a database group: it speaks the
// PostgreSQL protocol, keeps keyed rows in memory and replicates its log to its
// peers asynchronously.
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

// Defaults of an endpoint; a caller changes them with options.
const (
	defaultSlots       = 3
	defaultConnections = 20
	defaultWork        = 500 * time.Microsecond
	firstTerm          = 1
)

// Endpoint is one member of a database group.
type Endpoint struct {
	dataCentre  core.DataCentre
	listen      netip.AddrPort
	control     netip.AddrPort
	peers       []netip.AddrPort
	slots       chan struct{}
	connections int
	connect     time.Duration
	work        time.Duration
	delay       time.Duration

	frozen gate

	mu sync.Mutex
	// changed is closed and replaced whenever the state below changes.
	changed chan struct{}
	// unlocked is closed and replaced whenever row locks are released.
	unlocked chan struct{}
	role     core.Role
	fence    uint64
	term     uint64
	// pushed is the highest term known to have a primary; the endpoint is
	// never promoted to it.
	pushed   uint64
	received uint64
	applied  uint64
	// entries holds the log; the entry at index i has position i+1.
	entries  []Entry
	tables   tables
	locks    map[row]*session
	sessions map[uint32]*session
	nextID   uint32
	faults   faults
	stats    Stats
}

// Option changes an endpoint under construction.
type Option func(*Endpoint)

// WithPeers names the control addresses of the other members.
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

// WithConnections sets how many connections are accepted in all.
func WithConnections(n int) Option {
	return func(e *Endpoint) { e.connections = n }
}

// WithConnect sets how long accepting a connection takes.
func WithConnect(d time.Duration) Option {
	return func(e *Endpoint) { e.connect = d }
}

// WithWork sets how long a statement holds its slot on top of what it does.
func WithWork(d time.Duration) Option {
	return func(e *Endpoint) { e.work = d }
}

// WithDataCentre names the data centre of the endpoint; connections of instances
// that tell another one by their user name are as long as the delay.
func WithDataCentre(d core.DataCentre) Option {
	return func(e *Endpoint) { e.dataCentre = d }
}

// WithDelay sets the one-way time to other data centres, where all peers are.
func WithDelay(d time.Duration) Option {
	return func(e *Endpoint) { e.delay = d }
}

// WithLag sets the time from received to applied on a replica.
func WithLag(d time.Duration) Option {
	return func(e *Endpoint) { e.faults.lag = d }
}

// New returns an endpoint that listens at listen for statements and at control
// for replication and faults.
func New(listen, control netip.AddrPort, options ...Option) *Endpoint {
	e := &Endpoint{
		listen:      listen,
		control:     control,
		slots:       make(chan struct{}, defaultSlots),
		connections: defaultConnections,
		work:        defaultWork,
		changed:     make(chan struct{}),
		unlocked:    make(chan struct{}),
		role:        core.RoleReplica,
		tables:      newTables(),
		locks:       make(map[row]*session),
		sessions:    make(map[uint32]*session),
	}
	for _, o := range options {
		o(e)
	}
	if e.role == core.RolePrimary {
		e.fence = firstTerm
		e.lead(firstTerm)
	}
	return e
}

// Run serves until the context ends.
func (e *Endpoint) Run(ctx context.Context) error {
	statements, controls, err := control.Listen(e.listen, e.control)
	if err != nil {
		return fmt.Errorf("endpoint: %w", err)
	}
	return e.Serve(ctx, statements, controls)
}

// Serve serves on open listeners until the context ends; it closes both.
func (e *Endpoint) Serve(ctx context.Context, statements, control net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{Handler: e.controlHandler(), BaseContext: func(net.Listener) context.Context { return ctx }}
	var running sync.WaitGroup
	running.Go(func() { e.apply(ctx) })
	for _, p := range e.peers {
		running.Go(func() { e.push(ctx, p) })
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
	e.frozen.set(false)
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
		refused := e.faults.refuse
		e.mu.Unlock()
		if refused {
			_ = conn.Close()
			continue
		}
		running.Go(func() { newSession(e, conn).run(ctx) })
	}
}

// broadcast wakes everyone who waits for a change; e.mu is held.
func (e *Endpoint) broadcast() {
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
