package proxy

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"anviltack/core"
	failover "anviltack/core/group"
	"anviltack/core/home"
	"anviltack/core/lease"
	"anviltack/core/mark"
)

// Timing of the failover state machine. The periods are longer than its defaults because
// every sample occupies one of an endpoint's few slots.
const (
	// samplePeriod is the time between samples of an endpoint while no statement waits.
	// Bounded reads need a sample within their staleness bound, which is 1.5 s in the
	// configurations so far.
	samplePeriod = 1150 * time.Millisecond
	// demandedSamplePeriod is the time between samples while statements wait for a
	// confirmation.
	demandedSamplePeriod = 10 * time.Millisecond
	// sampleTimeout is how long a sample may take before it is requested again.
	sampleTimeout = 220 * time.Millisecond
	// primarySilence is how long a primary may leave requests unanswered: two samples
	// in a row.
	primarySilence = 2 * sampleTimeout
	// maxAnswerAge is the age of an answer up to which an endpoint counts as reachable:
	// replicas are sampled in every other period.
	maxAnswerAge = 2*samplePeriod + 2*sampleTimeout
	// responseTimeout is how long a primary that has not answered still gets new writes.
	responseTimeout = sampleTimeout
	// pauseThreshold is the gap between two ticks from which the instance concludes
	// that it was suspended itself.
	pauseThreshold = 500 * time.Millisecond
	// absenceTimeout is how long a group must be without a primary, or fenced by another
	// instance without a promotion, before this instance starts a failover; a promotion
	// takes about a second.
	absenceTimeout = 2500 * time.Millisecond
	// rankDelay is the additional delay per rank among the instances that may react to
	// the same failure.
	rankDelay = 250 * time.Millisecond
	// promoteTimeout bounds a promotion from the call to the new primary's first status.
	promoteTimeout = 4 * time.Second
	// promotePollInterval is the time between status requests to an endpoint that is
	// being promoted.
	promotePollInterval = 25 * time.Millisecond
)

// group is the part of a group's state that sessions use.
type group struct {
	name  core.Group
	state atomic.Pointer[groupState]
	// waitingForPrimary counts the statements that wait for a primary.
	waitingForPrimary atomic.Int64
	// lost is true while this instance does not reach enough endpoints to serve the group.
	lost atomic.Bool
	// lastUsedAt is when a statement last used the group, in nanoseconds since 1970.
	lastUsedAt   atomic.Int64
	groupControl *groupControl

	mu sync.Mutex
	// changed is closed when state is replaced.
	changed chan struct{}
}

// groupState is an immutable snapshot of a group.
type groupState struct {
	term      uint64
	primary   *endpoint
	confirmed failover.Confirmation
	history   *mark.History
	available failover.Availability
	endpoints []*endpoint
}

// watch returns the current snapshot and a channel that is closed when it is replaced.
func (g *group) watch() (*groupState, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Load(), g.changed
}

func (g *group) replaceState(s *groupState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Store(s)
	close(g.changed)
	g.changed = make(chan struct{})
}

// groupControl is the control state of one group. Only the control goroutine accesses
// it.
type groupControl struct {
	control   *control
	group     *group
	machine   *failover.Machine
	tracker   *mark.Tracker
	endpoints map[core.Endpoint]*endpoint
	// trackedNames are the names of the endpoints that machine and tracker have, sorted.
	trackedNames []core.Endpoint
	// nextTickAt is when machine must be ticked at the latest.
	nextTickAt time.Time
	// lease is the group's promotion lease as last read.
	lease lease.Lease
	// homes are the group's home instances.
	homes []core.Instance
	// rank is this instance's rank among them while rankedFor is the primary; rank 0 starts
	// a failover first.
	rank      int
	rankedFor core.Endpoint
	// readingLease is true while the lease is being read to resolve fences, and
	// leaseReadAt is when the last such read began.
	readingLease bool
	leaseReadAt  time.Time
	// checkingLease is true while checkLease runs, and leaseCheckedAt is when the last
	// check began.
	checkingLease  bool
	leaseCheckedAt time.Time
	// lostSince is when the group was first found not reached; zero while it is.
	lostSince time.Time
	// eraValueSentAt is when recordEra last began.
	eraValueSentAt time.Time
	// heldLease is the promotion lease that this instance acquired last.
	heldLease heldLease
	// logged are the term and the primary that were logged last.
	logged struct {
		term    uint64
		primary core.Endpoint
	}
}

