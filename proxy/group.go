package proxy

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"anviltack/core"
	failover "anviltack/core/group"
	"anviltack/core/lease"
	"anviltack/core/mark"
)

// The periods of the machine that watches a group. They are longer than the
// defaults because every report takes one of an endpoint's few slots.
const (
	// samplePeriod separates reports of an endpoint while nothing waits; bounded
	// reads need one within their bound, 1.5 s in the configurations so far.
	samplePeriod = 1150 * time.Millisecond
	// busyPeriod separates reports while statements wait for a confirmation.
	busyPeriod = 10 * time.Millisecond
	// reportLimit is how long a report may take before it is asked for again.
	reportLimit = 220 * time.Millisecond
	// silence is how long a primary may owe an answer: two reports in a row.
	silence = 2 * reportLimit
	// reachable is the age of an answer up to which an endpoint counts as
	// reachable: replicas report in every other period.
	reachable = 2*samplePeriod + 2*reportLimit
	// doubt is how long a primary that owes an answer is still sent new writes.
	doubt = reportLimit
	// ownPause is the gap between two ticks from which the instance concludes
	// that it did not run itself.
	ownPause = 500 * time.Millisecond
	// absence is how long a group stays without a primary, or another instance's
	// fence without a promotion, before this instance acts; a promotion takes
	// about a second.
	absence = 2500 * time.Millisecond
	// rankDelay separates the instances that may act on one failure.
	rankDelay = 250 * time.Millisecond
	// promoteLimit bounds a promotion from the call to the new primary's report.
	promoteLimit = 4 * time.Second
	// promotePoll separates questions to an endpoint that is being promoted.
	promotePoll = 25 * time.Millisecond
)

// group is what sessions see of one group.
type group struct {
	name  core.Group
	state atomic.Pointer[groupState]
	// queued counts the statements that wait for a primary.
	queued atomic.Int64
	// usedAt is when a statement last asked for the group, in nanoseconds since
	// 1970.
	usedAt  atomic.Int64
	control *groupControl

	mu sync.Mutex
	// changed is closed when state is replaced.
	changed chan struct{}
}

// groupState is one view of a group; it does not change.
type groupState struct {
	term      uint64
	primary   *endpoint
	confirmed failover.Confirmation
	history   *mark.History
	available failover.Availability
	endpoints []*endpoint
}

// watch returns the present view and a channel that is closed at the next one.
func (g *group) watch() (*groupState, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Load(), g.changed
}

func (g *group) publish(s *groupState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Store(s)
	close(g.changed)
	g.changed = make(chan struct{})
}

// groupControl is the control state of one group; only the control goroutine
// touches it.
type groupControl struct {
	control   *control
	group     *group
	machine   *failover.Machine
	tracker   *mark.Tracker
	endpoints map[core.Endpoint]*endpoint
	// tracked are the names that machine and tracker know, sorted.
	tracked []core.Endpoint
	// due is when machine has to be told the time at the latest.
	due time.Time
	// turn is the last one taken for the group by anyone.
	turn lease.Lease
	// homes are the instances that connect to the group.
	homes []core.Instance
	// rank is this instance's place among them, 0 acting first.
	rank int
	// settling tells that the turn is being read, and settledAt when that began last.
	settling  bool
	settledAt time.Time
	// proving tells that a proof by the register is under way, and provedAt when
	// the last one began.
	proving  bool
	provedAt time.Time
	// taken is the turn that this instance acts in.
	taken taken
	// told are the term and the primary logged last.
	told struct {
		term    uint64
		primary core.Endpoint
	}
}

func newGroupControl(c *control, name core.Group) *groupControl {
	p := failover.DefaultPeriods()
	p.Sample, p.Busy, p.SampleTimeout = samplePeriod, busyPeriod, reportLimit
	p.Silence, p.Reachable, p.Doubt, p.Pause = silence, reachable, doubt, ownPause
	p.Absence, p.RankDelay, p.PromoteTimeout, p.Idle = absence, rankDelay, promoteLimit, maxTick
	p.FenceTimeout = lease.Duration
	g := &groupControl{
		control:   c,
		group:     &group{name: name, changed: make(chan struct{})},
		machine:   failover.New(name, core.Instance(c.proxy.settings.Instance), failover.WithPeriods(p), failover.WithGivenTerms(), failover.WithSparseSamples(), failover.WithForgottenFences(lease.ExpireAfter)),
		tracker:   mark.NewTracker(),
		endpoints: make(map[core.Endpoint]*endpoint),
	}
	g.group.control = g
	g.group.state.Store(&groupState{history: &mark.History{}})
	return g
}

