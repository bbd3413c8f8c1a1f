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

// servant is an endpoint whose promotions are called elsewhere and whose terms that
// call gives.
type servant struct {
	name    core.Endpoint
	log     []entry
	term    uint64
	held    uint64
	primary bool
	dead    bool
	// startedAt is when the endpoint's process started last.
	startedAt time.Time
	// cut names the endpoints and the instances that it cannot reach.
	cut map[string]bool
}

func (s *servant) point() core.Point {
	p := core.Point{Position: uint64(len(s.log))}
	if len(s.log) > 0 {
		p.Term = s.log[len(s.log)-1].term
	}
	return p
}

func (s *servant) status() core.Status {
	role := core.RoleReplica
	if s.primary {
		role = core.RolePrimary
	}
	return core.Status{Role: role, Term: s.term, Fence: max(s.term, s.held), Received: uint64(len(s.log)), Applied: uint64(len(s.log)), Last: s.point()}
}

// taker is an instance that takes turns.
type taker struct {
	*Machine
	name    core.Instance
	turn    lease.Lease
	token   uint64
	asked   time.Time
	paused  bool
	held    []func()
	waiting []turnStatement
	fences  []Action
	// connected is when the connection to each endpoint was opened.
	connected map[core.Endpoint]time.Time
	reading   bool
}

// turnStatement is a write or a newest read whose answer waits for its proof.
type turnStatement struct {
	id, index int
	arrival   time.Time
	ranAt     time.Time
	term      uint64
	point     core.Point
	// missed is an acknowledged write that the read did not see.
	missed int
}

// turnAck is a write that was acknowledged.
type turnAck struct {
	id, index int
	at        time.Time
}

// turns is a group under a platform that promotes, with instances that take turns.
type turns struct {
	random    *rand.Rand
	now       time.Time
	queue     events
	number    int
	servants  []*servant
	takers    []*taker
	revision  uint64
	value     string
	lastToken uint64
	effects   []Failover
	acked     []turnAck
	written   int
	// forgets tells that an endpoint which starts again holds no fence.
	forgets bool
	faults  []string
}

func newTurns(seed uint64, instances int) *turns {
	w := &turns{random: rand.New(rand.NewPCG(seed, 1)), now: epoch}
	var members []Member
	for _, n := range []core.Endpoint{"a", "b", "c"} {
		w.servants = append(w.servants, &servant{name: n, term: 1, cut: map[string]bool{}})
		members = append(members, Member{Name: n})
	}
	w.servants[0].primary = true
	p := DefaultPeriods()
	p.Sample, p.SampleTimeout, p.Busy = time.Second, 220*time.Millisecond, 10*time.Millisecond
	p.Silence, p.Reachable, p.Doubt = 300*time.Millisecond, 3*time.Second, 220*time.Millisecond
	p.Absence, p.RankDelay, p.PromoteTimeout = 300*time.Millisecond, 50*time.Millisecond, 4*time.Second
	p.Idle, p.Pause, p.FenceTimeout = 100*time.Millisecond, time.Hour, lease.Duration
	for i := range instances {
		name := core.Instance(fmt.Sprint(i))
		m := New("g", name, WithPeriods(p), WithGivenTerms(), WithSparseSamples(), WithForgottenFences(lease.ExpireAfter), WithRandom(rand.New(rand.NewPCG(seed, uint64(i)+2))))
		m.SetRank(i, 1)
		t := &taker{Machine: m, name: name, connected: map[core.Endpoint]time.Time{}}
		t.turn.Observe(epoch, 0, "")
		w.takers = append(w.takers, t)
		w.step(t, func() []Action { return m.Configure(w.now, members) })
		w.tick(t)
	}
	w.replicate()
	return w
}

func (w *turns) after(d time.Duration, run func()) {
	w.number++
	heap.Push(&w.queue, &event{w.now.Add(d).Sub(epoch), w.number, run})
}

func (w *turns) run(d time.Duration) {
	until := w.now.Add(d)
	for len(w.queue) > 0 && w.queue[0].at <= until.Sub(epoch) {
		e := heap.Pop(&w.queue).(*event)
		w.now = epoch.Add(e.at)
		e.run()
	}
	w.now = until
}

func (w *turns) delay() time.Duration {
	return time.Millisecond + time.Duration(w.random.Int64N(int64(4*time.Millisecond)))
}

func (w *turns) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%v: ", w.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