func newGroupControl(c *control, name core.Group) *groupControl {
	p := failover.DefaultPeriods()
	p.Sample, p.Busy, p.SampleTimeout = samplePeriod, demandedSamplePeriod, sampleTimeout
	p.Silence, p.MaxAnswerAge, p.ResponseTimeout, p.PauseThreshold = primarySilence, maxAnswerAge, responseTimeout, pauseThreshold
	p.Absence, p.RankDelay, p.PromoteTimeout, p.MaxTick = absenceTimeout, rankDelay, promoteTimeout, maxTick
	p.FenceTimeout = lease.Duration
	g := &groupControl{
		control:   c,
		group:     &group{name: name, changed: make(chan struct{})},
		machine:   failover.New(name, core.Instance(c.proxy.settings.Instance), failover.WithPeriods(p), failover.WithExternalTerms(), failover.WithSparseSamples(), failover.WithVolatileFences(lease.ExpireAfter)),
		tracker:   mark.NewTracker(),
		endpoints: make(map[core.Endpoint]*endpoint),
	}
	g.group.groupControl = g
	g.group.state.Store(&groupState{history: &mark.History{}})
	return g
}

// configure applies the list of the group's endpoints. An endpoint whose process was
// restarted under its name is treated as a new endpoint.
func (g *groupControl) configure(now time.Time, list []Endpoint, s GroupSettings, homes []core.Instance) {
	g.homes = homes
	listed := make(map[core.Endpoint]bool, len(list))
	// unknownPrimary is an endpoint that is listed as a primary and is not the one that
	// machine has.
	var unknownPrimary core.Endpoint
	_, knownPrimary := g.machine.Primary()
	for _, l := range list {
		if l.Role == core.RolePrimary && l.Name != knownPrimary {
			unknownPrimary = l.Name
		}
		e := g.endpoints[l.Name]
		if e != nil && (e.info.Address != l.Address || e.info.StartedAt != l.StartedAt) {
			g.removeEndpoint(now, e)
			e = nil
		}
		if e == nil {
			e = newEndpoint(g, l)
			g.endpoints[l.Name] = e
			g.control.proxy.event(core.EventEndpoint).WithField("group", g.group.name).WithField("endpoint", l.Name).WithField("address", l.Address).Info("endpoint listed")
		}
		listed[l.Name] = true
		e.leaving.Store(l.Leaving)
		e.setShare(s.MaxConnections, len(g.homes))
	}
	for name, e := range g.endpoints {
		if !listed[name] {
			g.removeEndpoint(now, e)
			g.control.proxy.event(core.EventEndpoint).WithField("group", g.group.name).WithField("endpoint", name).Info("endpoint no longer listed")
		}
	}
	g.updateMembers(now)
	if _, primary := g.machine.Primary(); unknownPrimary != "" && unknownPrimary != primary {
		g.perform(now, g.machine.SampleAll(now))
	}
}

// removeEndpoint drops an endpoint and everything that it reported: another process
// under its name has none of that state.
func (g *groupControl) removeEndpoint(now time.Time, e *endpoint) {
	e.close()
	delete(g.endpoints, e.info.Name)
	g.updateMembers(now)
}

// updateMembers updates the members of tracker and machine.
func (g *groupControl) updateMembers(now time.Time) {
	g.updateTracker()
	g.rank = g.computeRank()
	g.updateRank()
	members := make([]failover.Member, 0, len(g.endpoints))
	for _, e := range g.endpoints {
		members = append(members, failover.Member{Name: e.info.Name, DataCentre: e.info.DataCentre, Leaving: e.leaving.Load(), SameDataCentre: string(e.info.DataCentre) == g.control.proxy.settings.DataCentre})
	}
	g.perform(now, g.machine.Configure(now, members))
}

// updateTracker replaces the tracker if the members changed. The samples of the old one
// stay valid.
func (g *groupControl) updateTracker() {
	names := make([]core.Endpoint, 0, len(g.endpoints))
	for name := range g.endpoints {
		names = append(names, name)
	}
	slices.Sort(names)
	if !slices.Equal(names, g.trackedNames) {
		samples := g.tracker.History()
		g.trackedNames = names
		g.tracker = mark.NewTracker(names...)
		*g.tracker.History() = *samples
	}
}

// computeRank returns this instance's rank among the home instances; others rank after
// them. Those in the primary's data centre come last: a failure of that data centre is theirs
// as well.
func (g *groupControl) computeRank() int {
	homes := make([]home.Instance, 0, len(g.homes))
	for _, i := range g.homes {
		homes = append(homes, home.Instance{Name: i, DataCentre: g.control.lastListed[i].peer.DataCentre})
	}
	var primary core.DataCentre
	if e := g.endpoints[g.rankedFor]; e != nil {
		primary = e.info.DataCentre
	}
	return home.Rank(g.control.self(), homes, g.group.name, primary)
}

