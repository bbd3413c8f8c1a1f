package instance

import (
	"context"
	"slices"
	"time"

	"anviltack/core"
	"anviltack/core/group"
	"anviltack/core/member"
	"anviltack/io/peer"
)

// opinionTimeout is the timeout for asking one peer for its opinion of a
// primary.
const opinionTimeout = 200 * time.Millisecond

// post queues an event for the group's machine.
func (g *groupControl) post(ctx context.Context, event func(now time.Time) []group.Action) {
	g.control.post(ctx, func(now time.Time) { g.step(now, event) })
}

// step passes an event to the group's machine and carries out the resulting
// actions.
func (g *groupControl) step(now time.Time, event func(now time.Time) []group.Action) {
	if n := int(g.group.waiting.Load()); (n > 0) != g.hasWaiting {
		g.hasWaiting = n > 0
		g.carryOut(now, g.machine.SetWaiting(now, n))
	}
	if epoch := g.control.membership.epoch; !g.published.availability.IsOpen() && g.rankEpoch != epoch {
		g.rankEpoch = epoch
		g.updateRank(now)
	}
	g.carryOut(now, event(now))
	g.nextTick = g.machine.NextTick()
	g.reportChanges()
	if g.isPublishedStale() {
		g.publish()
	}
}

// tick runs the timers of the group's machine.
func (g *groupControl) tick(now time.Time) { g.step(now, g.machine.Tick) }

// statementWaiting notifies the machine of a statement that began to wait.
func (g *groupControl) statementWaiting(now time.Time) {
	g.step(now, func(time.Time) []group.Action { return nil })
}

func (g *groupControl) carryOut(now time.Time, actions []group.Action) {
	for _, a := range actions {
		switch a.Kind {
		case group.ActionAskOpinions:
			g.requestOpinions(a.Term)
		case group.ActionAnnounce:
			g.announcePromotion(a)
		default:
			g.dispatch(now, a)
		}
	}
}

// dispatch queues an action for the sampler of its endpoint, or drops it if that
// queue is full. It logs the first fence of a term as the start of a failover.
func (g *groupControl) dispatch(now time.Time, a group.Action) {
	m, ok := g.members[a.Endpoint]
	if !ok {
		return
	}
	if a.Kind == group.ActionFence && g.begunTerm != a.Term {
		g.begunTerm = a.Term
		g.control.instance.event(core.EventFailoverBegun).WithField("group", g.group.Name).
			WithField("term", a.Term).WithField("reason", a.Reason).Warn("failover started")
	}
	select {
	case m.requests <- endpointRequest{Action: a, requestedAt: now}:
	default:
	}
}

// rankedPeers returns this instance's rank for the group's failover and the
// other live instances in rank order.
func (g *groupControl) rankedPeers(now time.Time) (rank int, peers []member.Member) {
	table := g.control.membership.table
	rank = -1
	for i, m := range table.HomeInstances(now, g.group.Name, 0) {
		if m.Instance == g.control.instance.settings.Instance {
			rank = i
			continue
		}
		peers = append(peers, m)
	}
	if rank < 0 {
		rank = len(peers)
	}
	return rank, peers
}

// updateRank updates the machine's rank from the membership. The rank is needed
// only while the group accepts no writes.
func (g *groupControl) updateRank(now time.Time) {
	rank, peers := g.rankedPeers(now)
	g.machine.SetRank(rank, len(peers)+1)
}

// requestOpinions asks every other live instance for its opinion of the primary.
func (g *groupControl) requestOpinions(term uint64) {
	_, peers := g.rankedPeers(time.Now())
	for _, m := range peers {
		go g.requestOpinion(m, term)
	}
}

func (g *groupControl) requestOpinion(m member.Member, term uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), opinionTimeout)
	defer cancel()
	o, err := g.control.instance.peers.Opinion(ctx, m.Address, peer.OpinionRequest{Group: g.group.Name, Term: term})
	if err != nil {
		o = peer.Opinion{}
	}
	opinion := group.Opinion{Instance: m.Instance, Known: o.Known, Term: o.Term, SinceResponse: o.SinceResponse, SinceConfirmation: o.SinceConfirmation}
	g.post(ctx, func(now time.Time) []group.Action {
		return g.machine.OpinionsReceived(now, []group.Opinion{opinion})
	})
}

