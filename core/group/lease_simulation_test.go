package group

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"anviltack/core"
	"anviltack/core/lease"
)

// leaseEndpoint is a simulated endpoint whose promotions and terms come from the
// platform.
type leaseEndpoint struct {
	name    core.Endpoint
	log     []entry
	term    uint64
	fence   uint64
	primary bool
	dead    bool
	// startedAt is when the endpoint's process last started.
	startedAt time.Time
	// unreachable holds the endpoints and instances that are partitioned from this
	// endpoint.
	unreachable map[string]bool
}

func (s *leaseEndpoint) point() core.Point {
	p := core.Point{Position: uint64(len(s.log))}
	if len(s.log) > 0 {
		p.Term = s.log[len(s.log)-1].term
	}
	return p
}

func (s *leaseEndpoint) status() core.Status {
	role := core.RoleReplica
	if s.primary {
		role = core.RolePrimary
	}
	return core.Status{Role: role, Term: s.term, Fence: max(s.term, s.fence), Received: uint64(len(s.log)), Applied: uint64(len(s.log)), Last: s.point()}
}

// leaseInstance is a simulated instance that fences and promotes only under the
// promotion lease.
type leaseInstance struct {
	*Machine
	name        core.Instance
	lease       lease.Lease
	token       uint64
	requestedAt time.Time
	paused      bool
	deferred    []func()
	waiting     []leaseStatement
	fences      []Action
	// connectedAt is when the connection to each endpoint was opened.
	connectedAt    map[core.Endpoint]time.Time
	isReadingLease bool
}

// leaseStatement is a write, or a read that must see the newest data, whose answer
// waits for its confirmation.
type leaseStatement struct {
	id, index int
	arrival   time.Time
	ranAt     time.Time
	term      uint64
	point     core.Point
	// missed is the id of an acknowledged write that the read did not see.
	missed int
}

// leaseAck is an acknowledged write.
type leaseAck struct {
	id, index int
	at        time.Time
}

// leaseSimulation is a group whose promotions are carried out by a platform, with
// instances that hold the promotion lease in turn.
type leaseSimulation struct {
	random     *rand.Rand
	now        time.Time
	queue      events
	number     int
	endpoints  []*leaseEndpoint
	instances  []*leaseInstance
	revision   uint64
	value      string
	lastToken  uint64
	promotions []Failover
	acked      []leaseAck
	written    int
	// volatileFences is true if an endpoint loses its fence when it restarts.
	volatileFences bool
	violations     []string
}

func newLeaseSimulation(seed uint64, instances int) *leaseSimulation {
	w := &leaseSimulation{random: rand.New(rand.NewPCG(seed, 1)), now: epoch}
	var members []Member
	for _, n := range []core.Endpoint{"a", "b", "c"} {
		w.endpoints = append(w.endpoints, &leaseEndpoint{name: n, term: 1, unreachable: map[string]bool{}})
		members = append(members, Member{Name: n})
	}
	w.endpoints[0].primary = true
	p := DefaultPeriods()
	p.Sample, p.SampleTimeout, p.Busy = time.Second, 220*time.Millisecond, 10*time.Millisecond
	p.Silence, p.MaxAnswerAge, p.ResponseTimeout = 300*time.Millisecond, 3*time.Second, 220*time.Millisecond
	p.Absence, p.RankDelay, p.PromoteTimeout = 300*time.Millisecond, 50*time.Millisecond, 4*time.Second
	p.MaxTick, p.PauseThreshold, p.FenceTimeout = 100*time.Millisecond, time.Hour, lease.Duration
	for i := range instances {
		name := core.Instance(fmt.Sprint(i))
		m := New("g", name, WithPeriods(p), WithExternalTerms(), WithSparseSamples(), WithVolatileFences(lease.ExpireAfter), WithRandom(rand.New(rand.NewPCG(seed, uint64(i)+2))))
		m.SetRank(i, 1)
		t := &leaseInstance{Machine: m, name: name, connectedAt: map[core.Endpoint]time.Time{}}
		t.lease.Observe(epoch, 0, "")
		w.instances = append(w.instances, t)
		w.step(t, func() []Action { return m.Configure(w.now, members) })
		w.tick(t)
	}
	w.replicate()
	return w
}

