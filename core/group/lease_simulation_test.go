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

func (e *leaseEndpoint) point() core.Point {
	p := core.Point{Position: uint64(len(e.log))}
	if len(e.log) > 0 {
		p.Term = e.log[len(e.log)-1].term
	}
	return p
}

func (e *leaseEndpoint) status() core.Status {
	role := core.RoleReplica
	if e.primary {
		role = core.RolePrimary
	}
	return core.Status{Role: role, Term: e.term, Fence: max(e.term, e.fence), Received: uint64(len(e.log)), Applied: uint64(len(e.log)), Last: e.point()}
}

// leaseInstance is a simulated instance that fences and promotes only under the
// promotion lease.
type leaseInstance struct {
	*Machine
	name        core.Instance
	lease       lease.Lease
	acquired    core.Revision
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

// leaseState is what the store held of the lease from a time on.
type leaseState struct {
	since  time.Time
	number uint64
	value  string
}

// leaseSimulation is a group whose promotions are carried out by a platform, with
// instances that hold the promotion lease one after another.
type leaseSimulation struct {
	random    *rand.Rand
	now       time.Time
	queue     events
	number    int
	endpoints []*leaseEndpoint
	instances []*leaseInstance
	revision  core.Revision
	value     string
	// states are the earlier states of the lease, of which a restore brings one back.
	states     []leaseState
	lastToken  uint64
	promotions []Failover
	acked      []leaseAck
	written    int
	// volatileFences is true if an endpoint loses its fence when it restarts.
	volatileFences bool
	// faults is how many kinds of faults are injected.
	faults     int
	violations []string
}

func newLeaseSimulation(seed uint64, instances int) *leaseSimulation {
	sim := &leaseSimulation{random: rand.New(rand.NewPCG(seed, 1)), now: epoch}
	var members []Member
	for _, n := range []core.Endpoint{"a", "b", "c"} {
		sim.endpoints = append(sim.endpoints, &leaseEndpoint{name: n, term: 1, unreachable: map[string]bool{}})
		members = append(members, Member{Name: n})
	}
	sim.endpoints[0].primary = true
	p := DefaultPeriods()
	p.Sample, p.SampleTimeout, p.Busy = time.Second, 220*time.Millisecond, 10*time.Millisecond
	p.Silence, p.MaxAnswerAge, p.ResponseTimeout = 300*time.Millisecond, 3*time.Second, 220*time.Millisecond
	p.Absence, p.RankDelay, p.PromoteTimeout = 300*time.Millisecond, 50*time.Millisecond, 4*time.Second
	p.MaxTick, p.PauseThreshold, p.FenceTimeout = 100*time.Millisecond, time.Hour, lease.Duration
	for i := range instances {
		name := core.Instance(fmt.Sprint(i))
		m := New("g", name, WithPeriods(p), WithExternalTerms(), WithSparseSamples(), WithVolatileFences(lease.ExpireAfter), WithRandom(rand.New(rand.NewPCG(seed, uint64(i)+2))))
		m.SetRank(i, 1)
		inst := &leaseInstance{Machine: m, name: name, connectedAt: map[core.Endpoint]time.Time{}}
		inst.lease.Observe(epoch, core.Revision{}, "")
		sim.instances = append(sim.instances, inst)
		sim.step(inst, func() []Action { return m.Configure(sim.now, members) })
		sim.tick(inst)
	}
	sim.replicate()
	return sim
}

func (sim *leaseSimulation) after(d time.Duration, run func()) {
	sim.number++
	heap.Push(&sim.queue, &event{sim.now.Add(d).Sub(epoch), sim.number, run})
}

func (sim *leaseSimulation) run(d time.Duration) {
	until := sim.now.Add(d)
	for len(sim.queue) > 0 && sim.queue[0].at <= until.Sub(epoch) {
		e := heap.Pop(&sim.queue).(*event)
		sim.now = epoch.Add(e.at)
		e.run()
	}
	sim.now = until
}

func (sim *leaseSimulation) delay() time.Duration {
	return time.Millisecond + time.Duration(sim.random.Int64N(int64(4*time.Millisecond)))
}

func (sim *leaseSimulation) violation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

func (sim *leaseSimulation) tick(inst *leaseInstance) {
	sim.step(inst, func() []Action { return inst.Tick(sim.now) })
	if inst.AwaitsFenceResolution() && !inst.isReadingLease {
		sim.resolveFences(inst)
	}
	sim.after(20*time.Millisecond, func() { sim.tick(inst) })
}

// resolveFences reads the promotion lease from the store for endpoints that may have
// lost a fence.
func (sim *leaseSimulation) resolveFences(inst *leaseInstance) {
	inst.isReadingLease = true
	asOf := sim.now
	sim.after(sim.delay(), func() {
		revision, value := sim.revision, sim.value
		sim.after(sim.delay(), func() {
			sim.step(inst, func() []Action {
				inst.isReadingLease = false
				inst.lease.Observe(sim.now, revision, value)
				if inst.lease.IsInactive(revision, asOf) {
					return inst.FencesResolved(sim.now, asOf)
				}
				return nil
			})
		})
	})
}

// replicate copies every primary's log to the endpoints that accept it.
func (sim *leaseSimulation) replicate() {
	for _, p := range sim.endpoints {
		for _, o := range sim.endpoints {
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
	sim.after(5*time.Millisecond, sim.replicate)
}

// step hands an event to a machine and performs its actions. While the instance is
// paused, the event is deferred.
func (sim *leaseSimulation) step(inst *leaseInstance, f func() []Action) {
	if inst.paused {
		inst.deferred = append(inst.deferred, func() { sim.step(inst, f) })
		return
	}
	actions := f()
	sim.answerStatements(inst)
	inst.fences = nil
	for _, a := range actions {
		if a.Kind == ActionFence {
			inst.fences = append(inst.fences, a)
			continue
		}
		sim.perform(inst, a)
	}
	if len(inst.fences) > 0 {
		sim.acquireLease(inst, inst.fences)
	}
}

// call runs a request on an endpoint and steps the machine with the answer, or after
// 200 ms with the failure.
func (sim *leaseSimulation) call(inst *leaseInstance, name core.Endpoint, request func(e *leaseEndpoint) func() []Action, failed func() []Action) {
	e := sim.endpoint(name)
	sim.after(sim.delay(), func() {
		if e.dead || e.unreachable[string(inst.name)] {
			sim.after(200*time.Millisecond, func() { sim.step(inst, failed) })
			return
		}
		if !inst.connectedAt[name].After(e.startedAt) {
			inst.connectedAt[name] = sim.now
		}
		opened := inst.connectedAt[name]
		answer := request(e)
		sim.after(sim.delay(), func() {
			if e.unreachable[string(inst.name)] {
				sim.after(200*time.Millisecond, func() { sim.step(inst, failed) })
				return
			}
			sim.step(inst, func() []Action {
				inst.SetUpSince(name, opened)
				return answer()
			})
		})
	})
}

func (sim *leaseSimulation) endpoint(name core.Endpoint) *leaseEndpoint {
	for _, e := range sim.endpoints {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (sim *leaseSimulation) perform(inst *leaseInstance, a Action) {
	sentAt := sim.now
	failed := func() []Action { return inst.SampleFailed(sim.now, a.Endpoint, sentAt, OutcomeTimeout) }
	switch a.Kind {
	case ActionSample:
		sim.call(inst, a.Endpoint, func(e *leaseEndpoint) func() []Action {
			status := e.status()
			return func() []Action { return inst.Sampled(sim.now, a.Endpoint, sentAt, status) }
		}, failed)
	case ActionCheckPrimary:
		sim.call(inst, a.Endpoint, func(e *leaseEndpoint) func() []Action {
			primary, point := e.primary, e.point()
			return func() []Action {
				if !primary {
					return inst.PrimaryCheckRejected(sim.now, a.Endpoint, sentAt)
				}
				return inst.PrimaryCheckPassed(sim.now, a.Endpoint, sentAt, point)
			}
		}, failed)
	case ActionPromote:
		sim.promote(inst, a)
	}
}

// acquireLease acquires the promotion lease and then fences, as an instance does.
func (sim *leaseSimulation) acquireLease(inst *leaseInstance, fences []Action) {
	postpone := func(d time.Duration) { sim.step(inst, func() []Action { return inst.PostponeFailover(sim.now, d) }) }
	if d := inst.lease.AcquireDelay(sim.now, string(inst.name)); d > 0 {
		postpone(d)
		return
	}
	sim.after(sim.delay(), func() {
		revision, value := sim.revision, sim.value
		sim.after(sim.delay(), func() {
			sim.step(inst, func() []Action {
				inst.lease.Observe(sim.now, revision, value)
				if d := inst.lease.AcquireDelay(sim.now, string(inst.name)); d > 0 {
					return inst.PostponeFailover(sim.now, d)
				}
				sim.compareAndSwap(inst, revision, sim.now, fences)
				return nil
			})
		})
	})
}

func (sim *leaseSimulation) compareAndSwap(inst *leaseInstance, revision core.Revision, requestedAt time.Time, fences []Action) {
	// The store may apply the change late.
	late := time.Duration(0)
	if sim.random.IntN(5) == 0 {
		late = time.Duration(sim.random.Int64N(int64(3 * time.Second)))
	}
	sim.after(sim.delay()+late, func() {
		// The store compares numbers only, so a late request can succeed in a later era.
		swapped := sim.revision.Number == revision.Number
		if swapped {
			sim.setLease(sim.revision.Number+1, lease.Value{Holder: string(inst.name), Nonce: "1", Era: revision.Era})
		}
		acquired := sim.revision
		sim.after(sim.delay(), func() {
			sim.step(inst, func() []Action {
				if !swapped || acquired.Era != revision.Era || sim.now.Sub(requestedAt) >= lease.Duration {
					return inst.PostponeFailover(sim.now, 50*time.Millisecond)
				}
				inst.acquired, inst.requestedAt = acquired, requestedAt
				for _, a := range fences {
					sim.fence(inst, a)
				}
				return nil
			})
		})
	})
}

func (sim *leaseSimulation) fence(inst *leaseInstance, a Action) {
	sim.call(inst, a.Endpoint, func(e *leaseEndpoint) func() []Action {
		if e.primary && a.Term > e.term {
			e.primary = false
		}
		e.fence = max(e.fence, a.Term)
		status := e.status()
		return func() []Action { return inst.FenceDone(sim.now, a.Endpoint, a.Term, status, status.Fence >= a.Term) }
	}, func() []Action { return inst.FenceDone(sim.now, a.Endpoint, a.Term, core.Status{}, false) })
}

// promote requests a promotion from the platform, which makes the endpoint primary of
// the next term some hundred milliseconds later.
func (sim *leaseSimulation) promote(inst *leaseInstance, a Action) {
	done := func(ok bool, s core.Status) {
		sim.step(inst, func() []Action { return inst.PromoteDone(sim.now, a.Endpoint, a.Term, ok, s) })
	}
	if lease.Remaining(sim.now, inst.requestedAt) == 0 {
		sim.after(sim.delay(), func() { done(false, core.Status{}) })
		return
	}
	acquired := inst.acquired
	token, err := acquired.Token()
	if err != nil {
		sim.violation("%v", err)
	}
	sim.after(sim.delay(), func() {
		if token < sim.lastToken {
			sim.violation("token %d after %d", token, sim.lastToken)
		}
		sim.lastToken = token
		sim.after(300*time.Millisecond+time.Duration(sim.random.Int64N(int64(600*time.Millisecond))), func() {
			e := sim.endpoint(a.Endpoint)
			if e.dead {
				return
			}
			term := uint64(0)
			for _, o := range sim.endpoints {
				term = max(term, o.term)
			}
			e.term, e.primary, e.fence = term+1, true, 0
			sim.promotions = append(sim.promotions, Failover{Term: e.term, Endpoint: e.name, PromotedAt: sim.now})
			if id := sim.missing(e.log, sim.now.Add(1)); id != 0 {
				sim.violation("write %d lost by %s in term %d", id, e.name, e.term)
			}
			for _, o := range sim.endpoints {
				if o != e && !o.primary && !o.dead {
					o.term, o.fence = e.term, 0
				}
			}
			status := e.status()
			sim.after(sim.delay(), func() {
				sim.releaseLease(inst, acquired)
				done(true, status)
			})
		})
	})
	sim.after(4*time.Second, func() { done(false, core.Status{}) })
}

// releaseLease releases the lease after its promotion took effect; the release may be
// lost.
func (sim *leaseSimulation) releaseLease(inst *leaseInstance, acquired core.Revision) {
	sim.after(sim.delay(), func() {
		if sim.revision.Number == acquired.Number && sim.random.IntN(3) > 0 {
			sim.setLease(acquired.Number+1, lease.Value{Holder: string(inst.name), Nonce: "1", Era: acquired.Era, Released: true})
		}
	})
}

// setLease replaces the stored lease.
func (sim *leaseSimulation) setLease(number uint64, v lease.Value) {
	sim.revision.Number, sim.value = number, v.String()
	sim.states = append(sim.states, leaseState{sim.now, number, sim.value})
}

// restoreStore brings back the lease as it was up to five seconds ago, in a new era.
func (sim *leaseSimulation) restoreStore() {
	copied := leaseState{}
	at := sim.now.Add(-time.Duration(sim.random.Int64N(int64(5 * time.Second))))
	for _, s := range sim.states {
		if !s.since.After(at) {
			copied = s
		}
	}
	sim.revision = core.Revision{Era: sim.revision.Era + 1, Number: copied.number}
	sim.value = copied.value
	sim.states = append(sim.states, leaseState{sim.now, copied.number, copied.value})
}

// missing returns the id of a write that was acknowledged before a time and is not in
// the log, or zero.
func (sim *leaseSimulation) missing(log []entry, before time.Time) int {
	for _, a := range sim.acked {
		if a.at.Before(before) && (len(log) < a.index || log[a.index-1].id != a.id) {
			return a.id
		}
	}
	return 0
}

// load submits a write or a read through a random instance every few milliseconds.
func (sim *leaseSimulation) load() {
	sim.submit(sim.instances[sim.random.IntN(len(sim.instances))], sim.random.IntN(2) == 0)
	sim.after(time.Duration(2+sim.random.IntN(30))*time.Millisecond, sim.load)
}

func (sim *leaseSimulation) submit(inst *leaseInstance, isRead bool) {
	term, primary := inst.Primary()
	if inst.paused || primary == "" || inst.Confirmed().Closed {
		return
	}
	sim.written++
	s := leaseStatement{id: sim.written, arrival: sim.now, term: term}
	if isRead {
		sim.step(inst, func() []Action { return inst.AddDemand(sim.now, Demand{AsOf: s.arrival}) })
	}
	sim.call(inst, primary, func(e *leaseEndpoint) func() []Action {
		s.ranAt = sim.now
		if isRead {
			s.missed, s.point = sim.missing(e.log, s.arrival), core.Point{Term: term}
			return func() []Action { inst.waiting = append(inst.waiting, s); return nil }
		}
		if !e.primary {
			return func() []Action { return inst.PrimaryCheckRejected(sim.now, primary, s.arrival) }
		}
		e.log = append(e.log, entry{e.term, s.id})
		s.index, s.point = len(e.log), e.point()
		return func() []Action {
			inst.waiting = append(inst.waiting, s)
			return append(inst.PrimaryCheckPassed(sim.now, primary, s.arrival, s.point), inst.AddDemand(sim.now, Demand{Point: s.point})...)
		}
	}, func() []Action { return inst.TrafficOutcome(sim.now, primary, OutcomeTimeout) })
}

// answerStatements answers the waiting statements of an instance according to their
// verdicts.
func (sim *leaseSimulation) answerStatements(inst *leaseInstance) {
	var left []leaseStatement
	for _, s := range inst.waiting {
		arrival := s.arrival
		if s.index > 0 {
			arrival = time.Time{}
		}
		switch inst.Confirmed().Verdict(arrival, s.term, s.point) {
		case VerdictPending:
			left = append(left, s)
		case VerdictConfirmed:
			sim.acknowledge(s)
		}
	}
	inst.waiting = left
}

func (sim *leaseSimulation) acknowledge(s leaseStatement) {
	if s.index == 0 {
		if s.missed > 0 {
			sim.violation("read %d missed write %d, acknowledged before", s.id, s.missed)
		}
		return
	}
	for _, promotion := range sim.promotions {
		if promotion.Term > s.point.Term && promotion.PromotedAt.Before(s.ranAt) {
			sim.violation("write %d of term %d ran after the promotion to %d", s.id, s.point.Term, promotion.Term)
		}
	}
	sim.acked = append(sim.acked, leaseAck{s.id, s.index, sim.now})
}

// restart starts an endpoint again, as a replica if another one was promoted.
func (sim *leaseSimulation) restart(e *leaseEndpoint) {
	e.dead, e.startedAt = false, sim.now
	if sim.volatileFences {
		e.fence = 0
	}
	if n := len(sim.promotions); n > 0 && sim.promotions[n-1].Term > e.term {
		e.primary, e.term = false, sim.promotions[n-1].Term
	}
}

// injectFault injects a random fault.
func (sim *leaseSimulation) injectFault() {
	e := sim.endpoints[sim.random.IntN(3)]
	inst := sim.instances[sim.random.IntN(len(sim.instances))]
	other := string(sim.endpoints[sim.random.IntN(3)].name)
	switch sim.random.IntN(sim.faults) {
	case 0:
		e.dead = true
	case 1, 2, 3:
		if e.dead {
			sim.restart(e)
		}
	case 4:
		e.unreachable[other] = true
	case 5:
		e.unreachable[string(inst.name)] = true
	case 6, 7:
		clear(e.unreachable)
	case 8:
		inst.paused = true
	case 9:
		sim.resumeInstance(inst)
	case 10:
		sim.restoreStore()
	}
}

// The numbers of kinds of faults that a simulation injects, without and with restores of
// the store.
const (
	faultsWithoutRestore = 10
	faultsWithRestore    = 11
)

func (sim *leaseSimulation) resumeInstance(inst *leaseInstance) {
	deferred := inst.deferred
	inst.paused, inst.deferred = false, nil
	for _, run := range deferred {
		run()
	}
}

// checkLeaseSimulation injects random faults into a group and returns the numbers of
// promotions and acknowledged writes.
func checkLeaseSimulation(t *rapid.T, volatileFences bool, faults int) (promotions, acked int) {
	sim := newLeaseSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "instances"))
	sim.volatileFences, sim.faults = volatileFences, faults
	sim.load()
	for range rapid.IntRange(5, 40).Draw(t, "faults") {
		sim.injectFault()
		sim.run(time.Duration(sim.random.IntN(1500)) * time.Millisecond)
	}
	if len(sim.violations) > 0 {
		t.Fatal(strings.Join(sim.violations, "\n"))
	}
	return len(sim.promotions), len(sim.acked)
}

// TestTurnsSafety checks that no acknowledged write is lost, that no write is
// acknowledged that ran after its primary was replaced, and that no read of the newest
// data misses an acknowledged write. Endpoints die and are partitioned and instances are
// suspended, while instances hold the promotion lease one after another and promotions
// take effect late.
func TestTurnsSafety(t *testing.T) {
	promotions, acked := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		p, a := checkLeaseSimulation(t, false, faultsWithoutRestore)
		promotions, acked = promotions+p, acked+a
	})
	t.Logf("%d promotions, %d acknowledged", promotions, acked)
}

// TestTurnsSafetyWithForgottenFences checks the same as TestTurnsSafety where an endpoint
// loses its fence in a restart.
func TestTurnsSafetyWithForgottenFences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkLeaseSimulation(t, true, faultsWithoutRestore) })
}

