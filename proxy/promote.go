package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"anviltack/core"
	"anviltack/core/turn"
)

var (
	errTurnTaken  = errors.New("proxy: another instance has the turn")
	errTurnOver   = errors.New("proxy: the turn ended before the promotion was asked for")
	errNotPrimary = errors.New("proxy: the endpoint did not become primary in time")
)

// learnTurn reads the last turn of a group, so that its age is known when the
// next one is wanted.
func (p *Proxy) learnTurn(g *groupControl) {
	ctx, cancel := context.WithTimeout(context.Background(), turn.Window)
	defer cancel()
	item, err := p.seams.Register.Get(ctx, string(g.group.name))
	if err != nil {
		return
	}
	g.control.post(ctx, func(now time.Time) { g.turn.Seen(now, item.Revision, ownerOf(item.Value)) })
}

// promote takes a turn, asks for the promotion and waits until the endpoint is
// primary.
func (g *groupControl) promote(e *endpoint, term uint64) {
	p := g.control.proxy
	log := p.event(core.EventFailover).WithField("group", g.group.name).WithField("endpoint", e.info.Name).WithField("term", term)
	r, err := g.turnOver(e)
	if err != nil {
		log.WithError(err).Warn("promotion failed")
	} else {
		log.WithField("point", r.Last.String()).Info("promotion done")
	}
	g.control.post(context.Background(), func(now time.Time) {
		g.perform(now, g.machine.PromoteDone(now, e.info.Name, term, err == nil, r.Status))
	})
}

// turnOver makes the endpoint primary and returns its report.
func (g *groupControl) turnOver(e *endpoint) (Report, error) {
	p := g.control.proxy
	token, asked, err := g.takeTurn()
	if err != nil {
		return Report{}, err
	}
	left := turn.Remaining(p.now(), asked)
	if left == 0 {
		return Report{}, errTurnOver
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	if err := p.seams.Promoter.Promote(ctx, g.group.name, e.info.Name, token); err != nil {
		return Report{}, fmt.Errorf("proxy: could not promote %s: %w", e.info.Name, err)
	}
	for end := p.now().Add(promoteLimit); p.now().Before(end); {
		r, err := e.report(false)
		if err == nil && r.Role == core.RolePrimary {
			return r, nil
		}
		time.Sleep(promotePoll)
	}
	return Report{}, errNotPrimary
}

// takeTurn takes the group's next turn and returns its token and when it was
// asked for.
func (g *groupControl) takeTurn() (uint64, time.Time, error) {
	p := g.control.proxy
	ctx, cancel := context.WithTimeout(context.Background(), turn.Window)
	defer cancel()
	item, err := p.seams.Register.Get(ctx, string(g.group.name))
	if err != nil {
		return 0, time.Time{}, fmt.Errorf("proxy: could not read the turn: %w", err)
	}
	wait := make(chan time.Duration, 1)
	g.control.post(ctx, func(now time.Time) {
		g.turn.Seen(now, item.Revision, ownerOf(item.Value))
		wait <- g.turn.Wait(now, p.settings.Instance)
	})
	select {
	case d := <-wait:
		if d > 0 {
			return 0, time.Time{}, fmt.Errorf("%w: wait %v", errTurnTaken, d)
		}
	case <-ctx.Done():
		return 0, time.Time{}, ctx.Err()
	}
	asked := p.now()
	value := p.settings.Instance + " " + strconv.FormatUint(rand.Uint64(), 36)
	token, err := p.seams.Register.Swap(ctx, string(g.group.name), item.Revision, value)
	if err != nil {
		token, err = g.settleTurn(ctx, value)
	}
	p.event(core.EventTurn).WithField("group", g.group.name).WithField("token", token).WithError(err).Info("turn asked for")
	if err == nil && token == 0 {
		err = errTurnTaken
	}
	return token, asked, err
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

// ownerOf returns the instance that a value of the register names.
func ownerOf(value string) string {
	owner, _, _ := strings.Cut(value, " ")
	return owner
}
