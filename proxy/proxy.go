// Package proxy runs one instance: callers' sessions, connections to endpoints and the
// control of groups. The platform provides the protocols, the store and the clock as
// Dependencies.
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

// Settings configure an instance at its start.
type Settings struct {
	Instance   string
	DataCentre string
	// DataCentres are those in which there may be instances.
	DataCentres   []core.DataCentre
	CallerAddress netip.AddrPort
	// SessionAddress is where sessions relayed by other instances are accepted; they
	// are not accepted if it is invalid.
	SessionAddress netip.AddrPort
	// MetricsAddress is where metrics and the state dump are served; they are not
	// served if it is invalid.
	MetricsAddress netip.AddrPort
	// GracePeriod is the time between the signal to stop and the kill.
	GracePeriod time.Duration
	// LimitSlack is how many operations more than the limit of an organisation allows may
	// run in any few seconds.
	LimitSlack float64
	// MaxTextBytes limits the values and prepared statements of all sessions together; zero
	// sets no limit.
	MaxTextBytes int64
}

// placement is an immutable snapshot of which groups this instance and others serve.
type placement struct {
	// groups are those that this instance connects to.
	groups map[core.Group]*group
	// isHome holds the groups of which this instance is a home instance.
	isHome map[core.Group]bool
	// homes are the other home instances of each group, to which sessions of groups
	// that this instance does not connect to are relayed.
	homes map[core.Group][]Peer
	// monitored is the group that this instance, home of none, connects to and serves
	// only if no home instance does; empty if there is no such group.
	monitored core.Group
	// complete is true once the configuration, the instances and the endpoints have been
	// listed; it stays true.
	complete bool
}

// Proxy is one instance.
type Proxy struct {
	settings     Settings
	dependencies Dependencies
	log          *logrus.Entry
	metrics      metrics.Registry
	counts       counts
	// requestLogs limits the rate of log lines about requests; skippedLogs counts those
	// that were left out.
	requestLogs *rate.Limiter
	skippedLogs atomic.Int64
	config      atomic.Pointer[Config]
	placement   atomic.Pointer[placement]
	// minimumVersion is the configuration version that statements wait for, and
	// avoidedHomes are the home instances that recently did not accept a session.
	minimumVersion minimumVersion
	avoidedHomes   avoidedInstances
	homeResponses  homeResponses
	// endpointCount is the number of endpoints that this instance connects to.
	endpointCount atomic.Int64
	// textBytes is the size of the values and prepared statements of all sessions, and
	// idleValueBytes that of the values on idle connections.
	textBytes      atomic.Int64
	idleValueBytes atomic.Int64
	control        *control
	limits         *limits
	drainer        *drainer
	probes         probes
	// isolated is true while no group can be reached.
	isolated atomic.Bool
	// partitioned is true while nothing outside the data centre responds.
	partitioned atomic.Bool
	// callers is the number of callers whose connections are not closed yet, from the end of
	// their handshakes on.
	callers atomic.Int64

	mu       sync.Mutex
	sessions map[*session]struct{}
}

const (
	// requestLogsPerSecond bounds the log lines about requests of one instance.
	requestLogsPerSecond = 100
	// requestLogBurst is how many of them may be written at once.
	requestLogBurst = 300
	// serviceBackoff is the delay before a service that fails too often is restarted.
	serviceBackoff = time.Second
)

// New returns an instance that is not running yet.
func New(s Settings, d Dependencies, log *logrus.Entry) *Proxy {
	p := &Proxy{
		settings: s, dependencies: d, log: log, metrics: metrics.NewRegistry(),
		requestLogs: rate.NewLimiter(requestLogsPerSecond, requestLogBurst),
		sessions:    make(map[*session]struct{}),
	}
	p.counts = newCounts(p.metrics)
	d.Traffic.register(p.metrics)
	p.control = newControl(p)
	p.limits = newLimits(p)
	p.drainer = newDrainer(p)
	p.placement.Store(&placement{})
	return p
}

// AnswerProbe answers a readiness probe of the platform: whether the instance accepts new
// sessions.
func (p *Proxy) AnswerProbe() bool {
	ready := p.IsReady()
	p.probes.record(p.now(), ready)
	return ready
}