// configure takes the group's endpoints. One that was born again under its name
// is another endpoint.
func (g *groupControl) configure(now time.Time, list []Endpoint, s GroupSettings, homes []core.Instance) {
	g.homes = homes
	kept := make(map[core.Endpoint]bool, len(list))
	// claimed is an endpoint that calls itself primary and was not known as one.
	var claimed core.Endpoint
	_, known := g.machine.Primary()
	for _, l := range list {
		if l.Role == core.RolePrimary && l.Name != known {
			claimed = l.Name
		}
		e := g.endpoints[l.Name]
		if e != nil && (e.info.Address != l.Address || e.info.Born != l.Born) {
			g.forget(now, e)
			e = nil
		}
		if e == nil {
			e = newEndpoint(g, l)
			g.endpoints[l.Name] = e
			g.control.proxy.event(core.EventEndpoint).WithField("group", g.group.name).WithField("endpoint", l.Name).WithField("address", l.Address).Info("endpoint listed")
		}
		kept[l.Name] = true
		e.leaving.Store(l.Leaving)
		e.setShare(s.Connections, len(g.homes))
	}
	for name, e := range g.endpoints {
		if !kept[name] {
			g.forget(now, e)
			g.control.proxy.event(core.EventEndpoint).WithField("group", g.group.name).WithField("endpoint", name).Info("endpoint gone")
		}
	}
	g.enlist(now)
	if _, primary := g.machine.Primary(); claimed != "" && claimed != primary {
		g.perform(now, g.machine.Hurry(now))
	}
}

// forget drops an endpoint and everything that it reported: another process under
// its name holds and knows nothing of it.
func (g *groupControl) forget(now time.Time, e *endpoint) {
	e.close()
	delete(g.endpoints, e.info.Name)
	g.enlist(now)
}

// enlist tells tracker and machine which endpoints there are.
func (g *groupControl) enlist(now time.Time) {
	g.track()
	g.rank = g.place()
	g.rerank()
	members := make([]failover.Member, 0, len(g.endpoints))
	for _, e := range g.endpoints {
		members = append(members, failover.Member{Name: e.info.Name, DataCentre: e.info.DataCentre, Leaving: e.leaving.Load(), Near: string(e.info.DataCentre) == g.control.proxy.settings.DataCentre})
	}
	g.perform(now, g.machine.Configure(now, members))
}

// track makes a new tracker when the members changed. The samples of the old one
// stay true.
func (g *groupControl) track() {
	names := make([]core.Endpoint, 0, len(g.endpoints))
	for name := range g.endpoints {
		names = append(names, name)
	}
	slices.Sort(names)
	if !slices.Equal(names, g.tracked) {
		samples := g.tracker.History()
		g.tracked = names
		g.tracker = mark.NewTracker(names...)
		*g.tracker.History() = *samples
	}
}

// place works out this instance's rank among the homes.
func (g *groupControl) place() int {
	hash := func(i core.Instance) uint64 { return xxhash.Sum64String(string(i) + " " + string(g.group.name)) }
	own := hash(core.Instance(g.control.proxy.settings.Instance))
	rank := 0
	for _, i := range g.homes {
		if hash(i) < own {
			rank++
		}
	}
	return rank
}

// rerank tells the machine when it may act. An instance that the register does not
// answer comes after all others.
func (g *groupControl) rerank() {
	rank := g.rank
	if !g.control.proxy.seams.Register.Usable() {
		rank += len(g.homes)
	}
	g.machine.SetRank(rank, 1)
}

// tick lets time pass.
func (g *groupControl) tick(now time.Time) {
	g.rerank()
	g.proveAlone(now)
	if g.machine.IsUnsettled() && now.Sub(g.settledAt) >= settlePause {
		g.settle(now)
	}
	g.perform(now, g.machine.Tick(now))
}

// perform carries out actions and shows the new state.
func (g *groupControl) perform(now time.Time, actions []failover.Action) {
	var fences []*endpoint
	for _, a := range actions {
		e := g.endpoints[a.Endpoint]
		if e == nil {
			continue
		}
		switch a.Kind {
		case failover.ActionSample:
			go g.sample(e, now, a.Fresh)
		case failover.ActionWitness:
			go g.askWitness(e, now, a.Fresh)
		case failover.ActionFence:
			if len(fences) == 0 {
				defer func() { g.beginTurn(now, a.Term, a.Reason, fences) }()
			}
			fences = append(fences, e)
		case failover.ActionPromote:
			go g.promote(e, a.Term, g.taken)
		case failover.ActionAskOpinions, failover.ActionAnnounce:
			// Instances have no path to one another here.
		}
	}
	g.due = g.machine.NextTick()
	g.show()
}

