package proxy

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"anviltack/clock"
	"anviltack/core"
)

var soakDuration = flag.Duration("soak", 3*time.Second, "how long TestSoak injects faults into its group")

// soakOperation is a statement that a caller sent.
type soakOperation struct {
	sentAt    time.Time
	freshness Freshness
	// own lists the session's acknowledged writes.
	own []string
	// missing is an acknowledged write that a read should have covered and did not.
	missing string
}

// soak is a group of three endpoints with the instances that serve it, and a record of
// everything that callers were answered.
type soak struct {
	mu        sync.Mutex
	endpoints []*soakEndpoint
	leases    map[string]VersionedValue
	// copiedLeases are the leases in the copy from which the store is restored.
	copiedLeases map[string]VersionedValue
	era          uint64
	storeDown    bool
	disconnected map[string]bool
	lastToken    uint64
	voters       *fakeVoterStore
	operations   map[string]*soakOperation
	acknowledged map[string]time.Time
	rejected     map[string]bool
	writes       int
	promotions   int
	violations   []string
	instances    []*Proxy
	// startInstance replaces an instance by a new process, and ends ends each.
	startInstance func(i int)
	ends          []context.CancelFunc
	// started counts the endpoints' processes, which have names and addresses by it.
	started int
	// lost is the last endpoint that lost its log.
	lost Endpoint
}

const soakStaleness = 400 * time.Millisecond

func newSoak(t *testing.T, instances int) *soak {
	t.Helper()
	s := &soak{
		leases: map[string]VersionedValue{}, disconnected: map[string]bool{}, operations: map[string]*soakOperation{},
		acknowledged: map[string]time.Time{}, rejected: map[string]bool{},
	}
	for range 3 {
		s.endpoints = append(s.endpoints, s.newEndpoint())
	}
	s.endpoints[0].primary = true
	s.voters = newFakeVoterStore(s.list()...)
	s.voters.era = func() uint64 { era, _ := s.storeEra(); return era }
	log := newTestLog()
	var peers []Peer
	for i := range instances {
		peers = append(peers, Peer{Name: core.Instance(fmt.Sprint("i", i))})
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s.ends = make([]context.CancelFunc, instances)
	s.instances = make([]*Proxy, instances)
	s.startInstance = func(i int) {
		name := string(peers[i].Name)
		p := New(Settings{Instance: name, GracePeriod: 6 * time.Second}, s.dependencies(name, peers), log.WithField("instance", name))
		own, end := context.WithCancel(ctx)
		s.mu.Lock()
		s.instances[i], s.ends[i] = p, end
		s.mu.Unlock()
		go func() { _ = p.Serve(own, make(chan struct{})) }()
	}
	for i := range peers {
		s.startInstance(i)
	}
	go s.replicate(ctx)
	return s
}

// dependencies returns the dependencies of one instance.
func (s *soak) dependencies(instance string, peers []Peer) Dependencies {
	forever := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	return Dependencies{
		Endpoints: Endpoints{Dial: func(_ context.Context, e Endpoint, _ core.Organisation) (*Conn, error) {
			return s.dial(instance, e.Name)
		}},
		Directory: Directory{Watch: func(ctx context.Context, offer func([]Endpoint)) error {
			return repeat(ctx, 10*time.Millisecond, func() { offer(s.list()) })
		}},
		ConfigSource: ConfigSource{Watch: func(ctx context.Context, offer func(*Config)) error {
			c := testConfig(1)
			for d, r := range c.Routes {
				r.Staleness, r.Timeout, r.TargetTime = soakStaleness, time.Second, 500*time.Millisecond
				c.Routes[d] = r
			}
			offer(c)
			return forever(ctx)
		}},
		LeaseStore: LeaseStore{Get: s.getLease, CompareAndSwap: s.swapLease, IsHealthy: func() bool { return true }, Era: s.storeEra},
		VoterStore: s.voters.dependency(),
		Membership: Membership{Maintain: func(ctx context.Context, offer func([]Peer)) error {
			offer(peers)
			return forever(ctx)
		}, Leave: func(context.Context) error { return nil }},
		Promoter: Promoter{Promote: s.promote},
		Now:      clock.Now,
	}
}

func (s *soak) getLease(_ context.Context, key string) (VersionedValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeDown {
		return VersionedValue{}, errStoreDown
	}
	return s.storedLease(key), nil
}

func (s *soak) swapLease(_ context.Context, key string, revision core.Revision, value string) (core.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeDown {
		return core.Revision{}, errStoreDown
	}
	stored := s.storedLease(key)
	if stored.Revision != revision {
		return core.Revision{}, nil
	}
	stored.Revision.Number++
	s.leases[key] = VersionedValue{Revision: stored.Revision, Value: value}
	return stored.Revision, nil
}

// storedLease returns a lease with the era in which it is read; the caller holds the lock.
func (s *soak) storedLease(key string) VersionedValue {
	stored := s.leases[key]
	stored.Revision.Era = s.era
	return stored
}

func (s *soak) storeEra() (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era, true
}

// restoreStore replaces the leases by those of the last fault; the caller holds the lock.
func (s *soak) restoreStore() {
	s.era++
	s.leases = maps.Clone(s.copiedLeases)
	s.voters.restore()
}

// recordViolation records a broken guarantee; the caller holds the lock.
func (s *soak) recordViolation(format string, args ...any) {
	if len(s.violations) < 20 {
		s.violations = append(s.violations, fmt.Sprintf(format, args...))
	}
}

// endpoint returns the endpoint of a name, nil if there is none.
func (s *soak) endpoint(name core.Endpoint) *soakEndpoint {
	i := slices.IndexFunc(s.endpoints, func(e *soakEndpoint) bool { return e.info.Name == name })
	if i < 0 {
		return nil
	}
	return s.endpoints[i]
}

// promote makes an endpoint the primary of the next term after a random delay.
func (s *soak) promote(_ context.Context, _ core.Group, name core.Endpoint, token uint64) error {
	s.mu.Lock()
	if token <= s.lastToken {
		s.recordViolation("promotion with token %d after %d", token, s.lastToken)
	}
	s.lastToken = token
	s.mu.Unlock()
	time.AfterFunc(time.Duration(100+rand.IntN(300))*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if e := s.endpoint(name); e != nil && !e.crashed && !e.primary {
			s.makePrimary(e)
		}
	})
	return nil
}

