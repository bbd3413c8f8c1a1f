package proxy

import (
	"errors"
	"time"

	"anviltack/core"
	"anviltack/core/quota"
)

// operationToken is the token of the operation that a session runs.
type operationToken struct {
	token quota.Token
	// limit is that of the organisation when the operation arrived; without one there is no
	// token.
	limit quota.Limit
	// isSpent is true from the sending of a statement on, unless that has certainly not
	// run.
	isSpent bool
}

// charge takes a token for an operation that arrives. An operation above its organisation's
// limit is refused.
func (s *session) charge() error {
	limit, _ := s.proxy.limitOf(s.organisation)
	s.operation = operationToken{limit: limit}
	if limit.Rate <= 0 {
		return nil
	}
	var err error
	s.operation.token, err = s.proxy.limits.take(s.organisation, limit, true)
	return err
}

// spend spends the token of the operation right before a statement is sent. If it has
// expired, or was spent on a statement that may have run, another one is taken.
func (s *session) spend() error {
	o := &s.operation
	if o.limit.Rate <= 0 {
		return nil
	}
	if o.isSpent || !o.token.IsValid(s.proxy.now()) {
		t, err := s.proxy.limits.take(s.organisation, o.limit, false)
		if err != nil {
			return err
		}
		o.token = t
	}
	o.isSpent = true
	return nil
}

// acquire waits for a connection to an endpoint and spends the token of the operation that
// is sent there. Its error is always a *core.Error, and then nothing was sent.
func (s *session) acquire(e *endpoint, r Route, arrived time.Time) (*endpointConn, error) {
	remaining := s.remaining(r, arrived)
	if remaining <= 0 {
		return nil, core.NewError(core.CodeOverloaded, "the statement timed out before it was sent to %s", e.info.Name).WithRetry(defaultRetryAfter)
	}
	c, err := e.acquire(s.connectionRequest(e, r, arrived, remaining))
	if err != nil {
		return nil, err
	}
	if err := s.spend(); err != nil {
		c.release(true)
		return nil, err
	}
	return c, nil
}

// keepToken keeps the token for another attempt if an endpoint answered that the statement
// did not run, or if it was not sent.
func (s *session) keepToken(answered error) {
	var e *EndpointError
	if isFinal(answered) || errors.As(answered, &e) && e.IsNotRun() {
		s.operation.isSpent = false
	}
}

// returnToken returns the token of an operation that was not sent.
func (s *session) returnToken() {
	o := s.operation
	s.operation = operationToken{}
	if o.limit.Rate > 0 && !o.isSpent && o.token.IsValid(s.proxy.now()) {
		s.proxy.limits.put(s.organisation, o.token)
	}
}

// isLimitReached reports whether an operation was refused because of its organisation's
// limit.
func isLimitReached(err error) bool {
	var e *core.Error
	return errors.As(err, &e) && e.Code == core.CodeLimitReached
}