// show publishes the state when it changed.
func (g *groupControl) show() {
	term, primary := g.machine.Primary()
	s := &groupState{
		term: term, primary: g.endpoints[primary], confirmed: g.machine.Confirmed(),
		available: g.machine.Availability(), history: g.tracker.History(),
	}
	for _, name := range g.tracked {
		s.endpoints = append(s.endpoints, g.endpoints[name])
	}
	old := g.group.state.Load()
	if old.term == s.term && old.primary == s.primary && old.confirmed == s.confirmed && old.available == s.available &&
		old.history.Len() == s.history.Len() && slices.Equal(old.endpoints, s.endpoints) {
		newest, _ := s.history.Newest()
		if last, _ := old.history.Newest(); last == newest {
			return
		}
	}
	s.history = s.history.Clone()
	g.group.publish(s)
	if term != g.told.term || primary != g.told.primary {
		if term != g.told.term {
			g.settle(g.control.proxy.now())
		}
		g.told.term, g.told.primary = term, primary
		g.control.proxy.event(core.EventPrimary).WithField("group", g.group.name).WithField("term", term).WithField("primary", primary).Info("primary known")
	}
}

// sample asks an endpoint for its report.
func (g *groupControl) sample(e *endpoint, sentAt time.Time, fresh bool) {
	r, since, err := e.sample(fresh)
	g.control.post(context.Background(), func(now time.Time) {
		if g.endpoints[e.info.Name] != e {
			return
		}
		e.noteSampleResult(err)
		if err != nil {
			g.perform(now, g.machine.SampleFailed(now, e.info.Name, sentAt, failureOf(err)))
			return
		}
		e.recordSample(now, r)
		if g.isGrown(e, r) {
			// Positions are compared as endpoints do it: by the term of the entry.
			held := r.Status
			held.Term = r.Last.Term
			g.tracker.Observe(e.info.Name, sentAt, held)
		}
		g.machine.Runs(e.info.Name, since)
		g.perform(now, g.machine.Sampled(now, e.info.Name, sentAt, r.Status))
		g.unseat(e, r)
	})
}

// isGrown reports whether an endpoint has held what the group is known to hold since
// it was listed. One that began empty would make an old log pass for a fresh one.
func (g *groupControl) isGrown(e *endpoint, r Report) bool {
	newest, ok := g.tracker.History().Newest()
	e.caughtUp = e.caughtUp || !ok || !r.Last.Less(newest.Point)
	return e.caughtUp
}

// askWitness asks the primary whether it still takes itself for one.
func (g *groupControl) askWitness(e *endpoint, sentAt time.Time, fresh bool) {
	var point core.Point
	_, since, err := e.request(fresh, func(c *Conn) (Report, error) {
		var err error
		point, err = c.Witness(reportLimit)
		return Report{}, err
	})
	g.control.post(context.Background(), func(now time.Time) {
		switch {
		case g.endpoints[e.info.Name] != e:
		case err == nil:
			g.noteWitness(now, e, witness{sentAt: sentAt, runsSince: since, point: point})
		case faultOf(err) == FaultReadOnly:
			g.perform(now, g.machine.Unwitnessed(now, e.info.Name, sentAt))
		default:
			e.noteSampleResult(err)
			g.perform(now, g.machine.SampleFailed(now, e.info.Name, sentAt, failureOf(err)))
		}
	})
}

// witness is an answer that only a primary gives.
type witness struct {
	sentAt time.Time
	// runsSince is since when the endpoint's process has run.
	runsSince time.Time
	// point is the end of the primary's log; zero when the answer did not tell it.
	point core.Point
}

// noteWitness takes an answer that only a primary gives.
func (g *groupControl) noteWitness(now time.Time, e *endpoint, w witness) {
	e.noteSampleResult(nil)
	if p := w.point; p != (core.Point{}) {
		g.tracker.Observe(e.info.Name, w.sentAt, core.Status{Role: core.RolePrimary, Term: p.Term, Received: p.Position, Last: p})
	}
	g.machine.Runs(e.info.Name, w.runsSince)
	g.perform(now, g.machine.Witnessed(now, e.info.Name, w.sentAt, w.point))
}

// unseat tells a primary that was replaced.
func (g *groupControl) unseat(e *endpoint, r Report) {
	term, primary := g.machine.Primary()
	if r.Role == core.RolePrimary && r.Term < term && primary != "" && primary != e.info.Name {
		go func() {
			_, err := e.fence(term, core.RolePrimary)
			g.control.proxy.event(core.EventPrimary).WithField("group", g.group.name).WithField("endpoint", e.info.Name).WithField("term", term).WithField("failed", err != nil).Info("old primary told to step down")
		}()
	}
}

// witnessed takes an answer that only a primary gives.
func (g *groupControl) witnessed(e *endpoint, w witness) {
	g.control.offer(func(now time.Time) {
		if g.endpoints[e.info.Name] == e {
			g.noteWitness(now, e, w)
		}
	})
}

// evidence takes what traffic shows of an endpoint.
func (g *groupControl) evidence(e *endpoint, f failover.Failure) {
	g.control.offer(func(now time.Time) {
		if g.endpoints[e.info.Name] == e {
			g.perform(now, g.machine.Evidence(now, e.info.Name, f))
		}
	})
}