func (w *leaseSimulation) after(d time.Duration, run func()) {
	w.number++
	heap.Push(&w.queue, &event{w.now.Add(d).Sub(epoch), w.number, run})
}

func (w *leaseSimulation) run(d time.Duration) {
	until := w.now.Add(d)
	for len(w.queue) > 0 && w.queue[0].at <= until.Sub(epoch) {
		e := heap.Pop(&w.queue).(*event)
		w.now = epoch.Add(e.at)
		e.run()
	}
	w.now = until
}

func (w *leaseSimulation) delay() time.Duration {
	return time.Millisecond + time.Duration(w.random.Int64N(int64(4*time.Millisecond)))
}

func (w *leaseSimulation) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

func (w *leaseSimulation) tick(t *leaseInstance) {
	w.step(t, func() []Action { return t.Tick(w.now) })
	if t.AwaitsFenceResolution() && !t.isReadingLease {
		w.resolveFences(t)
	}
	w.after(20*time.Millisecond, func() { w.tick(t) })
}

// resolveFences reads the promotion lease from the store for endpoints that may have
// lost a fence.
func (w *leaseSimulation) resolveFences(t *leaseInstance) {
	t.isReadingLease = true
	asOf := w.now
	w.after(w.delay(), func() {
		revision, value := w.revision, w.value
		w.after(w.delay(), func() {
			w.step(t, func() []Action {
				t.isReadingLease = false
				t.lease.Observe(w.now, revision, value)
				if t.lease.IsInactive(revision, asOf) {
					return t.FencesResolved(w.now, asOf)
				}
				return nil
			})
		})
	})
}

// replicate copies every primary's log to the endpoints that accept it.
func (w *leaseSimulation) replicate() {
	for _, p := range w.endpoints {
		for _, o := range w.endpoints {
			accepts := !o.dead && !p.unreachable[string(o.name)] && !o.unreachable[string(p.name)] && o.fence <= p.term
			if !p.primary || p.dead || o == p || !accepts || o.term > p.term {
				continue
			}
			if o.term == p.term && o.primary {
				continue
			}
			o.primary, o.term, o.log = false, p.term, append([]entry(nil), p.log...)
		}
	}
	w.after(5*time.Millisecond, w.replicate)
}

// step hands an event to a machine and performs its actions; while the instance is
// paused, they are deferred.
func (w *leaseSimulation) step(t *leaseInstance, f func() []Action) {
	if t.paused {
		t.deferred = append(t.deferred, func() { w.step(t, f) })
		return
	}
	actions := f()
	w.answerStatements(t)
	t.fences = nil
	for _, a := range actions {
		if a.Kind == ActionFence {
			t.fences = append(t.fences, a)
			continue
		}
		w.perform(t, a)
	}
	if len(t.fences) > 0 {
		w.acquireLease(t, t.fences)
	}
}

// call runs a request on an endpoint and steps the machine with the answer, or after
// 200 ms with the failure.
func (w *leaseSimulation) call(t *leaseInstance, name core.Endpoint, request func(s *leaseEndpoint) func() []Action, failed func() []Action) {
	s := w.endpoint(name)
	w.after(w.delay(), func() {
		if s.dead || s.unreachable[string(t.name)] {
			w.after(200*time.Millisecond, func() { w.step(t, failed) })
			return
		}
		if !t.connectedAt[name].After(s.startedAt) {
			t.connectedAt[name] = w.now
		}
		opened := t.connectedAt[name]
		answer := request(s)
		w.after(w.delay(), func() {
			if s.unreachable[string(t.name)] {
				w.after(200*time.Millisecond, func() { w.step(t, failed) })
				return
			}
			w.step(t, func() []Action {
				t.SetRunningSince(name, opened)
				return answer()
			})
		})
	})
}