// makePrimary makes an endpoint the primary of the next term; the caller holds the
// lock.
func (s *soak) makePrimary(e *soakEndpoint) {
	s.promotions++
	for _, o := range s.endpoints {
		e.term = max(e.term, o.term)
	}
	e.term++
	e.primary, e.fence = true, 0
	for id := range s.acknowledged {
		if !e.holds(id, len(e.log)) {
			s.recordViolation("acknowledged write %s is lost in term %d", id, e.term)
		}
	}
	for _, o := range s.endpoints {
		if o != e && !o.primary && !o.crashed {
			o.term, o.fence = e.term, 0
		}
	}
}

// checkVisible records an acknowledged write that a read at an endpoint misses; the
// caller holds the lock.
func (s *soak) checkVisible(id string, e *soakEndpoint) {
	o := s.operations[id]
	if o == nil {
		s.recordViolation("statement %s, which no caller sent, ran", id)
		return
	}
	before := o.sentAt
	if o.freshness != FreshnessNewest {
		before = before.Add(-soakStaleness)
	}
	for write, at := range s.acknowledged {
		if at.Before(before) && !e.holds(write, e.applied) {
			o.missing = write
		}
	}
	for _, write := range o.own {
		if o.freshness == FreshnessSession && !e.holds(write, e.applied) {
			o.missing = write
		}
	}
}

