package proxy

import (
	"context"
	"time"

	"anviltack/core"
	failover "anviltack/core/group"
)

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
		if r.Term >= g.voters.set.Floor {
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
	if p := c.point; p != (core.Point{}) && p.Term >= g.voters.set.Floor {
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
