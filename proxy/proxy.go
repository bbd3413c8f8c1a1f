// Package proxy runs one instance in statements of its own: sessions, endpoints'
// connections and the control of groups. The protocols, the store and the clock
// are seams that a platform fills.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
	"golang.org/x/time/rate"

	"anviltack/core"
)

// Settings are what one instance is told at its start.
type Settings struct {
	Instance   string
	DataCentre string
	Callers    netip.AddrPort
	// Sessions is the address for sessions that other instances hand on; none
	// without one.
	Sessions netip.AddrPort
	// Metrics is the address of metrics and of the state dump; none without one.
	Metrics netip.AddrPort
	// Grace is the time from a signal to stop to the kill.
	Grace time.Duration
}

// Proxy is one instance.
type Proxy struct {
	settings Settings
	seams    Seams
	log      *logrus.Entry
	metrics  metrics.Registry
	counts   counts
	// lines bounds the lines about requests.
	lines   *rate.Limiter
	skipped atomic.Int64
	config  atomic.Pointer[Config]
	groups  atomic.Pointer[map[core.Group]*group]
	// homes tells where the sessions of groups are served that this instance does
	// not connect to.
	homes atomic.Pointer[map[core.Group][]Peer]
	// floor is the configuration's version that statements wait for, and avoid the
	// homes that took no session lately.
	floor floor
	avoid avoidedInstances
	// endpoints counts those that this instance connects to.
	endpoints atomic.Int64
	control   *control
	drainer   *drainer
	// isolated tells that no group can be reached.
	isolated atomic.Bool
	// arranged tells that configuration, instances and endpoints are known.
	arranged atomic.Bool

	mu       sync.Mutex
	sessions map[*session]struct{}
}

const (
	// linesPerSecond bounds the log lines about requests of one instance.
	linesPerSecond = 100
	// linesBurst is how many of them may come at once.
	linesBurst = 300
	// restartPause is how long a service that fails too often rests.
	restartPause = time.Second
)

// New returns an instance that does not run yet.
func New(s Settings, seams Seams, log *logrus.Entry) *Proxy {
	p := &Proxy{
		settings: s, seams: seams, log: log, metrics: metrics.NewRegistry(),
		lines:    rate.NewLimiter(linesPerSecond, linesBurst),
		sessions: make(map[*session]struct{}),
	}
	p.counts = newCounts(p.metrics)
	p.control = newControl(p)
	p.drainer = newDrainer(p)
	p.groups.Store(&map[core.Group]*group{})
	p.homes.Store(&map[core.Group][]Peer{})
	return p
}

// IsReady reports whether the instance takes new sessions.
func (p *Proxy) IsReady() bool {
	return p.arranged.Load() && !p.drainer.isDraining() && !p.isolated.Load()
}

// Serve runs the instance until ctx ends or a planned stop, which begins when
// stop is closed, is done.
func (p *Proxy) Serve(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	root := suture.New("instance", suture.Spec{
		EventHook: func(e suture.Event) {
			p.event(core.EventService).Warn(e.String())
		},
		FailureBackoff: restartPause,
	})
	root.Add(p.control)
	root.Add(service{name: "configuration", run: func(ctx context.Context) error {
		return p.seams.Source.Watch(ctx, func(c *Config) { p.control.post(ctx, func(time.Time) { p.control.adopt(c) }) })
	}})
	root.Add(service{name: "directory", run: func(ctx context.Context) error {
		return p.seams.Directory.Watch(ctx, func(l []Endpoint) { p.control.post(ctx, func(time.Time) { p.control.list(l) }) })
	}})
	root.Add(service{name: "members", run: func(ctx context.Context) error {
		return p.seams.Members.Keep(ctx, func(l []Peer) { p.control.post(ctx, func(time.Time) { p.control.share(l) }) })
	}})
	root.Add(service{name: "callers", run: func(ctx context.Context) error {
		return p.listen(ctx, p.settings.Callers, p.seams.Callers.Start)
	}})
	if p.settings.Sessions.IsValid() {
		root.Add(service{name: "sessions", run: func(ctx context.Context) error {
			return p.listen(ctx, p.settings.Sessions, p.startRelayed)
		}})
	}
	if p.settings.Metrics.IsValid() {
		root.Add(service{name: "metrics", run: p.serveMetrics})
	}
	go p.drainer.run(ctx, stop, cancel)
	p.event(core.EventStarted).WithField("callers", p.settings.Callers).Info("started")
	err := root.Serve(ctx)
	p.event(core.EventStopped).Info("stopped")
	if err != nil && ctx.Err() == nil {
		return fmt.Errorf("proxy: could not go on: %w", err)
	}
	return nil
}

// service is a named part of the supervisor tree.
type service struct {
	name string
	run  func(ctx context.Context) error
}

// String names the service in logs.
func (s service) String() string { return s.name }

// Serve runs the service.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// listen accepts callers at an address.
func (p *Proxy) listen(ctx context.Context, at netip.AddrPort, start func(net.Conn) (*Caller, error)) error {
	var config net.ListenConfig
	socket, err := config.Listen(ctx, "tcp", at.String())
	if err != nil {
		return fmt.Errorf("proxy: could not listen for callers: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	for {
		conn, err := socket.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		var temporary net.Error
		if errors.As(err, &temporary) && temporary.Timeout() {
			continue
		}
		if err != nil {
			return fmt.Errorf("proxy: could not accept a caller: %w", err)
		}
		go p.serve(conn, start)
	}
}

// serveMetrics answers for metrics and the state dump.
func (p *Proxy) serveMetrics(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", p.writeMetrics)
	mux.HandleFunc("GET /dump", p.writeDump)
	const headerLimit = 5 * time.Second
	server := http.Server{Addr: p.settings.Metrics.String(), Handler: mux, ReadHeaderTimeout: headerLimit}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.ListenAndServe()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return fmt.Errorf("proxy: metrics server ended: %w", err)
}

// event starts a log line for a numbered event.
func (p *Proxy) event(e core.Event) *logrus.Entry {
	return p.log.WithField("event", int(e))
}

// now reads the clock that counts suspension.
func (p *Proxy) now() time.Time { return p.seams.Now() }
