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
	w := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: epoch, jitter: time.Millisecond,
	}
	for _, n := range []core.Endpoint{"a", "b", "c"} {
		f := &simEndpoint{name: n, fence: 1, term: 1, next: map[core.Endpoint]int{}, unreachable: map[core.Endpoint]bool{}, pushed: map[core.Endpoint]time.Time{}}
		w.endpoints = append(w.endpoints, f)
		w.members = append(w.members, Member{Name: n, DataCentre: core.DataCentre(n)})
		w.replicate(f)
	}
	w.endpoints[0].primary = true
	for i := range instances {
		m := New("g", core.Instance(fmt.Sprint(i)), WithRandom(rand.New(rand.NewPCG(seed, uint64(i)+2))))
		m.SetRank(i, instances)
		p := &simInstance{Machine: m, number: i, lostRequests: map[core.Endpoint]bool{}, lostAnswers: map[core.Endpoint]bool{}}
		w.instances = append(w.instances, p)
		w.step(p, func() []Action { return m.Configure(w.now, slices.Clone(w.members)) })
	}
	return w
}

func (w *simulation) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

func (w *simulation) note(format string, args ...any) {
	fmt.Fprintf(&w.out, "%v: %s\n", w.now.Sub(epoch).Round(time.Millisecond), fmt.Sprintf(format, args...))
}

func (w *simulation) after(d time.Duration, run func()) {
	w.number++
	heap.Push(&w.queue, &event{w.now.Add(d).Sub(epoch), w.number, run})
}

func (w *simulation) delay() time.Duration {
	return time.Millisecond + time.Duration(w.random.Int64N(int64(w.jitter)))
}

func (w *simulation) run(d time.Duration) {
	until := w.now.Add(d)
	for len(w.queue) > 0 && w.queue[0].at <= until.Sub(epoch) {
		e := heap.Pop(&w.queue).(*event)
		w.now = epoch.Add(e.at)
		e.run()
	}
	w.now = until
}

func (w *simulation) endpoint(name core.Endpoint) *simEndpoint {
	for _, f := range w.endpoints {
		if f.name == name {
			return f
		}
	}
	return nil
}

func (w *simulation) resumeInstance(p *simInstance) {
	held := p.deferred
	p.paused, p.deferred = false, nil
	for _, run := range held {
		run()
	}
}

// step hands an event to a machine and performs its actions. While the instance is
// paused, both are deferred.
func (w *simulation) step(p *simInstance, f func() []Action) {
	if p.paused {
		p.deferred = append(p.deferred, func() { w.step(p, f) })
		return
	}
	actions := f()
	w.answerStatements(p)
	for _, a := range actions {
		w.perform(p, a)
	}
	if next := p.NextTick(); p.nextWake.IsZero() || next.Before(p.nextWake) {
		p.nextWake = next
		w.after(next.Sub(w.now), func() {
			if p.nextWake.Equal(next) {
				p.nextWake = time.Time{}
			}
			w.step(p, func() []Action { return p.Tick(w.now) })
		})
	}
}

// call sends a request to an endpoint and steps the machine with the answer.
func (w *simulation) call(p *simInstance, name core.Endpoint, request func(f *simEndpoint) func() []Action, refused func() []Action) {
	f := w.endpoint(name)
	if p.lostRequests[name] {
		return
	}
	w.after(w.delay(), func() {
		if f.dead {
			w.after(w.delay(), func() { w.step(p, refused) })
			return
		}
		f.execute(func() {
			answer := request(f)
			if !p.lostAnswers[name] {
				w.after(w.delay(), func() { w.step(p, answer) })
			}
		})
	})
}

func (w *simulation) perform(p *simInstance, a Action) {
	sentAt := w.now
	switch a.Kind {
	case ActionSample:
		w.call(p, a.Endpoint, func(f *simEndpoint) func() []Action {
			s := f.status()
			return func() []Action { return p.Sampled(w.now, a.Endpoint, sentAt, s) }
		}, func() []Action { return p.SampleFailed(w.now, a.Endpoint, sentAt, OutcomeRefused) })
	case ActionFence:
		w.call(p, a.Endpoint, func(f *simEndpoint) func() []Action {
			ok := a.Term > f.fence
			f.fence = max(f.fence, a.Term)
			s := f.status()
			return func() []Action { return p.FenceDone(w.now, a.Endpoint, a.Term, s, ok) }
		}, func() []Action { return p.FenceDone(w.now, a.Endpoint, a.Term, core.Status{}, false) })
	case ActionPromote:
		if p.pauseBeforePromoting {
			p.pauseBeforePromoting, p.paused = false, true
			p.deferred = append(p.deferred, func() { w.perform(p, a) })
			return
		}
		w.call(p, a.Endpoint, func(f *simEndpoint) func() []Action {
			ok := w.promote(p, f, a.Term)
			s := f.status()
			return func() []Action { return p.PromoteDone(w.now, a.Endpoint, a.Term, ok, s) }
		}, func() []Action { return p.PromoteDone(w.now, a.Endpoint, a.Term, false, core.Status{}) })
	case ActionAskOpinions:
		w.askOpinions(p)
	case ActionAnnounce:
		for _, q := range w.instances {
			if q != p && !w.noPeers {
				w.after(w.delay(), func() {
					w.step(q, func() []Action { return q.PromotionAnnounced(w.now, a.Term, a.Endpoint) })
				})
			}
		}
	}
}

