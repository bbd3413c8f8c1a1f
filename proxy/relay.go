package proxy

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"anviltack/core"
	failover "anviltack/core/group"
	"anviltack/core/home"
)

const (
	// maxRelayAttempts bounds how many home instances a session is relayed to before
	// it is served here.
	maxRelayAttempts = 3
	// relayTimeout bounds one attempt; callers wait 2 s for the start of a session.
	relayTimeout = 300 * time.Millisecond
	// avoidDuration is how long no session is relayed to an instance that did not
	// accept one.
	avoidDuration = 2 * time.Second
	// fallbackDuration is how long an instance serves new sessions of a group by itself
	// after no home instance accepted one.
	fallbackDuration = avoidDuration
)

// startRelayed accepts a session that another instance relays.
func (p *Proxy) startRelayed(conn net.Conn) (*Caller, error) {
	return p.dependencies.Callers.StartRelayed(conn, p.configVersions(), p.limits.answer)
}

// relay relays a session to a home instance of its group. It reports false if this
// instance has to serve the session, because it is a home instance that reaches the group
// or no other one accepted it.
func (p *Proxy) relay(caller *Caller, r Route) bool {
	if p.isCutOff() || p.serves(r.Group) && (!p.isLost(r.Group) || p.isolated.Load()) {
		return false
	}
	for _, peer := range p.relayCandidates(r.Group) {
		startedAt := p.now()
		relay, err := p.openRelay(caller, peer, r)
		p.observeHome(peer, startedAt, err)
		if err != nil {
			p.avoidHome(groupsNotServed(r.Group, err), peer.Name)
			p.event(core.EventRelay).WithField("group", r.Group).WithField("home", peer.Name).WithError(err).Warn("home instance of the group did not accept the session")
			continue
		}
		p.setFallback(r.Group, time.Time{})
		p.runRelay(caller, r.Group, peer, relay)
		return true
	}
	p.setFallback(r.Group, p.now().Add(fallbackDuration))
	return false
}

// isConnected reports whether this instance connects to a group for statements.
func (p *Proxy) isConnected(g core.Group) bool {
	placed := p.placement.Load()
	return placed.groups[g] != nil && placed.monitored != g
}

// serves reports whether this instance serves new sessions of a group itself rather than
// relay them: as a home instance, or for a while because no home instance accepted one.
func (p *Proxy) serves(name core.Group) bool {
	placed := p.placement.Load()
	g := placed.groups[name]
	return g != nil && (placed.isHome[name] || g.isFallback(p.now()))
}

// setFallback sets until when this instance serves new sessions of a group without trying
// its home instances; the zero time ends that.
func (p *Proxy) setFallback(name core.Group, until time.Time) {
	g := p.placement.Load().groups[name]
	switch {
	case g == nil:
	case until.IsZero():
		g.fallbackUntil.Store(0)
	default:
		g.fallbackUntil.Store(until.UnixNano())
	}
}

// isFallback reports whether this instance, home of another group, serves a new session.
// Once fallbackDuration is over it is false for one session, which tries the home instances
// while the others are still served here.
func (g *group) isFallback(now time.Time) bool {
	until := g.fallbackUntil.Load()
	if until == 0 {
		return false
	}
	return now.UnixNano() < until || !g.fallbackUntil.CompareAndSwap(until, now.Add(fallbackDuration).UnixNano())
}

// isCutOff reports whether the instance reaches neither a group nor an instance in another
// data centre.
func (p *Proxy) isCutOff() bool { return p.isolated.Load() && p.partitioned.Load() }

// groupsNotServed returns the group of which another instance did not accept a session, or
// allGroups if that instance did not respond.
func groupsNotServed(g core.Group, err error) core.Group {
	if failureOf(err) == failover.OutcomeTimeout {
		return allGroups
	}
	return g
}