// updateRank sets the rank of the machine. An instance that cannot reach the lease store
// ranks after all others.
func (g *groupControl) updateRank() {
	if _, primary := g.machine.Primary(); primary != g.rankedFor {
		g.rankedFor = primary
		g.rank = g.computeRank()
	}
	rank := g.rank
	if !g.control.proxy.dependencies.LeaseStore.IsHealthy() {
		rank += len(g.homes)
	}
	g.machine.SetRank(rank, 1)
}

// tick runs periodic work of the group and the timers of the machine.
func (g *groupControl) tick(now time.Time) {
	g.updateRank()
	g.followEra(now)
	g.confirmWithoutQuorum(now)
	if g.machine.AwaitsFenceResolution() && now.Sub(g.leaseReadAt) >= leaseReadInterval {
		g.resolveFences(now)
	}
	g.perform(now, g.machine.Tick(now))
}

// isReached reports whether a majority of the endpoints answers, or the primary alone is
// known not to have been replaced. If proven is set, endpoints that were not sampled yet do
// not count.
func (g *groupControl) isReached(now time.Time, proven bool) bool {
	if g.control.proxy.partitioned.Load() {
		return g.machine.HasLocalQuorum()
	}
	if g.machine.IsPrimaryWithoutQuorum() && now.Sub(g.machine.Confirmed().AsOf) < 2*leaseCheckInterval {
		return true
	}
	if proven {
		return g.machine.HasAnsweredQuorum()
	}
	return g.machine.HasQuorum()
}

// updateLost updates whether the group is lost here. Other home instances may still reach
// it, so the sessions that are relayed here end.
func (g *groupControl) updateLost(now time.Time) {
	reached := g.isReached(now, !g.lostSince.IsZero())
	if reached {
		g.lostSince = time.Time{}
	} else if g.lostSince.IsZero() {
		g.lostSince = now
	}
	lost := !reached && now.Sub(g.lostSince) >= isolationDelay
	if lost == g.group.lost.Load() {
		return
	}
	g.group.lost.Store(lost)
	p := g.control.proxy
	p.event(core.EventIsolated).WithField("group", g.group.name).WithField("lost", lost).Info("reach of a group changed")
	if lost {
		go p.endSessions(false, func(s *session) bool {
			r, err := p.route(s.caller.Database)
			return s.caller.Relayed && err == nil && r.Group == g.group.name
		})
	}
}

// perform carries out actions of the machine and updates the state.
func (g *groupControl) perform(now time.Time, actions []failover.Action) {
	var fences []*endpoint
	for _, a := range actions {
		e := g.endpoints[a.Endpoint]
		if e == nil {
			continue
		}
		switch a.Kind {
		case failover.ActionSample:
			go g.sample(e, now, a.NewConnection)
		case failover.ActionCheckPrimary:
			go g.checkPrimary(e, now, a.NewConnection)
		case failover.ActionFence:
			if len(fences) == 0 {
				defer func() { g.startFailover(now, a.Term, a.Reason, fences) }()
			}
			fences = append(fences, e)
		case failover.ActionPromote:
			go g.promote(e, a.Term, g.heldLease)
		case failover.ActionAskOpinions, failover.ActionAnnounce:
			// Instances have no connections to one another on this platform.
		}
	}
	g.nextTickAt = g.machine.NextTick()
	g.updateState()
}

// updateState replaces the snapshot if the state changed.
func (g *groupControl) updateState() {
	term, primary := g.machine.Primary()
	s := &groupState{
		term: term, primary: g.endpoints[primary], confirmed: g.machine.Confirmed(),
		available: g.machine.Availability(), history: g.tracker.History(),
	}
	for _, name := range g.trackedNames {
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
	g.group.replaceState(s)
	if term != g.logged.term || primary != g.logged.primary {
		if term != g.logged.term {
			g.resolveFences(g.control.proxy.now())
		}
		g.logged.term, g.logged.primary = term, primary
		g.control.proxy.event(core.EventPrimary).WithField("group", g.group.name).WithField("term", term).WithField("primary", primary).Info("term or primary changed")
	}
}

// sample requests an endpoint's status.
func (g *groupControl) sample(e *endpoint, sentAt time.Time, newConnection bool) {
	r, upSince, err := e.sample(newConnection)
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
		if g.hasCaughtUp(e, r) {
			// Endpoints compare positions by the term of the log entry.
			status := r.Status
			status.Term = r.Last.Term
			g.tracker.Observe(e.info.Name, sentAt, status)
		}
		g.machine.SetUpSince(e.info.Name, upSince)
		g.perform(now, g.machine.Sampled(now, e.info.Name, sentAt, r.Status))
		g.fenceOldPrimary(e, r)
	})
}

