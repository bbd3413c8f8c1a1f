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

// opinionLimit bounds one question to a peer about a primary.
const opinionLimit = 200 * time.Millisecond

// post has the control goroutine give the group's machine an event.
func (g *groupControl) post(ctx context.Context, event func(now time.Time) []group.Action) {
	g.control.post(ctx, func(now time.Time) { g.step(now, event) })
}

// step gives the group's machine an event and carries out what it asks for.
func (g *groupControl) step(now time.Time, event func(now time.Time) []group.Action) {
	if n := int(g.group.waiting.Load()); (n > 0) != g.waiting {
		g.waiting = n > 0
		g.carryOut(now, g.machine.SetWaiting(now, n))
	}
	if epoch := g.control.fleet.epoch; !g.shown.availability.IsOpen() && g.epoch != epoch {
		g.epoch = epoch
		g.rank(now)
	}
	g.carryOut(now, event(now))
	g.due = g.machine.NextTick()
	g.report()
	if g.isStale() {
		g.publish()
	}
}

// tick lets time pass for the group's machine.
func (g *groupControl) tick(now time.Time) { g.step(now, g.machine.Tick) }

// hurried reacts to a statement that began to wait.
func (g *groupControl) hurried(now time.Time) {
	g.step(now, func(time.Time) []group.Action { return nil })
}

func (g *groupControl) carryOut(now time.Time, actions []group.Action) {
	for _, a := range actions {
		switch a.Kind {
		case group.ActionAskOpinions:
			g.askOpinions(a.Term)
		case group.ActionAnnounce:
			g.announce(a)
		default:
			g.order(now, a)
		}
	}
}

// order hands a request to the sampler of its endpoint.
func (g *groupControl) order(now time.Time, a group.Action) {
	m, ok := g.members[a.Endpoint]
	if !ok {
		return
	}
	if a.Kind == group.ActionFence && g.suspected != a.Term {
		g.suspected = a.Term
		g.control.instance.event(core.EventFailoverBegun).WithField("group", g.group.Name).
			WithField("term", a.Term).WithField("reason", a.Reason).Warn("failover begun")
	}
	select {
	case m.orders <- order{Action: a, at: now}:
	default:
	}
}

// others returns the other live instances in the order of their ranks for the
// group's failover, with this instance's own rank.
func (g *groupControl) others(now time.Time) (rank int, others []member.Member) {
	t := g.control.fleet.table
	rank = -1
	for i, m := range t.HomeInstances(now, g.group.Name, 0) {
		if m.Instance == g.control.instance.settings.Instance {
			rank = i
			continue
		}
		others = append(others, m)
	}
	if rank < 0 {
		rank = len(others)
	}
	return rank, others
}

// rank brings the machine's rank up to date with the fleet. It matters only while
// the group takes no writes.
func (g *groupControl) rank(now time.Time) {
	rank, others := g.others(now)
	g.machine.SetRank(rank, len(others)+1)
}

// askOpinions asks every other instance what it sees of the primary.
func (g *groupControl) askOpinions(term uint64) {
	_, others := g.others(time.Now())
	for _, m := range others {
		go g.askOpinion(m, term)
	}
}

func (g *groupControl) askOpinion(m member.Member, term uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), opinionLimit)
	defer cancel()
	o, err := g.control.instance.peers.Opinion(ctx, m.Address, peer.OpinionRequest{Group: g.group.Name, Term: term})
	if err != nil {
		o = peer.Opinion{}
	}
	opinion := group.Opinion{Instance: m.Instance, Known: o.Known, Term: o.Term, Silent: o.Silent, Stalled: o.Stalled}
	g.post(ctx, func(now time.Time) []group.Action {
		return g.machine.OpinionsReceived(now, []group.Opinion{opinion})
	})
}

// announce tells every other instance of a promotion.
func (g *groupControl) announce(a group.Action) {
	_, others := g.others(time.Now())
	news := peer.Promotion{Group: g.group.Name, Term: a.Term, Endpoint: a.Endpoint}
	for _, m := range others {
		go func() {
			_ = g.control.instance.peers.AnnouncePromotion(context.Background(), m.Address, news)
		}()
	}
}

// opinion answers a peer that asks about a group's primary.
func (in *Instance) opinion(ctx context.Context, r peer.OpinionRequest) peer.Opinion {
	answer := make(chan peer.Opinion, 1)
	in.control.post(ctx, func(now time.Time) {
		g, ok := in.control.groups[r.Group]
		if !ok {
			answer <- peer.Opinion{}
			return
		}
		o := g.machine.Opinion(now)
		answer <- peer.Opinion{Known: o.Known, Term: o.Term, Silent: o.Silent, Stalled: o.Stalled}
	})
	select {
	case o := <-answer:
		return o
	case <-ctx.Done():
		return peer.Opinion{}
	}
}

// promoted takes in a peer's word on a promotion.
func (in *Instance) promoted(ctx context.Context, p peer.Promotion) {
	in.control.post(ctx, func(now time.Time) {
		if g, ok := in.control.groups[p.Group]; ok {
			g.step(now, func(now time.Time) []group.Action {
				return g.machine.PromotionAnnounced(now, p.Term, p.Endpoint)
			})
		}
	})
}

// report logs a new primary and a failover that this instance completed.
func (g *groupControl) report() {
	in := g.control.instance
	term, primary := g.machine.Primary()
	if primary != "" && term > g.term {
		in.event(core.EventPrimary).WithField("group", g.group.Name).
			WithField("endpoint", primary).WithField("term", term).Info("primary")
		g.interrupt(g.primary)
	}
	if primary != "" {
		g.term, g.primary = term, primary
	}
	l := g.machine.LastFailover()
	if l.ResumedAt.IsZero() || l.Term == g.reported {
		return
	}
	g.reported = l.Term
	in.counts.failovers.Inc(1)
	e := in.event(core.EventFailover).WithField("group", g.group.Name).WithField("endpoint", l.Endpoint).
		WithField("term", l.Term).WithField("reason", l.Reason)
	steps := []time.Time{l.BeganAt, l.SuspectedAt, l.DecidedAt, l.FencedAt, l.PromotedAt, l.ResumedAt}
	for i, name := range []string{"detect", "ask", "fence", "promote", "resume"} {
		e = e.WithField(name, steps[i+1].Sub(steps[i]).Round(time.Millisecond/10).String())
	}
	e.Warn("failover completed")
}

// interrupt ends the wait of statements on a replaced primary; their outcome is
// settled by the confirmation, which can no longer come.
func (g *groupControl) interrupt(replaced core.Endpoint) {
	m, ok := g.members[replaced]
	if !ok {
		return
	}
	g.publish()
	g.control.instance.sessions.interruptStatements(m.member.links.address)
}

// groupMembers lists the members for the machine.
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
