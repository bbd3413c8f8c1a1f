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
	counters counters
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
	// lendingClient sends requests for slots, which may wait at the slots' owner.
	lendingClient *peer.Client
	membership    atomic.Pointer[membershipView]
	drainer       drainer
	// listingMutex is held while this instance's entry on the platform's list
	// changes.
	listingMutex sync.Mutex
	startedAt    time.Time
	broadcasts   chan broadcast
	pullSources  chan netip.AddrPort
}

// Watch blocks until there is a configuration with a higher version than after,
// and returns it with its version.
type Watch func(ctx context.Context, after uint64) (uint64, *patch.Config, error)

// Option configures an instance.
type Option func(*Instance)

// WithLog makes the instance log to l.
func WithLog(l *logrus.Logger) Option {
	return func(in *Instance) { in.log = l }
}

// WithWatch makes the instance read its configuration from w.
func WithWatch(w Watch) Option {
	return func(in *Instance) { in.watch = w }
}

// WithPlatform makes the instance read its configuration from the platform and
// its peers, and register on the platform's list.
func WithPlatform(p consul.Store, l consul.List) Option {
	return func(in *Instance) { in.platform, in.list = p, l }
}

// New returns an instance that is not running yet.
func New(s settings.Settings, options ...Option) *Instance {
	in := &Instance{
		settings:      s,
		log:           logrus.New(),
		metrics:       metrics.NewRegistry(),
		sessions:      newSessions(),
		retries:       newRetryBudget(),
		configured:    make(chan struct{}),
		peers:         peer.NewClient(peerToken(s)),
		lendingClient: peer.NewClient(peerToken(s), peer.WithTimeout(lendingTimeout)),
		startedAt:     time.Now(),
		broadcasts:    make(chan broadcast, broadcastQueueSize),
		pullSources:   make(chan netip.AddrPort, pullQueueSize),
	}
	in.drainer = drainer{instance: in, begun: make(chan struct{})}
	in.counters = newCounters(in.metrics)
	for _, o := range options {
		o(in)
	}
	in.view.Store(&View{Config: &patch.Config{}, Groups: map[core.Group]*Group{}})
	return in
}

// View returns the newest view of the control state.
func (in *Instance) View() *View { return in.view.Load() }

// Serve runs the instance until the context ends or a planned stop completes.
func (in *Instance) Serve(ctx context.Context) error {
	root := in.supervisor("instance")
	samplers := in.supervisor("samplers")
	root.Add(samplers)
	in.control = newControl(in, samplers)
	root.Add(in.control)
	root.Add(&listener{instance: in})
	in.addServices(root)
	root.Add(&poolMaintainer{instance: in})
	root.Add(&in.drainer)
	in.event(core.EventStarted).WithField("callers", in.settings.Callers).Info("started")
	err := root.Serve(ctx)
	in.event(core.EventStopped).Info("stopped")
	if err != nil && ctx.Err() == nil && !in.isDraining() {
		return fmt.Errorf("instance: could not keep the services running: %w", err)
	}
	return nil
}

// login returns the credentials for connections to endpoints.
func (in *Instance) login() endpoint.Login {
	return endpoint.Login{User: in.settings.User, Password: in.settings.Password, Database: in.settings.Database}
}

// addServices adds the services for configuration, membership and operators.
func (in *Instance) addServices(root *suture.Supervisor) {
	if in.watch != nil {
		root.Add(&sourceWatcher{instance: in})
	}
	if in.platform.Watch != nil {
		root.Add(&configWatcher{instance: in})
		root.Add(&listWatcher{instance: in})
		root.Add(&endpointListWatcher{instance: in})
	}
	root.Add(&membershipPublisher{instance: in})
	root.Add(&heartbeatSender{instance: in})
	root.Add(&configPuller{instance: in})
	root.Add(&broadcaster{instance: in})
	root.Add(&httpServer{name: "peers", address: in.settings.Peers, handler: peer.NewHandler(peerToken(in.settings), in.peerHandlers())})
	root.Add(&httpServer{name: "operators", address: in.settings.Operators, handler: in.operatorServer().Handler()})
}

// event returns a log entry for a numbered event.
func (in *Instance) event(e core.Event) *logrus.Entry {
	return in.log.WithFields(logrus.Fields{"event": int(e), "instance": in.settings.Instance})
}

// restartBackoff is the delay before a service that fails too often is
// restarted.
const restartBackoff = time.Second

func (in *Instance) supervisor(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		EventHook: func(e suture.Event) {
			in.event(core.EventService).WithField("service", name).Warn(e.String())
		},
		FailureBackoff: restartBackoff,
	})
}
