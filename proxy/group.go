package proxy

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"anviltack/core"
	failover "anviltack/core/group"
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
	// uses counts the statements that run and the open transactions, and lastUsedAt is when
	// one last began or ended, in nanoseconds since 1970.
	uses       atomic.Int64
	lastUsedAt atomic.Int64
	// fallbackUntil is until when this instance, no home instance of the group, serves new
	// sessions without trying the home instances, in nanoseconds since 1970; zero if the
	// last session that was tried there was accepted.
	fallbackUntil atomic.Int64
	groupControl  *groupControl

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
	// votersVersion is the version of the known set of voters, and unlistedVoters how many of
	// them are not listed.
	votersVersion  uint64
	unlistedVoters int
}

// beginUse records that a statement or a transaction begins at now.
func (g *group) beginUse(now time.Time) {
	g.uses.Add(1)
	g.lastUsedAt.Store(now.UnixNano())
}

// endUse records that a statement or a transaction ended at now.
func (g *group) endUse(now time.Time) {
	g.lastUsedAt.Store(now.UnixNano())
	g.uses.Add(-1)
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
	// listedNames are the names of endpoints, and trackedNames of those that tracker has;
	// both are sorted.
	listedNames  []core.Endpoint
	trackedNames []core.Endpoint
	voters       *voters
	// nextTickAt is when machine must be ticked at the latest.
	nextTickAt time.Time
	// lease is the group's promotion lease as last read.
	lease lease.Lease
	// homes are the group's home instances, and settings its configuration.
	homes    []core.Instance
	settings GroupSettings
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
	// nonHomeSince is since when this instance has been no home instance of the group; zero
	// while it is one.
	nonHomeSince time.Time
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
		voters:    c.votersOf(name),
	}
	g.group.groupControl = g
	g.group.state.Store(&groupState{history: &mark.History{}})
	return g
}

// tick runs periodic work of the group and the timers of the machine.
func (g *groupControl) tick(now time.Time) {
	g.updateRank()
	g.followEra(now)
	g.confirmWithoutQuorum(now)
	g.changeVoters(now)
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
		votersVersion: g.voters.set.Version, unlistedVoters: g.voters.unlisted,
	}
	for _, name := range g.listedNames {
		s.endpoints = append(s.endpoints, g.endpoints[name])
	}
	old := g.group.state.Load()
	if old.term == s.term && old.primary == s.primary && old.confirmed == s.confirmed && old.available == s.available &&
		old.votersVersion == s.votersVersion && old.unlistedVoters == s.unlistedVoters && old.history.Len() == s.history.Len() && slices.Equal(old.endpoints, s.endpoints) {
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