func (w *turns) tick(t *taker) {
	w.step(t, func() []Action { return t.Tick(w.now) })
	if t.IsUnsettled() && !t.reading {
		w.settle(t)
	}
	w.after(20*time.Millisecond, func() { w.tick(t) })
}

// settle reads the turn for endpoints that may have forgotten a fence.
func (w *turns) settle(t *taker) {
	t.reading = true
	asOf := w.now
	w.after(w.delay(), func() {
		revision, value := w.revision, w.value
		w.after(w.delay(), func() {
			w.step(t, func() []Action {
				t.reading = false
				t.turn.Observe(w.now, revision, value)
				if t.turn.IsInactive(revision, asOf) {
					return t.Settled(w.now, asOf)
				}
				return nil
			})
		})
	})
}

// replicate sends every primary's log to the endpoints that take it.
func (w *turns) replicate() {
	for _, p := range w.servants {
		for _, o := range w.servants {
			takes := !o.dead && !p.cut[string(o.name)] && !o.cut[string(p.name)] && o.held <= p.term
			if !p.primary || p.dead || o == p || !takes || o.term > p.term {
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

// step gives a machine an event; on a paused instance it waits.
func (w *turns) step(t *taker, f func() []Action) {
	if t.paused {
		t.held = append(t.held, func() { w.step(t, f) })
		return
	}
	actions := f()
	w.judge(t)
	t.fences = nil
	for _, a := range actions {
		if a.Kind == ActionFence {
			t.fences = append(t.fences, a)
			continue
		}
		w.act(t, a)
	}
	if len(t.fences) > 0 {
		w.takeTurn(t, t.fences)
	}
}

// call runs a request on an endpoint and steps the machine with the answer, or with
// the failure after a while.
func (w *turns) call(t *taker, name core.Endpoint, request func(s *servant) func() []Action, failed func() []Action) {
	s := w.servant(name)
	w.after(w.delay(), func() {
		if s.dead || s.cut[string(t.name)] {
			w.after(200*time.Millisecond, func() { w.step(t, failed) })
			return
		}
		if !t.connected[name].After(s.startedAt) {
			t.connected[name] = w.now
		}
		opened := t.connected[name]
		answer := request(s)
		w.after(w.delay(), func() {
			if s.cut[string(t.name)] {
				w.after(200*time.Millisecond, func() { w.step(t, failed) })
				return
			}
			w.step(t, func() []Action {
				t.Runs(name, opened)
				return answer()
			})
		})
	})
}

func (w *turns) servant(name core.Endpoint) *servant {
	for _, s := range w.servants {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (w *turns) act(t *taker, a Action) {
	sentAt := w.now
	failed := func() []Action { return t.SampleFailed(w.now, a.Endpoint, sentAt, FailureTimeout) }
	switch a.Kind {
	case ActionSample:
		w.call(t, a.Endpoint, func(s *servant) func() []Action {
			status := s.status()
			return func() []Action { return t.Sampled(w.now, a.Endpoint, sentAt, status) }
		}, failed)
	case ActionWitness:
		w.call(t, a.Endpoint, func(s *servant) func() []Action {
			primary, point := s.primary, s.point()
			return func() []Action {
				if !primary {
					return t.Unwitnessed(w.now, a.Endpoint, sentAt)
				}
				return t.Witnessed(w.now, a.Endpoint, sentAt, point)
			}
		}, failed)
	case ActionPromote:
		w.promote(t, a)
	}
}

// takeTurn takes the turn and then fences, as an instance does.
func (w *turns) takeTurn(t *taker, fences []Action) {
	hold := func(d time.Duration) { w.step(t, func() []Action { return t.Hold(w.now, d) }) }
	if d := t.turn.AcquireDelay(w.now, string(t.name)); d > 0 {
		hold(d)
		return
	}
	w.after(w.delay(), func() {
		revision, value := w.revision, w.value
		w.after(w.delay(), func() {
			w.step(t, func() []Action {
				t.turn.Observe(w.now, revision, value)
				if d := t.turn.AcquireDelay(w.now, string(t.name)); d > 0 {
					return t.Hold(w.now, d)
				}
				w.swap(t, revision, w.now, fences)
				return nil
			})
		})
	})
}

func (w *turns) swap(t *taker, revision uint64, asked time.Time, fences []Action) {
	// The store may carry the change out late.
	late := time.Duration(0)
	if w.random.IntN(5) == 0 {
		late = time.Duration(w.random.Int64N(int64(3 * time.Second)))
	}
	w.after(w.delay()+late, func() {
		won := w.revision == revision
		if won {
			w.revision++
			w.value = string(t.name)
		}
		token := w.revision
		w.after(w.delay(), func() {
			w.step(t, func() []Action {
				if !won || w.now.Sub(asked) >= lease.Duration {
					return t.Hold(w.now, 50*time.Millisecond)
				}
				t.token, t.asked = token, asked
				for _, a := range fences {
					w.fence(t, a)
				}
				return nil
			})
		})
	})
}

func (w *turns) fence(t *taker, a Action) {
	w.call(t, a.Endpoint, func(s *servant) func() []Action {
		if s.primary && a.Term > s.term {
			s.primary = false
		}
		s.held = max(s.held, a.Term)
		status := s.status()
		return func() []Action { return t.Fenced(w.now, a.Endpoint, a.Term, status, status.Fence >= a.Term) }
	}, func() []Action { return t.Fenced(w.now, a.Endpoint, a.Term, core.Status{}, false) })
}

// promote calls the platform, which makes the endpoint lead the next term some
// hundred milliseconds later.
func (w *turns) promote(t *taker, a Action) {
	done := func(ok bool, s core.Status) {
		w.step(t, func() []Action { return t.PromoteDone(w.now, a.Endpoint, a.Term, ok, s) })
	}
	if lease.Remaining(w.now, t.asked) == 0 {
		w.after(w.delay(), func() { done(false, core.Status{}) })
		return
	}
	token := t.token
	w.after(w.delay(), func() {
		if token < w.lastToken {
			w.fault("token %d after %d", token, w.lastToken)
		}
		w.lastToken = token
		w.after(300*time.Millisecond+time.Duration(w.random.Int64N(int64(600*time.Millisecond))), func() {
			s := w.servant(a.Endpoint)
			if s.dead {
				return
			}
			term := uint64(0)
			for _, o := range w.servants {
				term = max(term, o.term)
			}
			s.term, s.primary, s.held = term+1, true, 0
			w.effects = append(w.effects, Failover{Term: s.term, Endpoint: s.name, PromotedAt: w.now})
			if id := w.missing(s.log, w.now.Add(1)); id != 0 {
				w.fault("write %d lost by %s in term %d", id, s.name, s.term)
			}
			for _, o := range w.servants {
				if o != s && !o.primary && !o.dead {
					o.term, o.held = s.term, 0
				}
			}
			status := s.status()
			w.after(w.delay(), func() {
				w.markOver(token)
				done(true, status)
			})
		})
	})
	w.after(4*time.Second, func() { done(false, core.Status{}) })
}

// markOver tells that a turn's promotion took effect; the store may miss it.
func (w *turns) markOver(token uint64) {
	w.after(w.delay(), func() {
		if w.revision == token && w.random.IntN(3) > 0 {
			w.revision++
			w.value = lease.Released(w.value)
		}
	})
}

// missing returns a write that was acknowledged before a time and is not in a log.
func (w *turns) missing(log []entry, before time.Time) int {
	for _, a := range w.acked {
		if a.at.Before(before) && (len(log) < a.index || log[a.index-1].id != a.id) {
			return a.id
		}
	}
	return 0
}

// load submits a write or a newest read through a random instance every few
// milliseconds.
func (w *turns) load() {
	w.submit(w.takers[w.random.IntN(len(w.takers))], w.random.IntN(2) == 0)
	w.after(time.Duration(2+w.random.IntN(30))*time.Millisecond, w.load)
}

func (w *turns) submit(t *taker, isRead bool) {
	term, primary := t.Primary()
	if t.paused || primary == "" || t.Confirmed().Closed {
		return
	}
	w.written++
	s := turnStatement{id: w.written, arrival: w.now, term: term}
	if isRead {
		w.step(t, func() []Action { return t.Wanted(w.now, Want{AsOf: s.arrival}) })
	}
	w.call(t, primary, func(f *servant) func() []Action {
		s.ranAt = w.now
		if isRead {
			s.missed, s.point = w.missing(f.log, s.arrival), core.Point{Term: term}
			return func() []Action { t.waiting = append(t.waiting, s); return nil }
		}
		if !f.primary {
			return func() []Action { return t.Unwitnessed(w.now, primary, s.arrival) }
		}
		f.log = append(f.log, entry{f.term, s.id})
		s.index, s.point = len(f.log), f.point()
		return func() []Action {
			t.waiting = append(t.waiting, s)
			return append(t.Witnessed(w.now, primary, s.arrival, s.point), t.Wanted(w.now, Want{Point: s.point})...)
		}
	}, func() []Action { return t.Evidence(w.now, primary, FailureTimeout) })
}

// judge answers the statements that wait at an instance.
func (w *turns) judge(t *taker) {
	var left []turnStatement
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

func (w *turns) acknowledge(s turnStatement) {
	if s.index == 0 {
		if s.missed > 0 {
			w.fault("read %d missed write %d, acknowledged before", s.id, s.missed)
		}
		return
	}
	for _, e := range w.effects {
		if e.Term > s.point.Term && e.PromotedAt.Before(s.ranAt) {
			w.fault("write %d of term %d ran after the promotion to %d", s.id, s.point.Term, e.Term)
		}
	}
	w.acked = append(w.acked, turnAck{s.id, s.index, w.now})
}

// restart starts an endpoint again, as a replica if another one was promoted.
func (w *turns) restart(s *servant) {
	s.dead, s.startedAt = false, w.now
	if w.forgets {
		s.held = 0
	}
	if n := len(w.effects); n > 0 && w.effects[n-1].Term > s.term {
		s.primary, s.term = false, w.effects[n-1].Term
	}
}

// disturb applies a random fault.
func (w *turns) disturb() {
	s := w.servants[w.random.IntN(3)]
	t := w.takers[w.random.IntN(len(w.takers))]
	other := string(w.servants[w.random.IntN(3)].name)
	switch w.random.IntN(10) {
	case 0:
		s.dead = true
	case 1, 2, 3:
		if s.dead {
			w.restart(s)
		}
	case 4:
		s.cut[other] = true
	case 5:
		s.cut[string(t.name)] = true
	case 6, 7:
		clear(s.cut)
	case 8:
		t.paused = true
	case 9:
		w.resume(t)
	}
}

func (w *turns) resume(t *taker) {
	held := t.held
	t.paused, t.held = false, nil
	for _, run := range held {
		run()
	}
}

// checkTurns strikes a group with random faults and returns what it promoted and
// acknowledged.
func checkTurns(t *rapid.T, forgets bool) (effects, acked int) {
	w := newTurns(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "instances"))
	w.forgets = forgets
	w.load()
	for range rapid.IntRange(5, 40).Draw(t, "faults") {
		w.disturb()
		w.run(time.Duration(w.random.IntN(1500)) * time.Millisecond)
	}
	if len(w.faults) > 0 {
		t.Fatal(strings.Join(w.faults, "\n"))
	}
	return len(w.effects), len(w.acked)
}

// TestTurnsSafety never loses an acknowledged write, acknowledges one that ran after
// its primary was replaced, or answers a newest read without one, whatever dies, is
// cut off or is paused while instances take turns at promotions that come late.
func TestTurnsSafety(t *testing.T) {
	effects, acked := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		e, a := checkTurns(t, false)
		effects, acked = effects+e, acked+a
	})
	t.Logf("%d promotions, %d acknowledged", effects, acked)
}

// TestTurnsSafetyWithForgottenFences is the same where an endpoint that starts again
// holds no fence.
func TestTurnsSafetyWithForgottenFences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkTurns(t, true) })
}

// TestForgottenFence keeps the writes that are acknowledged between a fence and its
// promotion, though a fenced replica starts again meanwhile and follows the old
// primary once more.
func TestForgottenFence(t *testing.T) {
	w := newTurns(1, 2)
	w.forgets = true
	w.load()
	w.run(500 * time.Millisecond)
	a, b, c := w.servants[0], w.servants[1], w.servants[2]
	b.cut["a"] = true // so that c is the more advanced of the fenced
	w.run(100 * time.Millisecond)
	a.cut["0"] = true
	c.cut["1"] = true // so that the other instance does not hear of the fence
	for a.term >= b.held || a.term >= c.held {
		w.run(time.Millisecond)
	}
	clear(b.cut)
	b.dead = true
	w.run(10 * time.Millisecond)
	w.restart(b)
	w.run(3 * time.Second)
	if len(w.effects) == 0 {
		t.Fatal("nothing was promoted")
	}
	if len(w.faults) > 0 {
		t.Error(strings.Join(w.faults, "\n"))
	}
}