// TestTurnsSafetyWithRestoredStore checks the same where the store also comes back from
// older copies.
func TestTurnsSafetyWithRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkLeaseSimulation(t, true, faultsWithRestore) })
}

// TestForgottenFence checks that writes acknowledged between a fence and its promotion
// survive, although a fenced replica restarts in between, loses its fence and follows
// the old primary again.
func TestForgottenFence(t *testing.T) {
	sim := newLeaseSimulation(1, 2)
	sim.volatileFences = true
	sim.load()
	sim.run(500 * time.Millisecond)
	a, b, c := sim.endpoints[0], sim.endpoints[1], sim.endpoints[2]
	b.unreachable["a"] = true // c becomes the most advanced fenced endpoint
	sim.run(100 * time.Millisecond)
	a.unreachable["0"] = true
	c.unreachable["1"] = true // the other instance does not see the fence
	for a.term >= b.fence || a.term >= c.fence {
		sim.run(time.Millisecond)
	}
	clear(b.unreachable)
	b.dead = true
	sim.run(10 * time.Millisecond)
	sim.restart(b)
	sim.run(3 * time.Second)
	if len(sim.promotions) == 0 {
		t.Fatal("nothing was promoted")
	}
	if len(sim.violations) > 0 {
		t.Error(strings.Join(sim.violations, "\n"))
	}
}
