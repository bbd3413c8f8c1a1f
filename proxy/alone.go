package proxy

import (
	"context"
	"time"

	"anviltack/core"
	"anviltack/core/mark"
)

const (
	// alonePeriod separates proofs for a primary whose replicas do not answer;
	// bounded reads need one within their bound.
	alonePeriod = 600 * time.Millisecond
	// aloneAwaited separates them while a statement waits for one.
	aloneAwaited = 50 * time.Millisecond
)

// proveAlone proves by the register, while the primary's replicas do not answer,
// that nobody replaced it: promotions are only asked for in a turn. Reads go on at
// the primary; writes do not, since no majority would hold them.
func (g *groupControl) proveAlone(now time.Time) {
	if g.proving || !g.machine.IsAlone() || !g.control.proxy.seams.Register.Usable() {
		return
	}
	since := now.Sub(g.provedAt)
	if since < aloneAwaited || since < alonePeriod && !g.machine.IsAwaited() {
		return
	}
	term, primary := g.machine.Primary()
	g.proving, g.provedAt = true, now
	go g.proveByTurn(now, term, g.endpoints[primary])
}

// proveByTurn reads the group's turn and then the end of the primary's log, which
// holds everything acknowledged before the turn was read.
func (g *groupControl) proveByTurn(asOf time.Time, term uint64, e *endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), reportLimit)
	defer cancel()
	item, err := g.control.proxy.seams.Register.Get(ctx, string(g.group.name))
	var point core.Point
	var since time.Time
	if err == nil {
		_, since, err = e.request(false, func(c *Conn) (Report, error) {
			var err error
			point, err = c.Witness(reportLimit)
			return Report{}, err
		})
	}
	g.control.post(context.Background(), func(now time.Time) {
		g.proving = false
		if err != nil {
			return
		}
		g.turn.Observe(now, item.Revision, item.Value)
		if !g.turn.IsIdleSince(item.Revision, g.machine.Confirmed().AsOf) {
			return
		}
		g.machine.Runs(e.info.Name, since)
		g.tracker.History().Add(mark.GroupSample{At: asOf, Point: point})
		g.perform(now, g.machine.Unreplaced(now, term, asOf))
	})
}
