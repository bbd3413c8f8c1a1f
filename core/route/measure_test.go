package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"anviltack/core"
	"anviltack/core/mark"
)

const (
	simGroup   = core.Group("index-1")
	simSlots   = 3
	simWork    = 500 * time.Microsecond
	simOneWay  = 1500 * time.Microsecond
	simInside  = 100 * time.Microsecond
	simAck     = 4 * time.Millisecond
	simCaller  = 2 * time.Millisecond
	simRun     = 3 * time.Second
	simWarm    = time.Second
	simAlpha   = 0.2
	simTimeout = time.Second
	simRetry   = time.Millisecond
)

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	l := len(*e) - 1
	x := (*e)[l]
	*e = (*e)[:l]
	return x
}

// simEndpoint holds entry k of the group's log at held[k] and shows it at
// shown[k].
type simEndpoint struct {
	Candidate
	oneWay  time.Duration
	lag     time.Duration
	held    []time.Time
	shown   []time.Time
	free    [simSlots]time.Time
	pace    Pace
	polling bool
}

// reached counts the entries whose time is not after t.
func reached(times []time.Time, t time.Time) uint64 {
	n, _ := slices.BinarySearchFunc(times, t, func(s, t time.Time) int {
		if s.After(t) {
			return 1
		}
		return -1
	})
	return uint64(n)
}

func (e *simEndpoint) status(t time.Time) core.Status {
	held := reached(e.held, t)
	return core.Status{
		Role: e.Role, Fence: 1, Term: 1, Received: held, Applied: reached(e.shown, t),
		Last: core.Point{Term: 1, Position: held},
	}
}

type simTally struct {
	reads, replica, wrong int
	latency               []time.Duration
}

func (y *simTally) add(action Action, d time.Duration, right bool) {
	y.reads++
	if action == ActionReplica {
		y.replica++
	}
	if !right {
		y.wrong++
	}
	y.latency = append(y.latency, d)
}

func (y *simTally) text() string {
	slices.Sort(y.latency)
	at := func(q int) float64 {
		return float64(y.latency[len(y.latency)*q/100].Microseconds()) / 1000
	}
	return fmt.Sprintf("%5.1f%% p50 %4.1f p99 %5.1f wrong %d", 100*float64(y.replica)/float64(y.reads), at(50), at(99), y.wrong)
}

// sim is one instance in front of one group in virtual time.
type sim struct {
	now       time.Time
	queue     events
	random    *rand.Rand
	endpoints []*simEndpoint
	tracker   *mark.Tracker
	router    *Router
	period    time.Duration
	acks      []time.Time
	polls     int
	old, own  simTally
}

func newSim(lags []time.Duration, period time.Duration, options ...Option) *sim {
	s := &sim{now: start, random: rand.New(rand.NewPCG(7, 11)), period: period}
	s.router = NewRouter(rand.New(rand.NewPCG(1, 2)), append(options, WithDataCentre("bkk-a"))...)
	var names []core.Endpoint
	for i, dc := range []core.DataCentre{"bkk-a", "bkk-b", "nonth-a"} {
		e := &simEndpoint{oneWay: simOneWay, lag: lags[i]}
		e.Candidate = Candidate{Endpoint: core.Endpoint(dc), DataCentre: dc, Role: core.RoleReplica, Slots: simSlots}
		if lags[i] == 0 {
			e.Role = core.RolePrimary
		}
		if dc == "bkk-a" {
			e.oneWay = simInside
		}
		s.endpoints = append(s.endpoints, e)
		names = append(names, e.Endpoint)
	}
	s.tracker = mark.NewTracker(names...)
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	heap.Push(&s.queue, event{at: s.now.Add(d), do: do})
}

func (s *sim) every(mean time.Duration, exponential bool, do func()) {
	d := mean
	if exponential {
		d = time.Duration(s.random.ExpFloat64() * float64(mean))
	}
	s.after(d, func() {
		do()
		s.every(mean, exponential, do)
	})
}

