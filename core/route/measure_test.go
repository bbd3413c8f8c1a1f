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
	simGroup       = core.Group("index-1")
	simSlots       = 3
	simServiceTime = 500 * time.Microsecond
	simOneWay      = 1500 * time.Microsecond
	simLocalOneWay = 100 * time.Microsecond
	simAckDelay    = 4 * time.Millisecond
	simCallerDelay = 2 * time.Millisecond
	simDuration    = 3 * time.Second
	simWarmUp      = time.Second
	simSmoothing   = 0.2
	simReadTimeout = time.Second
	simRetryDelay  = time.Millisecond
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

// simEndpoint receives entry k of the group's log at receivedAt[k] and makes it visible
// at visibleAt[k].
type simEndpoint struct {
	Candidate
	oneWay     time.Duration
	lag        time.Duration
	receivedAt []time.Time
	visibleAt  []time.Time
	slotFreeAt [simSlots]time.Time
	estimator  LagEstimator
	polling    bool
}

// countReached counts the entries whose time is not after t.
func countReached(times []time.Time, t time.Time) uint64 {
	n, _ := slices.BinarySearchFunc(times, t, func(s, t time.Time) int {
		if s.After(t) {
			return 1
		}
		return -1
	})
	return uint64(n)
}

func (e *simEndpoint) status(t time.Time) core.Status {
	received := countReached(e.receivedAt, t)
	return core.Status{
		Role: e.Role, Fence: 1, Term: 1, Received: received, Applied: countReached(e.visibleAt, t),
		Last: core.Point{Term: 1, Position: received},
	}
}

type simStats struct {
	reads, replica, wrong int
	latency               []time.Duration
}

func (s *simStats) add(action Action, d time.Duration, correct bool) {
	s.reads++
	if action == ActionReplica {
		s.replica++
	}
	if !correct {
		s.wrong++
	}
	s.latency = append(s.latency, d)
}

func (s *simStats) text() string {
	slices.Sort(s.latency)
	at := func(q int) float64 {
		return float64(s.latency[len(s.latency)*q/100].Microseconds()) / 1000
	}
	return fmt.Sprintf("%5.1f%% p50 %4.1f p99 %5.1f wrong %d", 100*float64(s.replica)/float64(s.reads), at(50), at(99), s.wrong)
}