func (w *simulation) askOpinions(p *simInstance) {
	for _, q := range w.instances {
		if q == p || w.noPeers {
			continue
		}
		w.after(w.delay(), func() {
			w.step(q, func() []Action {
				o := q.Opinion(w.now)
				w.after(w.delay(), func() {
					w.step(p, func() []Action { return p.OpinionsReceived(w.now, []Opinion{o}) })
				})
				return nil
			})
		})
	}
}

// promote makes an endpoint primary and checks that no acknowledged write is lost and
// no term promoted twice.
func (w *simulation) promote(p *simInstance, f *simEndpoint, term uint64) bool {
	if f.fence != term || f.term >= term {
		w.note("%s refuses promotion at %d by %d, fence %d", f.name, term, p.number, f.fence)
		return false
	}
	for _, o := range w.promotions {
		if o.Term == term {
			w.violation("term %d promoted twice", term)
		}
	}
	w.promotions = append(w.promotions, Failover{Term: term, Endpoint: f.name, PromotedAt: w.now})
	w.note("%s promoted at %d by %d: %s", f.name, term, p.number, p.reason())
	f.primary, f.term = true, term
	f.log = append(f.log, entry{term, -1})
	for _, o := range w.endpoints {
		f.next[o.name] = len(f.log) - 1
		delete(f.pushed, o.name)
	}
	w.checkAcknowledged(f)
	return true
}

func (p *simInstance) reason() Reason {
	if p.attempt == nil {
		return "late"
	}
	return p.attempt.reason
}

// missing returns the id of a write that was acknowledged before a time in a term lower
// than term and is not in the log, or zero.
func (w *simulation) missing(log []entry, before time.Time, term uint64) int {
	for _, a := range w.acked {
		if a.at.Before(before) && a.term < term && (len(log) < a.index || log[a.index-1].id != a.id) {
			return a.id
		}
	}
	return 0
}

// checkAcknowledged checks that a primary has every write acknowledged in a lower term.
// A promotion that takes effect late may lack writes of higher terms: nothing written
// to it can be acknowledged.
func (w *simulation) checkAcknowledged(f *simEndpoint) {
	if id := w.missing(f.log, w.now.Add(1), f.term); id != 0 {
		w.violation("write %d lost by %s at term %d", id, f.name, f.term)
		w.acked = nil
	}
}

// submit sends a write or a read through an instance.
func (w *simulation) submit(p *simInstance, isRead bool) {
	term, primary := p.Primary()
	if p.paused || primary == "" || p.Confirmed().Closed {
		return
	}
	w.written++
	s := statement{id: w.written, arrival: w.now, term: term}
	w.call(p, primary, func(f *simEndpoint) func() []Action {
		if !f.primary || !isRead && f.fence != f.term {
			return func() []Action { return nil }
		}
		if isRead {
			s.missed = w.missing(f.log, s.arrival, math.MaxUint64)
		} else {
			f.log = append(f.log, entry{f.term, s.id})
			s.index = len(f.log)
		}
		sentAt, status := w.now, f.status()
		return func() []Action {
			s.point = status.Durable()
			p.waiting = append(p.waiting, s)
			p.Machine.waiting = len(p.waiting)
			return p.Sampled(w.now, primary, sentAt, status)
		}
	}, func() []Action { return p.TrafficOutcome(w.now, primary, OutcomeRefused) })
}

// answerStatements answers the waiting statements of an instance according to their
// verdicts.
func (w *simulation) answerStatements(p *simInstance) {
	var left []statement
	for _, s := range p.waiting {
		switch p.Confirmed().Verdict(s.arrival, s.term, s.point) {
		case VerdictPending:
			left = append(left, s)
		case VerdictUnknown:
			w.unknown++
		case VerdictConfirmed:
			w.acknowledge(s)
		}
	}
	p.waiting = left
	p.Machine.waiting = len(left)
}

func (w *simulation) acknowledge(s statement) {
	for _, o := range w.promotions {
		if o.Term > s.point.Term && !o.PromotedAt.After(s.arrival) {
			w.violation("statement %d answered by the replaced primary of term %d", s.id, s.point.Term)
		}
	}
	if s.index > 0 {
		w.acked = append(w.acked, ack{s.id, s.index, s.point.Term, w.now})
	} else if s.missed > 0 {
		w.violation("read %d missed write %d, acknowledged before", s.id, s.missed)
	}
}

// markLeaving marks an endpoint as leaving on every instance.
func (w *simulation) markLeaving(name core.Endpoint) {
	for i, m := range w.members {
		if m.Name == name {
			w.members[i].Leaving = true
		}
	}
	for _, p := range w.instances {
		w.step(p, func() []Action { return p.Configure(w.now, slices.Clone(w.members)) })
	}
}
