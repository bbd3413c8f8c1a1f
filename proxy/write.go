package proxy

import (
	"errors"
	"time"

	"anviltack/core"
	failover "anviltack/core/group"
)

// maxWriteAttempts bounds how often a write is sent while the endpoint guarantees that
// it did not run.
const maxWriteAttempts = 4

// maxPrimaryWaiters limits the statements that wait for a failover to end.
const maxPrimaryWaiters = 64

// awaitPrimary returns the group's primary and its term. While no primary is usable,
// the statement waits if the failover is expected to end in time and is rejected at
// once otherwise.
func (s *session) awaitPrimary(g *group, arrived time.Time, r Route, usable func(*groupState) bool) (*endpoint, uint64, error) {
	state := g.state.Load()
	if !usable(state) {
		s.proxy.counts.withoutPrimary.Inc(1)
		deadline := arrived.Add(r.Timeout)
		now := s.proxy.now()
		admission := state.available.Admit(now, deadline, int(g.waitingForPrimary.Add(1))-1, maxPrimaryWaiters)
		defer g.waitingForPrimary.Add(-1)
		if !admission.Wait || g.lost.Load() {
			return nil, 0, noPrimaryError(state, g).WithRetry(max(admission.RetryAfter, defaultRetryAfter))
		}
		g.awaitState(state.available.WaitTimeout(now, deadline), func(next *groupState) bool { state = next; return usable(next) })
		if !usable(state) {
			return nil, 0, noPrimaryError(state, g).WithRetry(defaultRetryAfter)
		}
	}
	return state.primary, state.term, nil
}

// isServing reports whether the group has a primary that answers.
func (s *groupState) isServing() bool { return s.primary != nil && s.available.Serving }

// isOpen reports whether the group accepts writes.
func (s *groupState) isOpen() bool { return s.primary != nil && s.available.IsOpen() }

func noPrimaryError(s *groupState, g *group) *core.Error {
	if s.primary != nil && s.available.Serving {
		return core.NewError(core.CodeNotReplicating, "too few replicas of %s follow %s", g.name, s.primary.info.Name)
	}
	return core.NewError(core.CodeNoPrimary, "group %s has no primary in term %d", g.name, s.term)
}

// write runs a write outside a transaction and answers once a majority has it.
func (s *session) write(st Statement, r Route, g *group, arrived time.Time) Answer {
	var lastErr error
	for range maxWriteAttempts {
		if s.remaining(r, arrived) <= 0 {
			break
		}
		e, term, err := s.awaitPrimary(g, arrived, r, (*groupState).isOpen)
		if err != nil {
			return s.fail(err)
		}
		c, err := s.acquire(e, r, arrived)
		if err != nil {
			return s.fail(err)
		}
		sentAt := s.proxy.now()
		a, err := s.exchange(c, s.exchangeTimeout(r, arrived), st, false)
		c.release(err == nil)
		if errors.Is(err, errUnknownName) {
			lastErr = writeError(err)
			continue
		}
		if err != nil {
			return s.fail(writeError(err))
		}
		if a.Err == nil {
			return s.acknowledge(a, commit{endpoint: e, sentAt: sentAt, term: term, route: r, group: g}, arrived)
		}
		lastErr = a.Err
		s.keepToken(a.Err)
		if !s.awaitRetry(g, a.Err) {
			break
		}
	}
	return s.fail(rejectedWriteError(lastErr))
}

// awaitRetry reports whether a statement that did not run may be sent again, and waits
// before it is.
func (s *session) awaitRetry(g *group, err error) bool {
	switch errorKindOf(err) {
	case ErrorKindBusy:
		time.Sleep(busyRetryDelay)
		return true
	case ErrorKindReadOnly, ErrorKindMoved:
		g.addDemand(failover.Demand{AsOf: s.proxy.now()})
		time.Sleep(busyRetryDelay)
		return true
	default:
		return false
	}
}

// writeError converts the error of a write that got no answer.
func writeError(err error) *core.Error {
	var unanswered *unansweredError
	if errors.As(err, &unanswered) {
		return core.NewError(core.CodeOutcomeUnknown, "%v", err)
	}
	return core.NewError(core.CodeNoConnection, "the write was not sent: %v", err).WithRetry(defaultRetryAfter)
}

// rejectedWriteError converts the error of a write that an endpoint rejected.
func rejectedWriteError(err error) *core.Error {
	var endpointErr *EndpointError
	switch {
	case err == nil:
		return core.NewError(core.CodeOverloaded, "the statement timed out before the primary ran it").WithRetry(defaultRetryAfter)
	case !errors.As(err, &endpointErr):
		return asError(err)
	case endpointErr.IsNotRun():
		return core.NewError(core.CodeOverloaded, "the primary rejected the statement: %v", err).WithRetry(defaultRetryAfter)
	default:
		return core.NewError(core.CodeOutcomeUnknown, "%v", err)
	}
}

// commit is a commit that an endpoint answered.
type commit struct {
	endpoint *endpoint
	// sentAt is when the statement was sent to the endpoint, in term.
	sentAt time.Time
	term   uint64
	route  Route
	group  *group
}

// acknowledge answers a commit once a majority has it in the primary's term.
func (s *session) acknowledge(a Answer, c commit, arrived time.Time) Answer {
	at := s.proxy.now()
	c.group.groupControl.postPrimaryCheck(c.endpoint, primaryCheck{sentAt: c.sentAt, upSince: a.upSince, point: a.Point})
	c.group.addDemand(failover.Demand{Point: a.Point})
	if v := c.group.awaitVerdict(s.exchangeTimeout(c.route, arrived), time.Time{}, c.term, a.Point); v != failover.VerdictConfirmed {
		return s.fail(core.NewError(core.CodeOutcomeUnknown, "the commit at %s was not seen on a majority in term %d: %s", a.Point, c.term, v))
	}
	s.proxy.counts.confirmTime.Update(int64(s.proxy.now().Sub(at)))
	s.raiseMark(c.route.Group, a.Point, at)
	a.State, a.Point = s.state(), core.Point{}
	return a
}