// announcePromotion notifies every other live instance of a promotion.
func (g *groupControl) announcePromotion(a group.Action) {
	_, peers := g.rankedPeers(time.Now())
	promotion := peer.Promotion{Group: g.group.Name, Term: a.Term, Endpoint: a.Endpoint}
	for _, m := range peers {
		go func() {
			_ = g.control.instance.peers.AnnouncePromotion(context.Background(), m.Address, promotion)
		}()
	}
}

// handleOpinionRequest returns this instance's opinion of a group's primary.
func (in *Instance) handleOpinionRequest(ctx context.Context, r peer.OpinionRequest) peer.Opinion {
	response := make(chan peer.Opinion, 1)
	in.control.post(ctx, func(now time.Time) {
		g, ok := in.control.groups[r.Group]
		if !ok {
			response <- peer.Opinion{}
			return
		}
		o := g.machine.Opinion(now)
		response <- peer.Opinion{Known: o.Known, Term: o.Term, SinceResponse: o.SinceResponse, SinceConfirmation: o.SinceConfirmation}
	})
	select {
	case o := <-response:
		return o
	case <-ctx.Done():
		return peer.Opinion{}
	}
}

// handlePromotion handles a peer's announcement of a promotion.
func (in *Instance) handlePromotion(ctx context.Context, p peer.Promotion) {
	in.control.post(ctx, func(now time.Time) {
		if g, ok := in.control.groups[p.Group]; ok {
			g.step(now, func(now time.Time) []group.Action {
				return g.machine.PromotionAnnounced(now, p.Term, p.Endpoint)
			})
		}
	})
}

// reportChanges logs a new primary and interrupts the statements on the replaced
// one, and logs a failover that this instance completed.
func (g *groupControl) reportChanges() {
	in := g.control.instance
	term, primary := g.machine.Primary()
	if primary != "" && term > g.term {
		in.event(core.EventPrimary).WithField("group", g.group.Name).
			WithField("endpoint", primary).WithField("term", term).Info("group has a new primary")
		g.interrupt(g.primary)
	}
	if primary != "" {
		g.term, g.primary = term, primary
	}
	last := g.machine.LastFailover()
	if last.ResumedAt.IsZero() || last.Term == g.completedTerm {
		return
	}
	g.completedTerm = last.Term
	in.counters.failovers.Inc(1)
	entry := in.event(core.EventFailover).WithField("group", g.group.Name).WithField("endpoint", last.Endpoint).
		WithField("term", last.Term).WithField("reason", last.Reason)
	steps := []time.Time{last.BeganAt, last.SuspectedAt, last.DecidedAt, last.FencedAt, last.PromotedAt, last.ResumedAt}
	for i, name := range []string{"detect", "ask", "fence", "promote", "resume"} {
		entry = entry.WithField(name, steps[i+1].Sub(steps[i]).Round(time.Millisecond/10).String())
	}
	entry.Warn("failover completed")
}

// interrupt aborts the statements that wait for a response from a replaced
// primary. Their outcome depends on the confirmation, which can no longer come.
func (g *groupControl) interrupt(replaced core.Endpoint) {
	m, ok := g.members[replaced]
	if !ok {
		return
	}
	g.publish()
	g.control.instance.sessions.interruptStatements(m.member.pool.address)
}

// groupMembers returns the members for the machine, sorted by name.
func (g *groupControl) groupMembers() []group.Member {
	members := make([]group.Member, 0, len(g.members))
	for name, m := range g.members {
		members = append(members, group.Member{Name: name, DataCentre: m.config.DataCentre, Leaving: m.config.Leaving})
	}
	slices.SortFunc(members, func(a, b group.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return members
}