func (w *leaseSimulation) endpoint(name core.Endpoint) *leaseEndpoint {
	for _, s := range w.endpoints {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (w *leaseSimulation) perform(t *leaseInstance, a Action) {
	sentAt := w.now
	failed := func() []Action { return t.SampleFailed(w.now, a.Endpoint, sentAt, OutcomeTimeout) }
	switch a.Kind {
	case ActionSample:
		w.call(t, a.Endpoint, func(s *leaseEndpoint) func() []Action {
			status := s.status()
			return func() []Action { return t.Sampled(w.now, a.Endpoint, sentAt, status) }
		}, failed)
	case ActionCheckPrimary:
		w.call(t, a.Endpoint, func(s *leaseEndpoint) func() []Action {
			primary, point := s.primary, s.point()
			return func() []Action {
				if !primary {
					return t.PrimaryCheckRejected(w.now, a.Endpoint, sentAt)
				}
				return t.PrimaryCheckPassed(w.now, a.Endpoint, sentAt, point)
			}
		}, failed)
	case ActionPromote:
		w.promote(t, a)
	}
}

// acquireLease acquires the promotion lease and then fences, as an instance does.
func (w *leaseSimulation) acquireLease(t *leaseInstance, fences []Action) {
	postpone := func(d time.Duration) { w.step(t, func() []Action { return t.PostponeFailover(w.now, d) }) }
	if d := t.lease.AcquireDelay(w.now, string(t.name)); d > 0 {
		postpone(d)
		return
	}
	w.after(w.delay(), func() {
		revision, value := w.revision, w.value
		w.after(w.delay(), func() {
			w.step(t, func() []Action {
				t.lease.Observe(w.now, revision, value)
				if d := t.lease.AcquireDelay(w.now, string(t.name)); d > 0 {
					return t.PostponeFailover(w.now, d)
				}
				w.compareAndSwap(t, revision, w.now, fences)
				return nil
			})
		})
	})
}

func (w *leaseSimulation) compareAndSwap(t *leaseInstance, revision uint64, requestedAt time.Time, fences []Action) {
	// The store may apply the change late.
	late := time.Duration(0)
	if w.random.IntN(5) == 0 {
		late = time.Duration(w.random.Int64N(int64(3 * time.Second)))
	}
	w.after(w.delay()+late, func() {
		swapped := w.revision == revision
		if swapped {
			w.revision++
			w.value = string(t.name)
		}
		token := w.revision
		w.after(w.delay(), func() {
			w.step(t, func() []Action {
				if !swapped || w.now.Sub(requestedAt) >= lease.Duration {
					return t.PostponeFailover(w.now, 50*time.Millisecond)
				}
				t.token, t.requestedAt = token, requestedAt
				for _, a := range fences {
					w.fence(t, a)
				}
				return nil
			})
		})
	})
}

func (w *leaseSimulation) fence(t *leaseInstance, a Action) {
	w.call(t, a.Endpoint, func(s *leaseEndpoint) func() []Action {
		if s.primary && a.Term > s.term {
			s.primary = false
		}
		s.fence = max(s.fence, a.Term)
		status := s.status()
		return func() []Action { return t.FenceDone(w.now, a.Endpoint, a.Term, status, status.Fence >= a.Term) }
	}, func() []Action { return t.FenceDone(w.now, a.Endpoint, a.Term, core.Status{}, false) })
}

// promote requests a promotion from the platform, which makes the endpoint primary of
// the next term some hundred milliseconds later.
func (w *leaseSimulation) promote(t *leaseInstance, a Action) {
	done := func(ok bool, s core.Status) {
		w.step(t, func() []Action { return t.PromoteDone(w.now, a.Endpoint, a.Term, ok, s) })
	}
	if lease.Remaining(w.now, t.requestedAt) == 0 {
		w.after(w.delay(), func() { done(false, core.Status{}) })
		return
	}
	token := t.token
	w.after(w.delay(), func() {
		if token < w.lastToken {
			w.violation("token %d after %d", token, w.lastToken)
		}
		w.lastToken = token
		w.after(300*time.Millisecond+time.Duration(w.random.Int64N(int64(600*time.Millisecond))), func() {
			s := w.endpoint(a.Endpoint)
			if s.dead {
				return
			}
			term := uint64(0)
			for _, o := range w.endpoints {
				term = max(term, o.term)
			}
			s.term, s.primary, s.fence = term+1, true, 0
			w.promotions = append(w.promotions, Failover{Term: s.term, Endpoint: s.name, PromotedAt: w.now})
			if id := w.missing(s.log, w.now.Add(1)); id != 0 {
				w.violation("write %d lost by %s in term %d", id, s.name, s.term)
			}
			for _, o := range w.endpoints {
				if o != s && !o.primary && !o.dead {
					o.term, o.fence = s.term, 0
				}
			}
			status := s.status()
			w.after(w.delay(), func() {
				w.releaseLease(token)
				done(true, status)
			})
		})
	})
	w.after(4*time.Second, func() { done(false, core.Status{}) })
}

// releaseLease releases the lease after its promotion took effect; the store may miss
// it.
func (w *leaseSimulation) releaseLease(token uint64) {
	w.after(w.delay(), func() {
		if w.revision == token && w.random.IntN(3) > 0 {
			w.revision++
			w.value = lease.Released(w.value)
		}
	})
}

// missing returns the id of a write that was acknowledged before a time and is not in
// the log, or zero.
func (w *leaseSimulation) missing(log []entry, before time.Time) int {
	for _, a := range w.acked {
		if a.at.Before(before) && (len(log) < a.index || log[a.index-1].id != a.id) {
			return a.id
		}
	}
	return 0
}

// load submits a write or a read through a random instance every few milliseconds.
func (w *leaseSimulation) load() {
	w.submit(w.instances[w.random.IntN(len(w.instances))], w.random.IntN(2) == 0)
	w.after(time.Duration(2+w.random.IntN(30))*time.Millisecond, w.load)
}

func (w *leaseSimulation) submit(t *leaseInstance, isRead bool) {
	term, primary := t.Primary()
	if t.paused || primary == "" || t.Confirmed().Closed {
		return
	}
	w.written++
	s := leaseStatement{id: w.written, arrival: w.now, term: term}
	if isRead {
		w.step(t, func() []Action { return t.AddDemand(w.now, Demand{AsOf: s.arrival}) })
	}
	w.call(t, primary, func(f *leaseEndpoint) func() []Action {
		s.ranAt = w.now
		if isRead {
			s.missed, s.point = w.missing(f.log, s.arrival), core.Point{Term: term}
			return func() []Action { t.waiting = append(t.waiting, s); return nil }
		}
		if !f.primary {
			return func() []Action { return t.PrimaryCheckRejected(w.now, primary, s.arrival) }
		}
		f.log = append(f.log, entry{f.term, s.id})
		s.index, s.point = len(f.log), f.point()
		return func() []Action {
			t.waiting = append(t.waiting, s)
			return append(t.PrimaryCheckPassed(w.now, primary, s.arrival, s.point), t.AddDemand(w.now, Demand{Point: s.point})...)
		}
	}, func() []Action { return t.TrafficOutcome(w.now, primary, OutcomeTimeout) })
}

// answerStatements answers the waiting statements of an instance according to their
// verdicts.
func (w *leaseSimulation) answerStatements(t *leaseInstance) {
	var left []leaseStatement
	for _, s := range t.waiting {
		arrival := s.arrival
		if s.index > 0 {
			arrival = time.Time{}
		}
		switch t.Confirmed().Verdict(arrival, s.term, s.point) {
		case VerdictPending:
			left = append(left, s)
		case VerdictConfirmed:
			w.acknowledge(s)
		}
	}
	t.waiting = left
}

func (w *leaseSimulation) acknowledge(s leaseStatement) {
	if s.index == 0 {
		if s.missed > 0 {
			w.violation("read %d missed write %d, acknowledged before", s.id, s.missed)
		}
		return
	}
	for _, e := range w.promotions {
		if e.Term > s.point.Term && e.PromotedAt.Before(s.ranAt) {
			w.violation("write %d of term %d ran after the promotion to %d", s.id, s.point.Term, e.Term)
		}
	}
	w.acked = append(w.acked, leaseAck{s.id, s.index, w.now})
}

// restart starts an endpoint again, as a replica if another one was promoted.
func (w *leaseSimulation) restart(s *leaseEndpoint) {
	s.dead, s.startedAt = false, w.now
	if w.volatileFences {
		s.fence = 0
	}
	if n := len(w.promotions); n > 0 && w.promotions[n-1].Term > s.term {
		s.primary, s.term = false, w.promotions[n-1].Term
	}
}

// injectFault injects a random fault.
func (w *leaseSimulation) injectFault() {
	s := w.endpoints[w.random.IntN(3)]
	t := w.instances[w.random.IntN(len(w.instances))]
	other := string(w.endpoints[w.random.IntN(3)].name)
	switch w.random.IntN(10) {
	case 0:
		s.dead = true
	case 1, 2, 3:
		if s.dead {
			w.restart(s)
		}
	case 4:
		s.unreachable[other] = true
	case 5:
		s.unreachable[string(t.name)] = true
	case 6, 7:
		clear(s.unreachable)
	case 8:
		t.paused = true
	case 9:
		w.resumeInstance(t)
	}
}

func (w *leaseSimulation) resumeInstance(t *leaseInstance) {
	held := t.deferred
	t.paused, t.deferred = false, nil
	for _, run := range held {
		run()
	}
}

// checkLeaseSimulation injects random faults into a group and returns the numbers of
// promotions and acknowledged writes.
func checkLeaseSimulation(t *rapid.T, forgets bool) (effects, acked int) {
	w := newLeaseSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "instances"))
	w.volatileFences = forgets
	w.load()
	for range rapid.IntRange(5, 40).Draw(t, "faults") {
		w.injectFault()
		w.run(time.Duration(w.random.IntN(1500)) * time.Millisecond)
	}
	if len(w.violations) > 0 {
		t.Fatal(strings.Join(w.violations, "\n"))
	}
	return len(w.promotions), len(w.acked)
}