// sim simulates one instance and one group in virtual time.
type sim struct {
	now            time.Time
	queue          events
	random         *rand.Rand
	endpoints      []*simEndpoint
	tracker        *mark.Tracker
	router         *Router
	period         time.Duration
	acknowledgedAt []time.Time
	polls          int
	// stale counts the reads that allow old data, own those of a session of its write.
	stale, own simStats
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
			e.oneWay = simLocalOneWay
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
	end := start.Add(simDuration)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

// write appends an entry; its session reads the entry back once it is acknowledged.
func (s *sim) write() {
	for _, e := range s.endpoints {
		received, visible := s.now, s.now
		if e.Role == core.RoleReplica {
			received = received.Add(simOneWay)
			visible = received.Add(time.Duration((0.5 + s.random.ExpFloat64()/2) * float64(e.lag)))
		}
		e.receivedAt = append(e.receivedAt, received)
		if n := len(e.visibleAt); n > 0 {
			visible = latest(visible, e.visibleAt[n-1])
		}
		e.visibleAt = append(e.visibleAt, visible)
	}
	p := core.Point{Term: 1, Position: uint64(len(s.endpoints[0].visibleAt))}
	s.after(simAckDelay, func() {
		s.acknowledgedAt = append(s.acknowledgedAt, s.now)
		s.recordReached(p)
		s.after(simCallerDelay, func() { s.read(mark.Requirement{Point: p, Since: start}, &s.own) })
	})
}

func (s *sim) recordReached(p core.Point) {
	for _, e := range s.endpoints {
		e.estimator.RecordReached(p, s.now)
	}
}

func (s *sim) observe(e *simEndpoint, sent time.Time, st core.Status) {
	p := st.Visible()
	s.tracker.Observe(e.Endpoint, sent, st)
	e.estimator.Observe(p, sent)
	if e.Visible.Position <= p.Position {
		e.Visible, e.SampledAt = p, sent
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

// read routes a read until it is answered, and samples all endpoints at each retry
// while it waits.
func (s *sim) read(requirement mark.Requirement, stats *simStats) {
	q := &Request{Requirement: requirement, Arrived: s.now, Deadline: s.now.Add(simReadTimeout)}
	s.try(q, stats)
}

func (s *sim) try(q *Request, stats *simStats) {
	h := s.tracker.History()
	reached, ok := h.ReachedAt(q.Requirement.Point)
	if !ok {
		reached = q.Arrived
	}
	q.Candidates = q.Candidates[:0]
	for _, e := range s.endpoints {
		c := e.Candidate
		c.FreshAsOf, _ = h.FreshAsOf(c.Visible)
		c.ExpectedAt, _ = e.estimator.Forecast().ExpectedAt(q.Requirement, reached, s.now)
		q.Candidates = append(q.Candidates, c)
	}
	choice := s.router.Choose(q, s.now)
	switch choice.Action {
	case ActionWait:
		for _, e := range s.endpoints {
			s.poll(e)
		}
		s.after(earliest(choice.Until, s.now.Add(simRetryDelay)).Sub(s.now), func() { s.try(q, stats) })
	case ActionRefuse:
		stats.add(choice.Action, s.now.Sub(q.Arrived), true)
	default:
		for _, e := range s.endpoints {
			if e.Endpoint == choice.Endpoint {
				s.serve(q, e, choice.Action, stats)
			}
		}
	}
}

func (s *sim) serve(q *Request, e *simEndpoint, action Action, stats *simStats) {
	sent := s.now
	e.InFlight++
	s.after(e.oneWay, func() {
		slot := 0
		for i := range e.slotFreeAt {
			if e.slotFreeAt[i].Before(e.slotFreeAt[slot]) {
				slot = i
			}
		}
		begin := latest(s.now, e.slotFreeAt[slot])
		e.slotFreeAt[slot] = begin.Add(simServiceTime)
		s.after(begin.Sub(s.now)+simServiceTime, func() {
			st := e.status(begin)
			s.after(e.oneWay, func() {
				e.InFlight--
				e.Latency += time.Duration(simSmoothing * float64(s.now.Sub(sent)-e.Latency))
				s.observe(e, sent, st)
				if q.Arrived.After(start.Add(simWarmUp)) {
					stats.add(action, s.now.Sub(q.Arrived), s.isCorrect(q, st.Visible()))
				}
			})
		})
	})
}

// isCorrect compares the point that was read with the log itself.
func (s *sim) isCorrect(q *Request, p core.Point) bool {
	acknowledged := countReached(s.acknowledgedAt, q.Requirement.Since.Add(-1))
	return p.Position >= acknowledged && p.Position >= q.Requirement.Point.Position
}

func simulate(lags []time.Duration, period, age time.Duration, burst int, options ...Option) *sim {
	const writeEvery, readEvery = 20 * time.Millisecond, 3 * time.Millisecond
	s := newSim(lags, period, options...)
	s.every(writeEvery, true, s.write)
	s.every(readEvery, true, func() {
		for range burst {
			s.read(mark.Requirement{Since: s.now.Add(-age)}, &s.stale)
		}
	})
	s.every(period, false, func() {
		for _, e := range s.endpoints {
			s.poll(e)
		}
		if n, ok := s.tracker.History().Newest(); ok {
			s.recordReached(n.Point)
		}
	})
	s.run()
	return s
}

// TestMeasurement prints, for each policy, the share of reads on replicas and the
// latency in milliseconds. The expected figures are in testdata, so that a change of a
// policy shows as a change of that file.
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
			WithWaitPolicy(WaitPolicy(scanText(t, d, "patience", string(WaitForecast)))),
			WithWaitTimeout(ms("limit", int(DefaultWaitTimeout.Milliseconds()))))
		if s.stale.wrong+s.own.wrong > 0 {
			t.Errorf("%d wrong reads", s.stale.wrong+s.own.wrong)
		}
		return fmt.Sprintf("old %s\nown %s\npolls/s %d\n", s.stale.text(), s.own.text(), s.polls/int(simDuration.Seconds()))
	})
}
