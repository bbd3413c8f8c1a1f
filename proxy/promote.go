package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"anviltack/core"
	failover "anviltack/core/group"
	"anviltack/core/lease"
)

var (
	errTurnTaken  = errors.New("proxy: another instance has the turn")
	errTurnOver   = errors.New("proxy: the turn ended before the promotion was asked for")
	errNotPrimary = errors.New("proxy: the endpoint did not become primary in time")
)

// settlePause separates reads of a turn that is not settled.
const settlePause = 100 * time.Millisecond

// settle reads the group's last turn, so that its age is known when the next one is
// wanted, and learns whether a promotion may still come of it.
func (g *groupControl) settle(now time.Time) {
	if g.settling {
		return
	}
	g.settling, g.settledAt = true, now
	go g.readTurn(now)
}

// readTurn reads the turn as of asOf.
func (g *groupControl) readTurn(asOf time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), lease.Duration)
	defer cancel()
	item, err := g.control.proxy.seams.Register.Get(ctx, string(g.group.name))
	g.control.post(context.Background(), func(now time.Time) {
		g.settling = false
		if err != nil {
			return
		}
		g.turn.Observe(now, item.Revision, item.Value)
		if g.turn.IsInactive(item.Revision, asOf) {
			g.perform(now, g.machine.Settled(now, asOf))
		}
	})
}

// taken is a turn that this instance took.
type taken struct {
	token uint64
	// asked is when the turn was asked for; it ends a window later.
	asked time.Time
	value string
}

// beginTurn takes the group's next turn and fences the endpoints in it. Without
// the turn nothing is fenced, and the failover waits.
func (g *groupControl) beginTurn(now time.Time, term uint64, reason failover.Reason, endpoints []*endpoint) {
	p := g.control.proxy
	log := p.event(core.EventFailoverBegun).WithField("group", g.group.name).WithField("term", term).WithField("reason", reason)
	if d := g.turn.AcquireDelay(now, p.settings.Instance); d > 0 {
		log.WithField("wait_ms", d.Milliseconds()).Info("failover waits for another instance's turn to end")
		g.perform(now, g.machine.Hold(now, d))
		return
	}
	log.Warn("failover begins")
	go g.fenceAll(term, endpoints)
}

// fenceAll takes the turn and fences the endpoints.
func (g *groupControl) fenceAll(term uint64, endpoints []*endpoint) {
	p := g.control.proxy
	t, err := g.takeTurn()
	p.event(core.EventTurn).WithField("group", g.group.name).WithField("token", t.token).WithError(err).Info("turn asked for")
	if err != nil {
		g.control.post(context.Background(), func(now time.Time) { g.perform(now, g.machine.Hold(now, turnPause)) })
		return
	}
	g.control.post(context.Background(), func(time.Time) { g.taken = t })
	for _, e := range endpoints {
		go g.fence(e, term)
	}
}

// turnPause is how long a failover waits after the turn could not be had.
const turnPause = 250 * time.Millisecond

// fence fences an endpoint at a term.
func (g *groupControl) fence(e *endpoint, term uint64) {
	role := core.RoleReplica
	if s := g.group.state.Load(); s.primary == e {
		role = core.RolePrimary
	}
	r, err := e.fence(term, role)
	g.control.proxy.event(core.EventFailoverBegun).WithField("group", g.group.name).WithField("endpoint", e.info.Name).WithField("term", term).WithField("held", r.Fence).WithField("point", r.Last.String()).WithError(err).Info("endpoint answered a fence")
	g.control.post(context.Background(), func(now time.Time) {
		g.perform(now, g.machine.Fenced(now, e.info.Name, term, r.Status, err == nil && r.Fence >= term))
	})
}

// promote asks for the promotion and waits until the endpoint is primary.
func (g *groupControl) promote(e *endpoint, term uint64, t taken) {
	p := g.control.proxy
	log := p.event(core.EventFailover).WithField("group", g.group.name).WithField("endpoint", e.info.Name).WithField("term", term).WithField("token", t.token)
	r, err := g.turnOver(e, t)
	if err != nil {
		log.WithError(err).Warn("promotion failed")
	} else {
		log.WithField("point", r.Last.String()).Info("promotion done")
		go g.endTurn(t)
	}
	g.control.post(context.Background(), func(now time.Time) {
		g.perform(now, g.machine.PromoteDone(now, e.info.Name, term, err == nil, r.Status))
	})
}

// turnOver makes the endpoint primary and returns its report.
func (g *groupControl) turnOver(e *endpoint, t taken) (Report, error) {
	p := g.control.proxy
	left := lease.Remaining(p.now(), t.asked)
	if left == 0 {
		return Report{}, errTurnOver
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	if err := p.seams.Promoter.Promote(ctx, g.group.name, e.info.Name, t.token); err != nil {
		return Report{}, fmt.Errorf("proxy: could not promote %s: %w", e.info.Name, err)
	}
	for end := p.now().Add(promoteLimit); p.now().Before(end); {
		r, _, err := e.sample(false)
		if err == nil && r.Role == core.RolePrimary {
			return r, nil
		}
		time.Sleep(promotePoll)
	}
	return Report{}, errNotPrimary
}

// endTurn tells that the turn's promotion took effect, so that an instance that starts
// later need not wait until the turn is old.
func (g *groupControl) endTurn(t taken) {
	ctx, cancel := context.WithTimeout(context.Background(), lease.Duration)
	defer cancel()
	_, err := g.control.proxy.seams.Register.Swap(ctx, string(g.group.name), t.token, lease.Released(t.value))
	g.control.proxy.event(core.EventTurn).WithField("group", g.group.name).WithField("token", t.token).WithError(err).Info("turn ended")
}

// takeTurn takes the group's next turn.
func (g *groupControl) takeTurn() (taken, error) {
	p := g.control.proxy
	ctx, cancel := context.WithTimeout(context.Background(), lease.Duration)
	defer cancel()
	item, err := p.seams.Register.Get(ctx, string(g.group.name))
	if err != nil {
		return taken{}, fmt.Errorf("proxy: could not read the turn: %w", err)
	}
	wait := make(chan time.Duration, 1)
	g.control.post(ctx, func(now time.Time) {
		g.turn.Observe(now, item.Revision, item.Value)
		wait <- g.turn.AcquireDelay(now, p.settings.Instance)
	})
	select {
	case d := <-wait:
		if d > 0 {
			return taken{}, fmt.Errorf("%w: wait %v", errTurnTaken, d)
		}
	case <-ctx.Done():
		return taken{}, ctx.Err()
	}
	t := taken{asked: p.now(), value: p.settings.Instance + " " + strconv.FormatUint(rand.Uint64(), 36)}
	t.token, err = p.seams.Register.Swap(ctx, string(g.group.name), item.Revision, t.value)
	if err != nil {
		t.token, err = g.settleTurn(ctx, t.value)
	}
	if err == nil && t.token == 0 {
		err = errTurnTaken
	}
	return t, err
}

// settleTurn finds out whether a change without an answer was made.
func (g *groupControl) settleTurn(ctx context.Context, value string) (uint64, error) {
	item, err := g.control.proxy.seams.Register.Get(ctx, string(g.group.name))
	if err != nil {
		return 0, fmt.Errorf("proxy: could not read the turn again: %w", err)
	}
	if item.Value != value {
		return 0, errTurnTaken
	}
	return item.Revision, nil
}