// TestTurnsSafety checks that no acknowledged write is lost, that no write is
// acknowledged that ran after its primary was replaced, and that no read of the newest
// data misses an acknowledged write. Endpoints die, are partitioned and instances are
// suspended while instances hold the promotion lease in turn and promotions take effect
// late.
func TestTurnsSafety(t *testing.T) {
	effects, acked := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		e, a := checkLeaseSimulation(t, false)
		effects, acked = effects+e, acked+a
	})
	t.Logf("%d promotions, %d acknowledged", effects, acked)
}

// TestTurnsSafetyWithForgottenFences checks the same where an endpoint loses its fence
// in a restart.
func TestTurnsSafetyWithForgottenFences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkLeaseSimulation(t, true) })
}

// TestForgottenFence checks that writes acknowledged between a fence and its promotion
// survive, although a fenced replica restarts in between, loses its fence and follows
// the old primary again.
func TestForgottenFence(t *testing.T) {
	w := newLeaseSimulation(1, 2)
	w.volatileFences = true
	w.load()
	w.run(500 * time.Millisecond)
	a, b, c := w.endpoints[0], w.endpoints[1], w.endpoints[2]
	b.unreachable["a"] = true // c becomes the most advanced fenced endpoint
	w.run(100 * time.Millisecond)
	a.unreachable["0"] = true
	c.unreachable["1"] = true // the other instance does not see the fence
	for a.term >= b.fence || a.term >= c.fence {
		w.run(time.Millisecond)
	}
	clear(b.unreachable)
	b.dead = true
	w.run(10 * time.Millisecond)
	w.restart(b)
	w.run(3 * time.Second)
	if len(w.promotions) == 0 {
		t.Fatal("nothing was promoted")
	}
	if len(w.violations) > 0 {
		t.Error(strings.Join(w.violations, "\n"))
	}
}