// injectFault injects one random fault and ends it after a random time.
func (s *soak) injectFault(random *rand.Rand) {
	s.mu.Lock()
	e := s.endpoints[random.IntN(len(s.endpoints))]
	if random.IntN(2) == 0 {
		for _, o := range s.endpoints {
			if o.primary {
				e = o
			}
		}
	}
	chosen := random.IntN(len(s.instances))
	kind := random.IntN(10)
	s.setFault(kind, e, chosen, true)
	s.mu.Unlock()
	time.Sleep(time.Duration(100+random.IntN(2500)) * time.Millisecond)
	s.mu.Lock()
	s.setFault(kind, e, chosen, false)
	s.mu.Unlock()
	time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
}

// setFault begins or ends a fault of an endpoint and, for some kinds, of a chosen
// instance; the caller holds the lock.
func (s *soak) setFault(kind int, e *soakEndpoint, chosen int, on bool) {
	switch kind {
	case 0, 1:
		if e.crashed && !on {
			s.restart(e)
		}
		e.crashed = on
	case 2:
		e.unreachable = on
	case 3:
		e.notReceiving = on
	case 4:
		e.notApplying = on
	case 5:
		s.storeDown = on
	case 6:
		s.setDisconnected(e, s.instances[chosen], on)
		e.loseAnswer = on
	case 7:
		if on {
			s.copiedLeases = maps.Clone(s.leases)
			s.voters.copy()
		} else {
			s.restoreStore()
		}
	default:
		// Only one instance reaches the endpoint, which receives nothing from another primary.
		e.notReceiving = on
		for i, p := range s.instances {
			if i != chosen {
				s.setDisconnected(e, p, on)
			}
		}
	}
}

func (s *soak) setDisconnected(e *soakEndpoint, p *Proxy, on bool) {
	s.disconnected[p.settings.Instance+" "+string(e.info.Name)] = on
}

// restart restarts an endpoint: it forgets its fence, and becomes a replica if another
// endpoint was promoted.
func (s *soak) restart(e *soakEndpoint) {
	e.incarnation++
	e.fence = 0
	for _, o := range s.endpoints {
		if o.term > e.term {
			e.primary = false
		}
	}
}

// checkFinalLog checks the log of the last primary after all faults have ended.
func (s *soak) checkFinalLog(t *testing.T) {
	sim := &simulation{t: t, proxy: s.instances[0], callers: map[string]*testCaller{}}
	c := &soakCaller{soak: s, name: "end", freshness: FreshnessNewest}
	sim.waitFor(func() bool {
		c.session = sim.open("end", "newest")
		defer close(c.session.statements)
		id := c.newStatement(KindWrite)
		a := c.send(id, KindWrite)
		c.recordWrites(a, id)
		return a.Err == nil
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	var last *soakEndpoint
	for _, e := range s.endpoints {
		if e.primary && (last == nil || e.term > last.term) {
			last = e
		}
	}
	seen := map[string]bool{}
	for _, entry := range last.log {
		if seen[entry.id] {
			s.recordViolation("write %s took effect twice", entry.id)
		}
		seen[entry.id] = true
		if s.rejected[entry.id] {
			s.recordViolation("rejected write %s took effect", entry.id)
		}
	}
	for id := range s.acknowledged {
		if !seen[id] {
			s.recordViolation("acknowledged write %s is lost", id)
		}
	}
}

// TestSoak injects crashes, unreachable endpoints, partitions, replication lag, lost
// answers and store outages into a group that three instances serve while callers read
// and write. It checks that reads are as fresh as guaranteed, acknowledged writes
// survive, rejected ones never take effect, none takes effect twice and transactions
// are isolated from other sessions' statements.
func TestSoak(t *testing.T) {
	t.Parallel()
	s := newSoak(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() { s.runCaller(ctx, i) })
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), 1))
	for end := clock.Now().Add(*soakDuration); clock.Now().Before(end); {
		s.injectFault(random)
	}
	cancel()
	callers.Wait()
	s.checkFinalLog(t)
	t.Logf("%d writes acknowledged, %d rejected, %d promotions", s.writes, len(s.rejected), s.promotions)
	for _, f := range s.violations {
		t.Error(f)
	}
}