// IsReady reports whether the instance accepts new sessions.
func (p *Proxy) IsReady() bool {
	return p.placement.Load().complete && !p.drainer.isDraining() && !p.isolated.Load()
}

// Serve runs the instance until ctx ends or until the planned stop that closing stop
// begins is complete.
func (p *Proxy) Serve(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	root := suture.New("instance", suture.Spec{
		EventHook: func(e suture.Event) {
			p.event(core.EventService).Warn(e.String())
		},
		FailureBackoff: serviceBackoff,
	})
	root.Add(p.control)
	root.Add(service{name: "configuration", run: func(ctx context.Context) error {
		return p.dependencies.ConfigSource.Watch(ctx, func(c *Config) { p.control.post(ctx, func(time.Time) { p.control.applyConfig(c) }) })
	}})
	root.Add(service{name: "directory", run: func(ctx context.Context) error {
		return p.dependencies.Directory.Watch(ctx, func(l []Endpoint) { p.control.post(ctx, func(time.Time) { p.control.updateEndpoints(l) }) })
	}})
	root.Add(service{name: "voters", run: func(ctx context.Context) error {
		return p.dependencies.VoterStore.Watch(ctx, func(s map[core.Group]VersionedValue) {
			p.control.post(ctx, func(now time.Time) { p.control.updateVoters(now, s) })
		})
	}})
	root.Add(service{name: "members", run: func(ctx context.Context) error {
		return p.dependencies.Membership.Maintain(ctx, func(l []Peer) { p.control.post(ctx, func(time.Time) { p.control.updatePeers(l) }) })
	}})
	root.Add(service{name: "callers", run: func(ctx context.Context) error {
		return p.listen(ctx, p.settings.CallerAddress, p.dependencies.Callers.Start)
	}})
	root.Add(service{name: "limits", run: p.limits.run})
	if p.settings.SessionAddress.IsValid() {
		root.Add(service{name: "sessions", run: func(ctx context.Context) error {
			return p.listen(ctx, p.settings.SessionAddress, p.startRelayed)
		}})
	}
	if p.settings.MetricsAddress.IsValid() {
		root.Add(service{name: "metrics", run: p.serveMetrics})
	}
	root.Add(service{name: "traffic", run: p.reportTraffic})
	go p.drainer.run(ctx, stop, cancel)
	p.event(core.EventStarted).WithField("callers", p.settings.CallerAddress).Info("started")
	err := root.Serve(ctx)
	p.event(core.EventStopped).Info("stopped")
	if err != nil && ctx.Err() == nil {
		return fmt.Errorf("proxy: could not run the instance: %w", err)
	}
	return nil
}

// service is a named part of the supervisor tree.
type service struct {
	name string
	run  func(ctx context.Context) error
}

// String returns the name of the service for logs.
func (s service) String() string { return s.name }

// Serve runs the service.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// listen accepts connections at an address and serves each as a session.
func (p *Proxy) listen(ctx context.Context, address netip.AddrPort, start func(net.Conn) (*Caller, error)) error {
	var config net.ListenConfig
	socket, err := config.Listen(ctx, "tcp", address.String())
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

// repeat calls do after each interval until ctx ends.
func repeat(ctx context.Context, interval time.Duration, do func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			do()
		}
	}
}

// serveMetrics serves metrics and the state dump.
func (p *Proxy) serveMetrics(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", p.writeMetrics)
	mux.HandleFunc("GET /dump", p.writeDump)
	const headerTimeout = 5 * time.Second
	server := http.Server{Addr: p.settings.MetricsAddress.String(), Handler: mux, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.ListenAndServe()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return fmt.Errorf("proxy: metrics server stopped: %w", err)
}

// event returns a log entry for a numbered event.
func (p *Proxy) event(e core.Event) *logrus.Entry {
	return p.log.WithField("event", int(e))
}

// withError adds an error to a log entry if there is one.
func withError(entry *logrus.Entry, err error) *logrus.Entry {
	if err == nil {
		return entry
	}
	return entry.WithError(err)
}

// now reads the clock that also advances while the process is suspended.
func (p *Proxy) now() time.Time { return p.dependencies.Now() }