// openRelay opens the session at a home instance.
func (p *Proxy) openRelay(caller *Caller, to Peer, r Route) (*Relay, error) {
	timeout := func() time.Duration {
		if current, err := p.route(caller.Database); err == nil {
			return current.Timeout
		}
		return r.Timeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	return caller.Relay(ctx, to, timeout, p.configVersions())
}

// runRelay forwards messages between the caller and the home instance until the
// session ends.
func (p *Proxy) runRelay(caller *Caller, g core.Group, to Peer, r *Relay) {
	s := &session{proxy: p, caller: caller, relay: r}
	p.addSession(s)
	defer p.removeSession(s)
	p.counts.relayed.Inc(1)
	_ = caller.Ready() // Run finds that the caller has left, and ends the session at the home instance
	end := r.Run()
	p.counts.relayEnds[end.Cause].Inc(1)
	if end.Panic != nil {
		p.recordPanic(end.Panic, end.PanicStack)
	}
	if end.Answer == nil {
		return
	}
	if end.Cause != RelayHomeStopped {
		p.avoidHome(g, to.Name)
	}
	p.counts.relaysLost.Inc(1)
	entry := p.event(core.EventRelay).WithField("id", loggedID(end.Statement.ID)).WithField("kind", end.Statement.Kind).WithField("database", caller.Database)
	entry = entry.WithField("home", to.Name).WithField("cause", end.Cause).WithField("state", end.State).WithField("code", int(end.Answer.Code))
	entry = entry.WithField("waited_ms", end.Waited.Milliseconds()).WithField("limit_ms", end.Limit.Milliseconds())
	entry = entry.WithField("version", p.configVersion()).WithField("newest_version", p.newestVersion())
	withError(entry, end.Err).Warn("home instance did not answer a relayed statement")
}

// UnansweredError returns the answer to a relayed statement that the home instance did not
// answer before the session ended in a state. The home instance rolls back an open
// transaction, so only a commit, or a write outside a transaction, has an unknown outcome.
func UnansweredError(st Statement, s State, mayHaveRun bool) *core.Error {
	const reason = "the instance that served the session did not answer"
	isCommit := s == StateTransaction && st.Kind == KindCommit
	mayWrite := s == StateIdle && (st.Kind == KindWrite || st.Kind == KindExecute)
	switch {
	case mayHaveRun && (isCommit || mayWrite):
		return core.NewError(core.CodeOutcomeUnknown, reason)
	case s != StateIdle:
		return core.NewError(core.CodeTransactionLost, reason+"; the transaction is rolled back").WithRetry(defaultRetryAfter)
	case !mayHaveRun:
		return core.NewError(core.CodeDraining, reason+"; nothing was run").WithRetry(defaultRetryAfter)
	case st.Kind == KindRead:
		return core.NewError(core.CodeReadFailed, reason).WithRetry(defaultRetryAfter)
	default:
		return core.NewError(core.CodeNoConnection, reason+"; nothing is kept").WithRetry(defaultRetryAfter)
	}
}

// relayCandidates returns the home instances to try for a group: those of the local
// data centre first, each set in random order, but for those that respond slowly.
func (p *Proxy) relayCandidates(g core.Group) []Peer {
	homes := p.placement.Load().homes[g]
	peers := make(map[core.Instance]Peer, len(homes))
	var near, far []core.Instance
	now := p.now()
	for _, k := range rand.Perm(len(homes)) {
		h := homes[k]
		peers[h.Name] = h
		switch {
		case p.avoidedHomes.has(g, h.Name, now):
		case p.isNear(h):
			near = append(near, h.Name)
		default:
			far = append(far, h.Name)
		}
	}
	var list []Peer
	for _, i := range p.homeResponses.order(now, near, far) {
		list = append(list, peers[i])
	}
	return list[:min(maxRelayAttempts, len(list))]
}

func (p *Proxy) isNear(to Peer) bool { return string(to.DataCentre) == p.settings.DataCentre }

// observeHome records how long a home instance took to accept a session. A refusal says
// nothing about that.
func (p *Proxy) observeHome(to Peer, startedAt time.Time, err error) {
	if err != nil && failureOf(err) != failover.OutcomeTimeout {
		return
	}
	now := p.now()
	took := now.Sub(startedAt)
	if p.homeResponses.observe(now, to.Name, p.isNear(to), took) {
		_, slow := p.homeResponses.recent(now, to.Name)
		p.counts.homesSlow.Inc(1)
		p.event(core.EventRelay).WithField("home", to.Name).WithField("slow", slow).WithField("took_ms", took.Milliseconds()).Info("response of a home instance changed")
	}
}

// homeResponses are the observed responses of home instances.
type homeResponses struct {
	mu        sync.Mutex
	responses home.Responses
}

func (r *homeResponses) observe(now time.Time, i core.Instance, isNear bool, took time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.responses.Observe(now, i, isNear, took)
}

func (r *homeResponses) recent(now time.Time, i core.Instance) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.responses.Recent(now, i)
}

func (r *homeResponses) order(now time.Time, near, far []core.Instance) []core.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.responses.Order(now, near, far)
}

// groupOf returns a group and starts to serve it if this instance is not a home
// instance of it. It returns nil if the configuration does not name the group.
func (p *Proxy) groupOf(name core.Group) *group {
	if g := p.placement.Load().groups[name]; g != nil {
		return g
	}
	done := make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	p.control.post(ctx, func(now time.Time) {
		p.control.addNonHomeGroup(now, name)
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
	return p.placement.Load().groups[name]
}

// avoidHome relays no session of a group, or of allGroups, to an instance for avoidDuration.
func (p *Proxy) avoidHome(g core.Group, i core.Instance) {
	now := p.now()
	p.avoidedHomes.add(g, i, now, now.Add(avoidDuration))
}

// isLost reports whether this instance connects to a group and does not reach enough of
// its endpoints.
func (p *Proxy) isLost(name core.Group) bool {
	g := p.placement.Load().groups[name]
	return g != nil && g.lost.Load()
}

// avoidedInstances holds the home instances of groups that recently did not accept a
// session.
type avoidedInstances struct {
	mu    sync.Mutex
	until map[avoidedInstance]time.Time
}

// allGroups stands for every group of an avoided instance.
const allGroups core.Group = ""

// avoidedInstance is a home instance of a group.
type avoidedInstance struct {
	group    core.Group
	instance core.Instance
}

// add avoids an instance until a time, and forgets those that are avoided no longer.
func (a *avoidedInstances) add(g core.Group, i core.Instance, now, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.until, func(_ avoidedInstance, until time.Time) bool { return !now.Before(until) })
	if a.until == nil {
		a.until = make(map[avoidedInstance]time.Time)
	}
	a.until[avoidedInstance{g, i}] = until
}

func (a *avoidedInstances) has(g core.Group, i core.Instance, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.until[avoidedInstance{g, i}]) || now.Before(a.until[avoidedInstance{allGroups, i}])
}
