package proxy

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"anviltack/core"
	failover "anviltack/core/group"
)

// unansweredError means that a statement may have reached the endpoint and got no
// answer.
type unansweredError struct {
	endpoint core.Endpoint
	err      error
}

// Error names the endpoint and the cause.
func (e *unansweredError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", e.endpoint, e.err)
}

// Unwrap returns the cause.
func (e *unansweredError) Unwrap() error { return e.err }

var (
	errSetup = errors.New("proxy: the endpoint did not accept the session values or the prepared statement")
	// errUnknownName means that nothing ran, and that the statement can be prepared again.
	errUnknownName = errors.New("proxy: the endpoint does not know the prepared statement")
	// errState means that a statement ran inside another transaction than its session's, or
	// outside it.
	errState = errors.New("proxy: the endpoint answered with another transaction state")
)

// exchange runs a statement on a connection and returns the endpoint's answer. If
// pipelineSetup is set, preparations are sent in the same batch; this is allowed only for a
// statement that an endpoint may answer without the preparation.
func (s *session) exchange(c *endpointConn, timeout time.Duration, st Statement, pipelineSetup bool) (Answer, error) {
	defer func() {
		if r := recover(); r != nil {
			if s.tx != nil && s.tx.conn == c {
				s.tx.conn = nil
			}
			c.release(false)
			panic(r)
		}
	}()
	setup := c.setup(s, &st)
	s.proxy.counts.ownStatements.Inc(int64(len(setup)))
	if len(setup) > 0 && (!pipelineSetup || changesValues(setup)) {
		deadline := s.proxy.now().Add(timeout)
		if err := s.runSetup(c, timeout, setup); err != nil {
			return s.answerUnsent(c, st, err)
		}
		setup = nil
		timeout = max(deadline.Sub(s.proxy.now()), busyRetryDelay)
	}
	sentAt := s.proxy.now()
	overdue := c.endpoint.watchOverdue(sentAt)
	answers, err := c.conn.Exchange(timeout, append(setup, st))
	overdue.Stop()
	now := s.proxy.now()
	if isUnsent(err) {
		return s.answerUnsent(c, st, err)
	}
	if err != nil {
		c.endpoint.recordFailure(now, sentAt, err)
		return Answer{}, &unansweredError{endpoint: c.endpoint.info.Name, err: err}
	}
	if err := c.acceptSetup(setup, answers[:len(setup)]); err != nil {
		return Answer{}, err
	}
	a := answers[len(answers)-1]
	if st.Kind == KindExecute && errorKindOf(a.Err) == ErrorKindUnknownName {
		// It is prepared as far as the instance knows, so the connection can't be relied upon.
		c.recordUnknownName(st, a.Err)
		return Answer{}, errUnknownName
	}
	a.upSince = c.recordUptime(sentAt)
	c.succeeded = a.Err == nil
	c.endpoint.recordAnswer(now, st.AfterAt, a)
	c.state = a.State
	if a.Err == nil && a.State != s.stateAfter(st) {
		return Answer{}, &unansweredError{endpoint: c.endpoint.info.Name, err: errState}
	}
	return a, nil
}

// stateAfter returns the state in which a statement that succeeded leaves its connection.
func (s *session) stateAfter(st Statement) State {
	if st.Kind == KindBegin || s.tx != nil && st.Kind != KindCommit {
		return StateTransaction
	}
	return StateIdle
}

// changesValues reports whether a setup changes session values. A statement would run with
// wrong ones if the endpoint did not accept them.
func changesValues(setup []Statement) bool {
	return slices.ContainsFunc(setup, func(st Statement) bool { return st.Kind == KindSet || st.Kind == KindReset })
}

// runSetup runs the instance's own statements ahead of a caller's.
func (s *session) runSetup(c *endpointConn, timeout time.Duration, setup []Statement) error {
	sentAt := s.proxy.now()
	answers, err := c.conn.Exchange(timeout, setup)
	if err != nil && !isUnsent(err) {
		c.endpoint.recordFailure(s.proxy.now(), sentAt, err)
	}
	if err != nil {
		return err
	}
	return c.acceptSetup(setup, answers)
}

// isUnsent reports whether nothing was sent because a message could not be written.
func isUnsent(err error) bool {
	var e *MessageError
	return errors.As(err, &e)
}

// answerUnsent answers a statement that cannot be sent as a message, with a final refusal; any
// other error is returned.
func (s *session) answerUnsent(c *endpointConn, st Statement, err error) (Answer, error) {
	var e *MessageError
	if !errors.As(err, &e) {
		return Answer{}, err
	}
	c.recordRefusedMessage(st.ID, err)
	return Answer{Err: e.refusal(), State: s.state()}, nil
}

// isFinal reports whether a statement was refused for a reason that is in its text, so that
// another endpoint cannot run it either.
func isFinal(err error) bool {
	var e *core.Error
	return errors.As(err, &e) && (e.Code == core.CodeTooLarge || e.Code == core.CodeBadMessage)
}

// errorKindOf returns the kind of an EndpointError, empty for any other error.
func errorKindOf(err error) ErrorKind {
	var e *EndpointError
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// addDemand requests samples of the endpoints until a majority satisfies the demand.
func (g *group) addDemand(demand failover.Demand) {
	g.groupControl.control.tryPost(func(now time.Time) { g.groupControl.perform(now, g.groupControl.machine.AddDemand(now, demand)) })
}

// awaitVerdict waits until the statement is confirmed or no longer can be.
func (g *group) awaitVerdict(timeout time.Duration, asOf time.Time, term uint64, p core.Point) failover.Verdict {
	v := failover.VerdictPending
	g.awaitState(timeout, func(s *groupState) bool {
		v = s.confirmed.Verdict(asOf, term, p)
		return v != failover.VerdictPending
	})
	return v
}

// awaitState waits until a state satisfies ok, at most for timeout, and reports
// whether one did.
func (g *group) awaitState(timeout time.Duration, ok func(*groupState) bool) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		state, changed := g.watch()
		if ok(state) {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		}
	}
}
