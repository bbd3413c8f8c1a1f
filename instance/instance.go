// Package instance runs one entry instance: a supervisor tree with one goroutine
// for control state and others for traffic.
package instance

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"anviltack/core"
	"anviltack/core/patch"
	"anviltack/io/consul"
	"anviltack/io/endpoint"
	"anviltack/io/peer"
	"anviltack/settings"
)

// Instance is one entry instance.
type Instance struct {
	settings settings.Settings
	log      *logrus.Logger
	metrics  metrics.Registry
	counts   counts
	view     atomic.Pointer[View]
	// configured is closed once a configuration is in force.
	configured chan struct{}
	control    *control
	sessions   *sessions
	retries    *retryBudget
	watch      Watch
	platform   consul.Store
	list       consul.List
	peers      *peer.Client
	// lenders carries asks for slots, which may wait at their owner.
	lenders *peer.Client
	fleet   atomic.Pointer[fleetView]
	drainer drainer
	// listed is held while this instance's entry on the platform's list changes.
	listed  sync.Mutex
	started time.Time
	spreads chan spread
	pulls   chan netip.AddrPort
}

// Watch returns the configuration that follows a version, once there is one.
type Watch func(ctx context.Context, after uint64) (uint64, *patch.Config, error)

// Option changes an instance at construction.
type Option func(*Instance)

// WithLog makes the instance log to l.
func WithLog(l *logrus.Logger) Option {
	return func(in *Instance) { in.log = l }
}

// WithWatch makes the instance take its configuration from w.
func WithWatch(w Watch) Option {
	return func(in *Instance) { in.watch = w }
}

// WithPlatform makes the instance take its configuration from the platform and
// its peers, and stand on the platform's list.
func WithPlatform(p consul.Store, l consul.List) Option {
	return func(in *Instance) { in.platform, in.list = p, l }
}

// New returns an instance that does not run yet.
func New(s settings.Settings, options ...Option) *Instance {
	in := &Instance{
		settings:   s,
		log:        logrus.New(),
		metrics:    metrics.NewRegistry(),
		sessions:   newSessions(),
		retries:    newRetryBudget(),
		configured: make(chan struct{}),
		peers:      peer.NewClient(peerToken(s)),
		lenders:    peer.NewClient(peerToken(s), peer.WithTimeout(lendingTimeout)),
		started:    time.Now(),
		spreads:    make(chan spread, spreadQueue),
		pulls:      make(chan netip.AddrPort, pullQueue),
	}
	in.drainer = drainer{instance: in, begin: make(chan struct{})}
	in.counts = newCounts(in.metrics)
	for _, o := range options {
		o(in)
	}
	in.view.Store(&View{Config: &patch.Config{}, Groups: map[core.Group]*Group{}})
	return in
}

// View returns the newest view of the control state.
func (in *Instance) View() *View { return in.view.Load() }

// Serve runs the instance until the context ends or a planned stop is done.
func (in *Instance) Serve(ctx context.Context) error {
	root := in.supervisor("instance")
	samplers := in.supervisor("samplers")
	root.Add(samplers)
	in.control = newControl(in, samplers)
	root.Add(in.control)
	root.Add(&listener{instance: in})
	in.addFleet(root)
	root.Add(&poolMaintainer{instance: in})
	root.Add(&in.drainer)
	in.event(core.EventStarted).WithField("callers", in.settings.Callers).Info("started")
	err := root.Serve(ctx)
	in.event(core.EventStopped).Info("stopped")
	if err != nil && ctx.Err() == nil && !in.isDraining() {
		return fmt.Errorf("instance: could not go on: %w", err)
	}
	return nil
}

// login returns how the instance logs in at endpoints.
func (in *Instance) login() endpoint.Login {
	return endpoint.Login{User: in.settings.User, Password: in.settings.Password, Database: in.settings.Database}
}

// addFleet adds the services of configuration, membership and operators.
func (in *Instance) addFleet(root *suture.Supervisor) {
	if in.watch != nil {
		root.Add(&watcher{instance: in})
	}
	if in.platform.Watch != nil {
		root.Add(&configWatcher{instance: in})
		root.Add(&lister{instance: in})
		root.Add(&endpointLister{instance: in})
	}
	root.Add(&ticker{instance: in})
	root.Add(&beater{instance: in})
	root.Add(&puller{instance: in})
	root.Add(&spreader{instance: in})
	root.Add(&httpServer{name: "peers", address: in.settings.Peers, handler: peer.NewHandler(peerToken(in.settings), in.peerHandlers())})
	root.Add(&httpServer{name: "operators", address: in.settings.Operators, handler: in.operatorServer().Handler()})
}

// event starts a log line for a numbered event.
func (in *Instance) event(e core.Event) *logrus.Entry {
	return in.log.WithFields(logrus.Fields{"event": int(e), "instance": in.settings.Instance})
}

// restartPause is how long a service that fails too often rests.
const restartPause = time.Second

func (in *Instance) supervisor(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		EventHook: func(e suture.Event) {
			in.event(core.EventService).WithField("service", name).Warn(e.String())
		},
		FailureBackoff: restartPause,
	})
}