// hasCaughtUp reports whether the endpoint has reached the newest known point of the group
// since it was listed. The status of an endpoint that started empty would make an old log
// count as fresh.
func (g *groupControl) hasCaughtUp(e *endpoint, r Report) bool {
	newest, ok := g.tracker.History().Newest()
	e.caughtUp = e.caughtUp || !ok || !r.Last.Less(newest.Point)
	return e.caughtUp
}

// checkPrimary requests an answer that the endpoint gives only if it considers itself the
// primary.
func (g *groupControl) checkPrimary(e *endpoint, sentAt time.Time, newConnection bool) {
	var point core.Point
	_, upSince, err := e.request(newConnection, func(c *Conn) (Report, error) {
		var err error
		point, err = c.CheckPrimary(sampleTimeout)
		return Report{}, err
	})
	g.control.post(context.Background(), func(now time.Time) {
		switch {
		case g.endpoints[e.info.Name] != e:
		case err == nil:
			g.recordPrimaryCheck(now, e, primaryCheck{sentAt: sentAt, upSince: upSince, point: point})
		case errorKindOf(err) == ErrorKindReadOnly:
			g.perform(now, g.machine.PrimaryCheckRejected(now, e.info.Name, sentAt))
		default:
			e.noteSampleResult(err)
			g.perform(now, g.machine.SampleFailed(now, e.info.Name, sentAt, failureOf(err)))
		}
	})
}

// primaryCheck is an answer that only a primary gives.
type primaryCheck struct {
	sentAt time.Time
	// upSince is a time since which the endpoint's process is known to have run.
	upSince time.Time
	// point is the end of the primary's log; zero if the answer did not contain it.
	point core.Point
}

// recordPrimaryCheck records an answer that only a primary gives.
func (g *groupControl) recordPrimaryCheck(now time.Time, e *endpoint, c primaryCheck) {
	e.noteSampleResult(nil)
	if p := c.point; p != (core.Point{}) {
		g.tracker.Observe(e.info.Name, c.sentAt, core.Status{Role: core.RolePrimary, Term: p.Term, Received: p.Position, Last: p})
	}
	g.machine.SetUpSince(e.info.Name, c.upSince)
	g.perform(now, g.machine.PrimaryCheckPassed(now, e.info.Name, c.sentAt, c.point))
}

// fenceOldPrimary fences a replaced primary that still considers itself the primary.
func (g *groupControl) fenceOldPrimary(e *endpoint, r Report) {
	term, primary := g.machine.Primary()
	if r.Role == core.RolePrimary && r.Term < term && primary != "" && primary != e.info.Name {
		go func() {
			_, err := e.fence(term, core.RolePrimary)
			g.control.proxy.event(core.EventPrimary).WithField("group", g.group.name).WithField("endpoint", e.info.Name).WithField("term", term).WithField("failed", err != nil).Info("fence requested at the replaced primary")
		}()
	}
}

// postPrimaryCheck passes an answer that only a primary gives to the control goroutine.
func (g *groupControl) postPrimaryCheck(e *endpoint, c primaryCheck) {
	g.control.tryPost(func(now time.Time) {
		if g.endpoints[e.info.Name] == e {
			g.recordPrimaryCheck(now, e, c)
		}
	})
}

// postOverdue passes an overdue request to the control goroutine.
func (g *groupControl) postOverdue(e *endpoint, sentAt time.Time) {
	g.control.tryPost(func(now time.Time) {
		if g.endpoints[e.info.Name] == e {
			g.control.overdue = true
			g.perform(now, g.machine.RequestOverdue(now, e.info.Name, sentAt))
		}
	})
}

// postTrafficOutcome passes the outcome of a statement or connection attempt to the
// control goroutine.
func (g *groupControl) postTrafficOutcome(e *endpoint, o failover.Outcome) {
	g.control.tryPost(func(now time.Time) {
		if g.endpoints[e.info.Name] == e {
			g.perform(now, g.machine.TrafficOutcome(now, e.info.Name, o))
		}
	})
}
