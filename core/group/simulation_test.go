package group

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"anviltack/core"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_000_000, 0)

type statement struct {
	id      int
	arrival time.Time
	term    uint64
	point   core.Point
	// index is the length of the log after a write, zero for a read.
	index int
	// missed is the id of an acknowledged write that a read did not see.
	missed int
}

// ack is an acknowledged write.
type ack struct {
	id, index int
	term      uint64
	at        time.Time
}

// simInstance runs a machine in virtual time.
type simInstance struct {
	*Machine
	number   int
	paused   bool
	deferred []func()
	waiting  []statement
	// lostRequests and lostAnswers hold the endpoints to which requests and from which
	// answers get lost.
	lostRequests, lostAnswers map[core.Endpoint]bool
	// pauseBeforePromoting suspends the instance just before it sends its next
	// promotion.
	pauseBeforePromoting bool
	nextWake             time.Time
}

type event struct {
	at     time.Duration
	number int
	run    func()
}

type events []*event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simulation is a group with its instances and callers in virtual time.
type simulation struct {
	random     *rand.Rand
	now        time.Time
	queue      events
	number     int
	endpoints  []*simEndpoint
	instances  []*simInstance
	jitter     time.Duration
	promotions []Failover
	acked      []ack
	unknown    int
	written    int
	noPeers    bool
	members    []Member
	readsOnly  bool
	out        strings.Builder
	violations []string
}

func newSimulation(seed uint64, instances int) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: epoch, jitter: time.Millisecond,
	}
	for _, n := range []core.Endpoint{"a", "b", "c"} {
		e := &simEndpoint{name: n, fence: 1, term: 1, next: map[core.Endpoint]int{}, unreachable: map[core.Endpoint]bool{}, pushed: map[core.Endpoint]time.Time{}}
		sim.endpoints = append(sim.endpoints, e)
		sim.members = append(sim.members, Member{Name: n, DataCentre: core.DataCentre(n)})
		sim.replicate(e)
	}
	sim.endpoints[0].primary = true
	for i := range instances {
		m := New("g", core.Instance(fmt.Sprint(i)), WithRandom(rand.New(rand.NewPCG(seed, uint64(i)+2))))
		m.SetRank(i, instances)
		inst := &simInstance{Machine: m, number: i, lostRequests: map[core.Endpoint]bool{}, lostAnswers: map[core.Endpoint]bool{}}
		sim.instances = append(sim.instances, inst)
		sim.step(inst, func() []Action { return m.Configure(sim.now, slices.Clone(sim.members)) })
	}
	return sim
}

func (sim *simulation) violation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

func (sim *simulation) note(format string, args ...any) {
	fmt.Fprintf(&sim.out, "%v: %s\n", sim.now.Sub(epoch).Round(time.Millisecond), fmt.Sprintf(format, args...))
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.number++
	heap.Push(&sim.queue, &event{sim.now.Add(d).Sub(epoch), sim.number, run})
}

func (sim *simulation) delay() time.Duration {
	return time.Millisecond + time.Duration(sim.random.Int64N(int64(sim.jitter)))
}

func (sim *simulation) run(d time.Duration) {
	until := sim.now.Add(d)
	for len(sim.queue) > 0 && sim.queue[0].at <= until.Sub(epoch) {
		e := heap.Pop(&sim.queue).(*event)
		sim.now = epoch.Add(e.at)
		e.run()
	}
	sim.now = until
}

