package proxy

import (
	"errors"
	"time"

	"anviltack/core"
	failover "anviltack/core/group"
)

// writeTries bounds how often one write is offered to a primary that promises
// not to have run it.
const writeTries = 4

// maxQueued bounds the writes that wait for a failover to end.
const maxQueued = 64

// primary returns the group's primary and its term. While there is none that is as
// usable says the statement waits if the failover is likely over in time, and is
// refused at once if not.
func (s *session) primary(g *group, arrived time.Time, r Route, usable func(*groupState) bool) (*endpoint, uint64, error) {
	state := g.state.Load()
	if !usable(state) {
		s.proxy.counts.withoutPrimary.Inc(1)
		deadline := arrived.Add(r.Timeout)
		now := s.proxy.now()
		admission := state.available.Admit(now, deadline, int(g.waitingForPrimary.Add(1))-1, maxQueued)
		defer g.waitingForPrimary.Add(-1)
		if !admission.Wait {
			return nil, 0, noPrimary(state, g).WithRetry(admission.RetryAfter)
		}
		g.await(state.available.WaitTimeout(now, deadline), func(v *groupState) bool { state = v; return usable(v) })
		if !usable(state) {
			return nil, 0, noPrimary(state, g).WithRetry(retryAdvice)
		}
	}
	return state.primary, state.term, nil
}

// isServing reports whether the group's primary answers.
func (s *groupState) isServing() bool { return s.primary != nil && s.available.Serving }

// isOpen reports whether the group takes writes.
func (s *groupState) isOpen() bool { return s.primary != nil && s.available.IsOpen() }

func noPrimary(s *groupState, g *group) *core.Error {
	if s.primary != nil && s.available.Serving {
		return core.NewError(core.CodeNotReplicating, "too few replicas of %s follow %s", g.name, s.primary.info.Name)
	}
	return core.NewError(core.CodeNoPrimary, "group %s has no primary in term %d", g.name, s.term)
}

// write runs one write outside a transaction and answers once a majority holds
// it.
func (s *session) write(st Statement, r Route, g *group, arrived time.Time) Answer {
	var last error
	for range writeTries {
		left := r.Timeout - s.proxy.now().Sub(arrived)
		if left <= 0 {
			break
		}
		e, term, err := s.primary(g, arrived, r, (*groupState).isOpen)
		if err != nil {
			return s.fail(err)
		}
		l, err := e.acquire(s.claim(e, r, arrived, left))
		if err != nil {
			return s.fail(err)
		}
		sentAt := s.proxy.now()
		a, err := s.exchange(l, left, st, false)
		l.release(err == nil)
		if err != nil {
			return s.fail(writeError(err))
		}
		if a.Err == nil {
			return s.acknowledge(a, commit{endpoint: e, sentAt: sentAt, term: term, route: r, group: g}, arrived)
		}
		last = a.Err
		if !s.isWorthAnother(g, a.Err) {
			break
		}
	}
	return s.fail(refusedWrite(last))
}

// isWorthAnother reports whether a statement that did not run may be offered
// again, and waits for what should change until then.
func (s *session) isWorthAnother(g *group, err error) bool {
	switch faultOf(err) {
	case FaultBusy:
		time.Sleep(busyPause)
		return true
	case FaultReadOnly, FaultMoved:
		g.want(failover.Demand{AsOf: s.proxy.now()})
		time.Sleep(busyPause)
		return true
	default:
		return false
	}
}

// writeError is what a caller is told of a write without an answer.
func writeError(err error) *core.Error {
	var sent *sentError
	if errors.As(err, &sent) {
		return core.NewError(core.CodeOutcomeUnknown, "%v", err)
	}
	return core.NewError(core.CodeNoConnection, "the write was not sent: %v", err).WithRetry(retryAdvice)
}

// refusedWrite is what a caller is told of a write that an endpoint refused.
func refusedWrite(err error) *core.Error {
	var fault *EndpointError
	switch {
	case err == nil:
		return core.NewError(core.CodeOverloaded, "the statement's time was over before the primary took it").WithRetry(retryAdvice)
	case !errors.As(err, &fault):
		return asError(err)
	case fault.Fault == FaultUnknownName:
		return core.NewError(core.CodeUnknownPrepared, "%v", err)
	case fault.IsNotRun():
		return core.NewError(core.CodeOverloaded, "the primary refused: %v", err).WithRetry(retryAdvice)
	default:
		return core.NewError(core.CodeOutcomeUnknown, "%v", err)
	}
}

// commit is a commit that an endpoint answered.
type commit struct {
	endpoint *endpoint
	// sentAt is when the statement went to the endpoint, in term.
	sentAt time.Time
	term   uint64
	route  Route
	group  *group
}

// acknowledge answers a commit once a majority holds it in the primary's term.
func (s *session) acknowledge(a Answer, c commit, arrived time.Time) Answer {
	at := s.proxy.now()
	c.group.control.postPrimaryCheck(c.endpoint, primaryCheck{sentAt: c.sentAt, runningSince: a.runsSince, point: a.Point})
	c.group.want(failover.Demand{Point: a.Point})
	left := max(c.route.Timeout-at.Sub(arrived), busyPause)
	if v := c.group.verdict(left, time.Time{}, c.term, a.Point); v != failover.VerdictConfirmed {
		return s.fail(core.NewError(core.CodeOutcomeUnknown, "the commit at %s was not seen on a majority in term %d: %s", a.Point, c.term, v))
	}
	s.proxy.counts.confirmTime.Update(int64(s.proxy.now().Sub(at)))
	s.notePoint(c.route.Group, a.Point, at)
	a.State, a.Point = s.state(), core.Point{}
	return a
}
