// Package load simulates the callers: writers, readers, and a checker that
// compares every answer with what the endpoints hold.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"anviltack/core"
)

// Defaults of a load; options replace them.
const (
	defaultDuration    = 20 * time.Second
	defaultWriters     = 6
	defaultReaders     = 24
	defaultThinkTime   = 5 * time.Millisecond
	defaultOneWayDelay = time.Millisecond
	// clockInterval is the time between two writes of a database's clock key;
	// see runClock.
	clockInterval = 10 * time.Millisecond
	// statsInterval is the time between two reads of the endpoints' counters.
	statsInterval = 250 * time.Millisecond
)

// Database is one database and the endpoints behind it.
type Database struct {
	Name core.Database
	// ControlAddresses are the control addresses of all endpoints of its group.
	ControlAddresses []netip.AddrPort
}

// Load is one run of callers against entry instances.
type Load struct {
	instances   []netip.AddrPort
	databases   []Database
	kinds       map[core.Kind]time.Duration
	user        string
	password    string
	duration    time.Duration
	writers     int
	readers     int
	thinkTime   time.Duration
	oneWayDelay time.Duration
	seed        uint64

	history *history
	results *results
	monitor *monitor
}

// Option changes a load under construction.
type Option func(*Load)

// WithLogin sets the name and the password of all callers.
func WithLogin(user, password string) Option {
	return func(l *Load) { l.user, l.password = user, password }
}

// WithKinds sets the kinds of read and their maximum ages.
func WithKinds(kinds map[core.Kind]time.Duration) Option {
	return func(l *Load) { l.kinds = kinds }
}

// WithDuration sets how long the callers run.
func WithDuration(d time.Duration) Option {
	return func(l *Load) { l.duration = d }
}

// WithCallers sets how many writers and readers there are.
func WithCallers(writers, readers int) Option {
	return func(l *Load) { l.writers, l.readers = writers, readers }
}

// WithThinkTime sets the mean pause of a caller between two statements.
func WithThinkTime(d time.Duration) Option {
	return func(l *Load) { l.thinkTime = d }
}

// WithOneWayDelay sets the simulated one-way delay between callers and entry
// instances.
func WithOneWayDelay(d time.Duration) Option {
	return func(l *Load) { l.oneWayDelay = d }
}

// WithSeed sets the seed of the callers' random choices.
func WithSeed(seed uint64) Option {
	return func(l *Load) { l.seed = seed }
}

// New returns a load on entry instances.
func New(instances []netip.AddrPort, databases []Database, options ...Option) *Load {
	l := &Load{
		instances:   instances,
		databases:   databases,
		duration:    defaultDuration,
		writers:     defaultWriters,
		readers:     defaultReaders,
		thinkTime:   defaultThinkTime,
		oneWayDelay: defaultOneWayDelay,
		history:     newHistory(),
		results:     newResults(),
		monitor:     newMonitor(databases),
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Run runs the callers, checks their writes and returns the report.
func (l *Load) Run(ctx context.Context) (*Report, error) {
	if len(l.instances) == 0 || len(l.databases) == 0 || len(l.kinds) == 0 {
		return nil, fmt.Errorf("load: entries, databases and kinds are required")
	}
	runCtx, cancel := context.WithTimeout(ctx, l.duration)
	defer cancel()
	started := time.Now()
	var running sync.WaitGroup
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	defer stopMonitor()
	running.Go(func() { l.monitor.poll(monitorCtx) })
	l.runCallers(runCtx)
	stopMonitor()
	running.Wait()
	return l.check(ctx, started, started.Add(l.duration))
}

func (l *Load) runCallers(ctx context.Context) {
	var running sync.WaitGroup
	number := 0
	start := func(d Database, name string, run func(context.Context, *caller)) {
		number++
		c := l.newCaller(d.Name, fmt.Sprintf("%s%d", name, number), uint64(number))
		running.Go(func() {
			defer c.disconnect()
			run(ctx, c)
		})
	}
	for _, d := range l.databases {
		start(d, "clock", l.runClock)
	}
	for i := range l.writers {
		start(l.databases[i%len(l.databases)], "valuer", l.runWriter)
	}
	for i := range l.readers {
		start(l.databases[i%len(l.databases)], "analyst", l.runReader)
	}
	running.Wait()
}

// newRandom returns the random source of one caller.
func (l *Load) newRandom(number uint64) *rand.Rand {
	return rand.New(rand.NewPCG(l.seed, number))
}

// sleep waits for a duration and reports whether the run continues.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return ctx.Err() == nil
}