func (sim *simulation) endpoint(name core.Endpoint) *simEndpoint {
	for _, e := range sim.endpoints {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (sim *simulation) resumeInstance(inst *simInstance) {
	deferred := inst.deferred
	inst.paused, inst.deferred = false, nil
	for _, run := range deferred {
		run()
	}
}

// step hands an event to a machine and performs its actions. While the instance is
// paused, the event is deferred.
func (sim *simulation) step(inst *simInstance, f func() []Action) {
	if inst.paused {
		inst.deferred = append(inst.deferred, func() { sim.step(inst, f) })
		return
	}
	actions := f()
	sim.answerStatements(inst)
	for _, a := range actions {
		sim.perform(inst, a)
	}
	if next := inst.NextTick(); inst.nextWake.IsZero() || next.Before(inst.nextWake) {
		inst.nextWake = next
		sim.after(next.Sub(sim.now), func() {
			if inst.nextWake.Equal(next) {
				inst.nextWake = time.Time{}
			}
			sim.step(inst, func() []Action { return inst.Tick(sim.now) })
		})
	}
}

// call sends a request to an endpoint and steps the machine with the answer.
func (sim *simulation) call(inst *simInstance, name core.Endpoint, request func(e *simEndpoint) func() []Action, refused func() []Action) {
	e := sim.endpoint(name)
	if inst.lostRequests[name] {
		return
	}
	sim.after(sim.delay(), func() {
		if e.dead {
			sim.after(sim.delay(), func() { sim.step(inst, refused) })
			return
		}
		e.execute(func() {
			answer := request(e)
			if !inst.lostAnswers[name] {
				sim.after(sim.delay(), func() { sim.step(inst, answer) })
			}
		})
	})
}

func (sim *simulation) perform(inst *simInstance, a Action) {
	sentAt := sim.now
	switch a.Kind {
	case ActionSample:
		sim.call(inst, a.Endpoint, func(e *simEndpoint) func() []Action {
			s := e.status()
			return func() []Action { return inst.Sampled(sim.now, a.Endpoint, sentAt, s) }
		}, func() []Action { return inst.SampleFailed(sim.now, a.Endpoint, sentAt, OutcomeRefused) })
	case ActionFence:
		sim.call(inst, a.Endpoint, func(e *simEndpoint) func() []Action {
			ok := a.Term > e.fence
			e.fence = max(e.fence, a.Term)
			s := e.status()
			return func() []Action { return inst.FenceDone(sim.now, a.Endpoint, a.Term, s, ok) }
		}, func() []Action { return inst.FenceDone(sim.now, a.Endpoint, a.Term, core.Status{}, false) })
	case ActionPromote:
		if inst.pauseBeforePromoting {
			inst.pauseBeforePromoting, inst.paused = false, true
			inst.deferred = append(inst.deferred, func() { sim.perform(inst, a) })
			return
		}
		sim.call(inst, a.Endpoint, func(e *simEndpoint) func() []Action {
			ok := sim.promote(inst, e, a.Term)
			s := e.status()
			return func() []Action { return inst.PromoteDone(sim.now, a.Endpoint, a.Term, ok, s) }
		}, func() []Action { return inst.PromoteDone(sim.now, a.Endpoint, a.Term, false, core.Status{}) })
	case ActionAskOpinions:
		sim.askOpinions(inst)
	case ActionAnnounce:
		for _, q := range sim.instances {
			if q != inst && !sim.noPeers {
				sim.after(sim.delay(), func() {
					sim.step(q, func() []Action { return q.PromotionAnnounced(sim.now, a.Term, a.Endpoint) })
				})
			}
		}
	}
}

func (sim *simulation) askOpinions(inst *simInstance) {
	for _, q := range sim.instances {
		if q == inst || sim.noPeers {
			continue
		}
		sim.after(sim.delay(), func() {
			sim.step(q, func() []Action {
				o := q.Opinion(sim.now)
				sim.after(sim.delay(), func() {
					sim.step(inst, func() []Action { return inst.OpinionsReceived(sim.now, []Opinion{o}) })
				})
				return nil
			})
		})
	}
}

// promote makes an endpoint primary and checks that no acknowledged write is lost and
// no term promoted twice.
func (sim *simulation) promote(inst *simInstance, e *simEndpoint, term uint64) bool {
	if e.fence != term || e.term >= term {
		sim.note("%s refuses promotion at %d by %d, fence %d", e.name, term, inst.number, e.fence)
		return false
	}
	for _, o := range sim.promotions {
		if o.Term == term {
			sim.violation("term %d promoted twice", term)
		}
	}
	sim.promotions = append(sim.promotions, Failover{Term: term, Endpoint: e.name, PromotedAt: sim.now})
	sim.note("%s promoted at %d by %d: %s", e.name, term, inst.number, inst.reason())
	e.primary, e.term = true, term
	e.log = append(e.log, entry{term, -1})
	for _, o := range sim.endpoints {
		e.next[o.name] = len(e.log) - 1
		delete(e.pushed, o.name)
	}
	sim.checkAcknowledged(e)
	return true
}

func (inst *simInstance) reason() Reason {
	if inst.attempt == nil {
		return "late"
	}
	return inst.attempt.reason
}

// missing returns the id of a write that was acknowledged before a time in a term lower
// than term and is not in the log, or zero.
func (sim *simulation) missing(log []entry, before time.Time, term uint64) int {
	for _, a := range sim.acked {
		if a.at.Before(before) && a.term < term && (len(log) < a.index || log[a.index-1].id != a.id) {
			return a.id
		}
	}
	return 0
}

// checkAcknowledged checks that a primary has every write acknowledged in a lower term.
// A promotion that takes effect late may lack writes of higher terms: nothing written
// to it can be acknowledged.
func (sim *simulation) checkAcknowledged(e *simEndpoint) {
	if id := sim.missing(e.log, sim.now.Add(1), e.term); id != 0 {
		sim.violation("write %d lost by %s at term %d", id, e.name, e.term)
		sim.acked = nil
	}
}

// submit sends a write or a read through an instance.
func (sim *simulation) submit(inst *simInstance, isRead bool) {
	term, primary := inst.Primary()
	if inst.paused || primary == "" || inst.Confirmed().Closed {
		return
	}
	sim.written++
	s := statement{id: sim.written, arrival: sim.now, term: term}
	sim.call(inst, primary, func(e *simEndpoint) func() []Action {
		if !e.primary || !isRead && e.fence != e.term {
			return func() []Action { return nil }
		}
		if isRead {
			s.missed = sim.missing(e.log, s.arrival, math.MaxUint64)
		} else {
			e.log = append(e.log, entry{e.term, s.id})
			s.index = len(e.log)
		}
		sentAt, status := sim.now, e.status()
		return func() []Action {
			s.point = status.Durable()
			inst.waiting = append(inst.waiting, s)
			inst.Machine.waiting = len(inst.waiting)
			return inst.Sampled(sim.now, primary, sentAt, status)
		}
	}, func() []Action { return inst.TrafficOutcome(sim.now, primary, OutcomeRefused) })
}

// answerStatements answers the waiting statements of an instance according to their
// verdicts.
func (sim *simulation) answerStatements(inst *simInstance) {
	var left []statement
	for _, s := range inst.waiting {
		switch inst.Confirmed().Verdict(s.arrival, s.term, s.point) {
		case VerdictPending:
			left = append(left, s)
		case VerdictUnknown:
			sim.unknown++
		case VerdictConfirmed:
			sim.acknowledge(s)
		}
	}
	inst.waiting = left
	inst.Machine.waiting = len(left)
}

func (sim *simulation) acknowledge(s statement) {
	for _, o := range sim.promotions {
		if o.Term > s.point.Term && !o.PromotedAt.After(s.arrival) {
			sim.violation("statement %d answered by the replaced primary of term %d", s.id, s.point.Term)
		}
	}
	if s.index > 0 {
		sim.acked = append(sim.acked, ack{s.id, s.index, s.point.Term, sim.now})
	} else if s.missed > 0 {
		sim.violation("read %d missed write %d, acknowledged before", s.id, s.missed)
	}
}

// markLeaving marks an endpoint as leaving on every instance.
func (sim *simulation) markLeaving(name core.Endpoint) {
	for i, m := range sim.members {
		if m.Name == name {
			sim.members[i].Leaving = true
		}
	}
	for _, inst := range sim.instances {
		sim.step(inst, func() []Action { return inst.Configure(sim.now, slices.Clone(sim.members)) })
	}
}