func (s *sim) run() {
	end := start.Add(simRun)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

// write appends an entry, and its session reads it back once it is acknowledged.
func (s *sim) write() {
	for _, e := range s.endpoints {
		held, t := s.now, s.now
		if e.Role == core.RoleReplica {
			held = held.Add(simOneWay)
			t = held.Add(time.Duration((0.5 + s.random.ExpFloat64()/2) * float64(e.lag)))
		}
		e.held = append(e.held, held)
		if n := len(e.shown); n > 0 {
			t = latest(t, e.shown[n-1])
		}
		e.shown = append(e.shown, t)
	}
	p := core.Point{Term: 1, Position: uint64(len(s.endpoints[0].shown))}
	s.after(simAck, func() {
		s.acks = append(s.acks, s.now)
		s.expect(p)
		s.after(simCaller, func() { s.read(mark.Need{Point: p, Since: start}, &s.own) })
	})
}

func (s *sim) expect(p core.Point) {
	for _, e := range s.endpoints {
		e.pace.Expect(p, s.now)
	}
}

func (s *sim) observe(e *simEndpoint, sent time.Time, st core.Status) {
	p := st.Visible()
	s.tracker.Observe(e.Endpoint, sent, st)
	e.pace.Observe(p, sent)
	if e.Visible.Position <= p.Position {
		e.Visible, e.Sampled = p, sent
	}
}

func (s *sim) poll(e *simEndpoint) {
	if e.polling {
		return
	}
	e.polling = true
	s.polls++
	sent := s.now
	s.after(e.oneWay, func() {
		st := e.status(s.now)
		s.after(e.oneWay, func() {
			e.polling = false
			s.observe(e, sent, st)
		})
	})
}

// read routes a read until it is answered, asking the replicas as fast as they
// answer while it waits.
func (s *sim) read(n mark.Need, y *simTally) {
	q := &Request{Need: n, Arrived: s.now, Deadline: s.now.Add(simTimeout)}
	s.try(q, y)
}

func (s *sim) try(q *Request, y *simTally) {
	h := s.tracker.History()
	when, ok := h.ReachedAt(q.Need.Point)
	if !ok {
		when = q.Arrived
	}
	q.Candidates = q.Candidates[:0]
	for _, e := range s.endpoints {
		c := e.Candidate
		c.FreshAsOf, _ = h.FreshAsOf(c.Visible)
		c.Expected, _ = e.pace.Outlook().Expected(q.Need, when, s.now)
		q.Candidates = append(q.Candidates, c)
	}
	choice := s.router.Choose(q, s.now)
	switch choice.Action {
	case ActionWait:
		for _, e := range s.endpoints {
			s.poll(e)
		}
		s.after(earliest(choice.Until, s.now.Add(simRetry)).Sub(s.now), func() { s.try(q, y) })
	case ActionRefuse:
		y.add(choice.Action, s.now.Sub(q.Arrived), true)
	default:
		for _, e := range s.endpoints {
			if e.Endpoint == choice.Endpoint {
				s.serve(q, e, choice.Action, y)
			}
		}
	}
}

func (s *sim) serve(q *Request, e *simEndpoint, action Action, y *simTally) {
	sent := s.now
	e.InFlight++
	s.after(e.oneWay, func() {
		slot := 0
		for i := range e.free {
			if e.free[i].Before(e.free[slot]) {
				slot = i
			}
		}
		begin := latest(s.now, e.free[slot])
		e.free[slot] = begin.Add(simWork)
		s.after(begin.Sub(s.now)+simWork, func() {
			st := e.status(begin)
			s.after(e.oneWay, func() {
				e.InFlight--
				e.Latency += time.Duration(simAlpha * float64(s.now.Sub(sent)-e.Latency))
				s.observe(e, sent, st)
				if q.Arrived.After(start.Add(simWarm)) {
					y.add(action, s.now.Sub(q.Arrived), s.isRight(q, st.Visible()))
				}
			})
		})
	})
}

// isRight compares what was read with the log itself.
func (s *sim) isRight(q *Request, p core.Point) bool {
	acknowledged := reached(s.acks, q.Need.Since.Add(-1))
	return p.Position >= acknowledged && p.Position >= q.Need.Point.Position
}

func simulate(lags []time.Duration, period, age time.Duration, burst int, options ...Option) *sim {
	const writeEvery, readEvery = 20 * time.Millisecond, 3 * time.Millisecond
	s := newSim(lags, period, options...)
	s.every(writeEvery, true, s.write)
	s.every(readEvery, true, func() {
		for range burst {
			s.read(mark.Need{Since: s.now.Add(-age)}, &s.old)
		}
	})
	s.every(period, false, func() {
		for _, e := range s.endpoints {
			s.poll(e)
		}
		if n, ok := s.tracker.History().Newest(); ok {
			s.expect(n.Point)
		}
	})
	s.run()
	return s
}

// TestMeasurement prints, for each way of choosing, the share of reads on
// replicas and the latency in milliseconds. The file holds the figures, so a
// change of policy shows as a change of the file.
func TestMeasurement(t *testing.T) {
	datadriven.RunTest(t, "testdata/measure", func(t *testing.T, d *datadriven.TestData) string {
		lags := []time.Duration{0, 5 * time.Millisecond, 5 * time.Millisecond}
		if d.HasArg("behind") {
			lags[2] = 3 * time.Second
		}
		if d.HasArg("all-behind") {
			lags[1], lags[2] = 3*time.Second, 3*time.Second
		}
		if d.HasArg("far-primary") {
			slices.Reverse(lags)
		}
		ms := func(key string, otherwise int) time.Duration {
			return time.Duration(scanInt(t, d, key, otherwise)) * time.Millisecond
		}
		s := simulate(lags, ms("period", 20), ms("age", 1000), scanInt(t, d, "burst", 1),
			WithPolicy(Policy(scanText(t, d, "policy", string(PolicyTwoChoices)))),
			WithPatience(Patience(scanText(t, d, "patience", string(PatiencePace)))),
			WithWaitLimit(ms("limit", int(DefaultWaitLimit.Milliseconds()))))
		if s.old.wrong+s.own.wrong > 0 {
			t.Errorf("%d wrong reads", s.old.wrong+s.own.wrong)
		}
		return fmt.Sprintf("old %s\nown %s\npolls/s %d\n", s.old.text(), s.own.text(), s.polls/int(simRun.Seconds()))
	})
}
