package proxy

import (
	"errors"
	"fmt"
	"time"

	"anviltack/core"
	failover "anviltack/core/group"
)

// sentError tells that a statement may have reached the endpoint and that no
// answer came.
type sentError struct {
	endpoint core.Endpoint
	err      error
}

// Error names the endpoint and the cause.
func (e *sentError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", e.endpoint, e.err)
}

// Unwrap returns the cause.
func (e *sentError) Unwrap() error { return e.err }

var errSetup = errors.New("proxy: the endpoint did not take the session's values or names")

// exchange runs a statement on a connection and returns the endpoint's answer.
// Together with its setup goes only what may run without it.
func (s *session) exchange(l *link, limit time.Duration, st Statement, together bool) (Answer, error) {
	setup := l.setup(s, &st)
	s.proxy.counts.ownStatements.Inc(int64(len(setup)))
	if !together && len(setup) > 0 {
		if err := s.prelude(l, limit, setup); err != nil {
			return Answer{}, err
		}
		setup = nil
	}
	sentAt := s.proxy.now()
	overdue := l.endpoint.expect(sentAt)
	answers, err := l.conn.Exchange(limit, append(setup, st))
	overdue.Stop()
	now := s.proxy.now()
	if err != nil {
		l.endpoint.failed(now, sentAt, err)
		return Answer{}, &sentError{endpoint: l.endpoint.info.Name, err: err}
	}
	for _, a := range answers[:len(answers)-1] {
		if a.Err != nil {
			return Answer{}, errSetup
		}
	}
	a := answers[len(answers)-1]
	a.runsSince = l.lived(sentAt)
	l.endpoint.answered(now, st.AfterAt, a)
	return a, nil
}

// prelude runs the instance's own statements ahead of a caller's.
func (s *session) prelude(l *link, limit time.Duration, setup []Statement) error {
	sentAt := s.proxy.now()
	answers, err := l.conn.Exchange(limit, setup)
	if err != nil {
		l.endpoint.failed(s.proxy.now(), sentAt, err)
		return err
	}
	for _, a := range answers {
		if a.Err != nil {
			return errSetup
		}
	}
	return nil
}

// faultOf returns the endpoint's fault, empty for none.
func faultOf(err error) Fault {
	var e *EndpointError
	if errors.As(err, &e) {
		return e.Fault
	}
	return ""
}

// want makes endpoints report until a majority has shown what is wanted.
func (g *group) want(w failover.Demand) {
	g.control.control.tryPost(func(now time.Time) { g.control.perform(now, g.control.machine.AddDemand(now, w)) })
}

// verdict waits until the statement is confirmed or cannot be any more.
func (g *group) verdict(limit time.Duration, arrived time.Time, term uint64, p core.Point) failover.Verdict {
	v := failover.VerdictPending
	g.await(limit, func(s *groupState) bool {
		v = s.confirmed.Verdict(arrived, term, p)
		return v != failover.VerdictPending
	})
	return v
}

// await waits until a view satisfies ok, at most for limit, and reports whether
// one did.
func (g *group) await(limit time.Duration, ok func(*groupState) bool) bool {
	timer := time.NewTimer(limit)
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
