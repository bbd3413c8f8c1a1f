// Package load stands in for the callers: valuers that write, analysts that
// read, and a judge that compares every answer with what the endpoints hold.
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

// Defaults of a load; a caller changes them with options.
const (
	defaultDuration = 20 * time.Second
	defaultValuers  = 6
	defaultAnalysts = 24
	defaultThink    = 5 * time.Millisecond
	defaultOneWay   = time.Millisecond
	// clockPeriod is the time between two writes of a group's clock key.
	clockPeriod = 10 * time.Millisecond
	// statsPeriod is the time between two readings of the endpoints' counters.
	statsPeriod = 250 * time.Millisecond
)

// Database is one database and the endpoints behind it.
type Database struct {
	Name core.Database
	// Controls are the control addresses of all members of its group.
	Controls []netip.AddrPort
}

// Load is one run of callers against entry instances.
type Load struct {
	entries   []netip.AddrPort
	databases []Database
	kinds     map[core.Kind]time.Duration
	user      string
	password  string
	duration  time.Duration
	valuers   int
	analysts  int
	think     time.Duration
	oneWay    time.Duration
	seed      uint64

	ledger *ledger
	tally  *tally
	fleet  *fleet
}

// Option changes a load under construction.
type Option func(*Load)

// WithLogin sets the name and the password of all callers.
func WithLogin(user, password string) Option {
	return func(l *Load) { l.user, l.password = user, password }
}

// WithKinds states the kinds of read and their ages.
func WithKinds(kinds map[core.Kind]time.Duration) Option {
	return func(l *Load) { l.kinds = kinds }
}

// WithDuration sets how long the callers go on.
func WithDuration(d time.Duration) Option {
	return func(l *Load) { l.duration = d }
}

// WithCallers sets how many valuers and analysts there are.
func WithCallers(valuers, analysts int) Option {
	return func(l *Load) { l.valuers, l.analysts = valuers, analysts }
}

// WithThink sets the mean pause of a caller between two statements.
func WithThink(d time.Duration) Option {
	return func(l *Load) { l.think = d }
}

// WithOneWay sets the simulated one-way time between callers and entry
// instances.
func WithOneWay(d time.Duration) Option {
	return func(l *Load) { l.oneWay = d }
}

// WithSeed sets the seed of the callers' choices.
func WithSeed(seed uint64) Option {
	return func(l *Load) { l.seed = seed }
}

// New returns a load on entry instances.
func New(entries []netip.AddrPort, databases []Database, options ...Option) *Load {
	l := &Load{
		entries:   entries,
		databases: databases,
		duration:  defaultDuration,
		valuers:   defaultValuers,
		analysts:  defaultAnalysts,
		think:     defaultThink,
		oneWay:    defaultOneWay,
		ledger:    newLedger(),
		tally:     newTally(),
		fleet:     newFleet(databases),
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Run runs the callers, then judges and returns the report.
func (l *Load) Run(ctx context.Context) (*Report, error) {
	if len(l.entries) == 0 || len(l.databases) == 0 || len(l.kinds) == 0 {
		return nil, fmt.Errorf("load: entries, databases and kinds are needed")
	}
	ends, cancel := context.WithTimeout(ctx, l.duration)
	defer cancel()
	started := time.Now()
	var running sync.WaitGroup
	watched, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	running.Go(func() { l.fleet.watch(watched) })
	l.runCallers(ends)
	stopWatch()
	running.Wait()
	return l.judge(ctx, started, started.Add(l.duration))
}

func (l *Load) runCallers(ctx context.Context) {
	var running sync.WaitGroup
	number := 0
	start := func(d Database, name string, run func(context.Context, *client)) {
		number++
		c := l.newClient(d.Name, fmt.Sprintf("%s%d", name, number), uint64(number))
		running.Go(func() {
			defer c.leave()
			run(ctx, c)
		})
	}
	for _, d := range l.databases {
		start(d, "clock", l.runClock)
	}
	for i := range l.valuers {
		start(l.databases[i%len(l.databases)], "valuer", l.runValuer)
	}
	for i := range l.analysts {
		start(l.databases[i%len(l.databases)], "analyst", l.runAnalyst)
	}
	running.Wait()
}

// random returns the source of one caller's choices.
func (l *Load) random(number uint64) *rand.Rand {
	return rand.New(rand.NewPCG(l.seed, number))
}

// pause sleeps and reports whether the callers go on.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return ctx.Err() == nil
}
