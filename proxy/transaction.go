package proxy

import (
	"errors"
	"time"

	"anviltack/core"
	failover "anviltack/core/group"
	"anviltack/core/place"
)

// transaction is an open transaction of a session.
type transaction struct {
	readOnly bool
	failed   bool
	// beganAt is when the caller began the transaction.
	beganAt time.Time
	// route and group are those in force when the transaction began.
	route Route
	group *group
	// conn is the connection on which the transaction is open; nil before its first
	// statement.
	conn *endpointConn
	// term is the primary's term when the transaction was opened; zero on a replica.
	// firstArrivedAt is the arrival time of the transaction's first statement.
	term           uint64
	firstArrivedAt time.Time
	// confirmed reports whether it is confirmed that the primary had not been replaced
	// when the transaction was opened.
	confirmed bool
	// wrote reports whether a write was sent, and mayHaveCommitted whether one may have run outside
	// the transaction.
	wrote            bool
	mayHaveCommitted bool
}

// maxOpenAttempts bounds the attempts to open a transaction at an endpoint.
const maxOpenAttempts = 4

// begin begins a transaction. It is opened at an endpoint only with its first
// statement, so that it occupies no connection until then.
func (s *session) begin(st Statement, arrived time.Time) Answer {
	if s.tx != nil {
		return s.fail(core.NewError(core.CodeBadMessage, "a transaction is open"))
	}
	r, g, err := s.startOperation()
	if err != nil {
		return s.fail(err)
	}
	if s.proxy.drainer.refusesTransactions() {
		return s.fail(core.NewError(core.CodeDraining, "the instance is shutting down").WithRetry(defaultRetryAfter))
	}
	// Either stop sees the transaction, or this sees that the session stops.
	s.inTransaction.Store(true)
	if s.stopping.Load() {
		s.inTransaction.Store(false)
		return s.fail(core.NewError(core.CodeDraining, "the session ends; no transaction began").WithRetry(defaultRetryAfter))
	}
	s.tx = &transaction{readOnly: st.ReadOnly, beganAt: arrived, route: r, group: g}
	g.beginUse(s.proxy.now())
	return s.done()
}

// executeInTransaction runs a statement in the open transaction.
func (s *session) executeInTransaction(st Statement, access Kind, arrived time.Time) Answer {
	tx := s.tx
	if err := s.checkTransactionKey(); err != nil {
		s.closeTransactionConn()
		return s.fail(err)
	}
	if tx.conn == nil {
		if err := s.openTransaction(arrived); err != nil {
			return s.fail(transactionError(err))
		}
	}
	tx.wrote = tx.wrote || access == KindWrite
	for range maxWriteAttempts {
		tx.conn.beginStatement()
		a, err := s.exchange(tx.conn, s.exchangeTimeout(tx.route, arrived), st, access == KindRead)
		tx.conn.endStatement()
		if err != nil {
			s.closeTransactionConn()
			tx.mayHaveCommitted = tx.wrote && errors.Is(err, errState)
			return s.fail(tx.lostError(err))
		}
		if access == KindWrite && a.State == StateIdle && mayHaveRun(a.Err) {
			s.closeTransactionConn()
			tx.mayHaveCommitted = true
			return s.fail(tx.lostError(a.Err))
		}
		if errorKindOf(a.Err) == ErrorKindBusy && a.State == StateTransaction {
			time.Sleep(busyRetryDelay)
			continue
		}
		if a.Err != nil {
			return s.fail(transactionError(a.Err))
		}
		if err := s.confirmPrimary(arrived); err != nil {
			return s.fail(err)
		}
		a.State, a.Point = StateTransaction, core.Point{}
		return a
	}
	return s.fail(core.NewError(core.CodeTransactionLost, "the endpoint had no free slot").WithRetry(defaultRetryAfter))
}

// mayHaveRun reports whether an endpoint's answer leaves open that a statement ran.
func mayHaveRun(err error) bool {
	var e *EndpointError
	return errors.As(err, &e) && !e.IsNotRun()
}

// lostError returns the error of a transaction whose connection is closed.
func (t *transaction) lostError(err error) *core.Error {
	if t.mayHaveCommitted {
		return core.NewError(core.CodeOutcomeUnknown, "%v", err)
	}
	return core.NewError(core.CodeTransactionLost, "%v", err).WithRetry(defaultRetryAfter)
}

// transactionError converts the error of a failed statement in a transaction. An open
// transaction is rolled back and has no effects, so its outcome is never unknown.
func transactionError(err error) *core.Error {
	if e := asError(err); e.Code != core.CodeOutcomeUnknown {
		return e
	}
	return core.NewError(core.CodeTransactionLost, "%v", err).WithRetry(defaultRetryAfter)
}

// openTransaction opens the transaction, which is one operation, at an endpoint.
func (s *session) openTransaction(arrived time.Time) error {
	if err := s.charge(); err != nil {
		return err
	}
	tried := map[core.Endpoint]bool{}
	var lastErr error
	for range maxOpenAttempts {
		e, err := s.openAttempt(arrived, tried)
		if err == nil {
			return nil
		}
		lastErr = err
		if e == "" || isLimitReached(err) || isFinal(err) {
			return err
		}
		tried[e] = true
		if errorKindOf(err) == ErrorKindReadOnly || errorKindOf(err) == ErrorKindBusy {
			s.tx.group.addDemand(failover.Demand{AsOf: s.proxy.now()})
			time.Sleep(busyRetryDelay)
		}
	}
	return lastErr
}

// openAttempt tries to open the transaction at one endpoint. If that endpoint fails,
// it returns its name with the error.
func (s *session) openAttempt(arrived time.Time, tried map[core.Endpoint]bool) (core.Endpoint, error) {
	tx := s.tx
	if s.remaining(tx.route, arrived) <= 0 {
		return "", core.NewError(core.CodeOverloaded, "the statement timed out before an endpoint opened the transaction").WithRetry(defaultRetryAfter)
	}
	begin := Statement{Kind: KindBegin, ReadOnly: tx.readOnly}
	e, err := s.chooseTransactionEndpoint(&begin, arrived, tried)
	if err != nil {
		return "", err
	}
	c, err := s.acquire(e, tx.route, arrived)
	if err != nil {
		return e.info.Name, err
	}
	sentAt := s.proxy.now()
	a, err := s.exchange(c, min(s.exchangeTimeout(tx.route, arrived), readAttemptTimeout), begin, false)
	if err == nil {
		err = a.Err
		if err != nil {
			s.keepToken(err)
			c.release(true)
		}
	} else {
		c.release(false)
	}
	if err != nil {
		return e.info.Name, err
	}
	tx.conn, tx.firstArrivedAt = c, arrived
	if tx.term > 0 && !tx.readOnly {
		tx.group.groupControl.postPrimaryCheck(e, primaryCheck{sentAt: sentAt, upSince: a.upSince})
	}
	return "", nil
}

// chooseTransactionEndpoint chooses the endpoint at which to open the transaction.
func (s *session) chooseTransactionEndpoint(begin *Statement, arrived time.Time, tried map[core.Endpoint]bool) (*endpoint, error) {
	tx := s.tx
	if tx.readOnly && tx.route.Freshness != FreshnessNewest {
		var required place.Requirement
		required, err := s.requirement(tx.route, tx.group, arrived)
		if err != nil {
			return nil, err
		}
		begin.After, begin.AfterAt = required.Point, required.ReachedAt
		return s.chooseEndpoint(tx.group, required, tried, min(s.remaining(tx.route, arrived), tx.route.TargetTime))
	}
	usable := (*groupState).isOpen
	if tx.readOnly {
		usable = (*groupState).isServing
	}
	e, term, err := s.awaitPrimary(tx.group, arrived, tx.route, usable)
	tx.term = term
	return e, err
}

// confirmPrimary waits, for the first answer of a transaction on the primary, for
// confirmation that the primary had not been replaced when the transaction's first
// statement arrived. A bounded read needs this only as of its staleness bound.
func (s *session) confirmPrimary(arrived time.Time) error {
	tx := s.tx
	if tx.term == 0 || tx.confirmed {
		return nil
	}
	asOf := tx.firstArrivedAt
	if tx.route.Freshness != FreshnessNewest {
		asOf = asOf.Add(-tx.route.Staleness)
	}
	tx.group.addDemand(failover.Demand{AsOf: asOf})
	if v := tx.group.awaitVerdict(s.exchangeTimeout(tx.route, arrived), asOf, tx.term, core.Point{Term: tx.term}); v != failover.VerdictConfirmed {
		return core.NewError(core.CodeTransactionLost, "%s could not be confirmed as the primary", tx.conn.endpoint.info.Name).WithRetry(defaultRetryAfter)
	}
	tx.confirmed = true
	return nil
}

// commit commits the transaction at its endpoint.
func (s *session) commit(st Statement, arrived time.Time) Answer {
	tx := s.tx
	if tx == nil {
		return s.fail(core.NewError(core.CodeBadMessage, "no transaction is open"))
	}
	if tx.failed {
		s.endTransaction(true)
		if tx.mayHaveCommitted {
			return s.fail(tx.lostError(errState))
		}
		return s.fail(core.NewError(core.CodeTransactionLost, "the transaction had failed and was rolled back"))
	}
	if err := s.checkTransactionKey(); err != nil {
		s.endTransaction(true)
		return s.fail(err)
	}
	if tx.conn == nil {
		if err := s.openTransaction(arrived); err != nil {
			s.endTransaction(true)
			return s.fail(transactionError(err))
		}
	}
	tx.group.beginUse(s.proxy.now())
	defer func() { tx.group.endUse(s.proxy.now()) }()
	c := commit{endpoint: tx.conn.endpoint, sentAt: s.proxy.now(), term: tx.term, route: tx.route, group: tx.group}
	tx.conn.beginStatement()
	a, err := s.exchange(tx.conn, s.exchangeTimeout(tx.route, arrived), st, false)
	if err != nil {
		s.closeTransactionConn()
		s.endTransaction(true)
		return s.fail(writeError(err))
	}
	ended := a.State == StateIdle
	if !ended {
		s.endTransaction(true)
	} else {
		s.finishTransaction()
	}
	if a.Err != nil {
		return s.fail(rejectedWriteError(a.Err))
	}
	if tx.wrote {
		return s.acknowledge(a, c, arrived)
	}
	a.State, a.Point = StateIdle, core.Point{}
	return a
}

// rollback rolls back the transaction without waiting for the endpoint.
func (s *session) rollback() Answer {
	if s.tx == nil {
		return s.fail(core.NewError(core.CodeBadMessage, "no transaction is open"))
	}
	s.endTransaction(true)
	return s.done()
}

// finishTransaction releases the connection of a transaction that the endpoint ended.
func (s *session) finishTransaction() {
	s.tx.conn.release(true)
	s.leaveTransaction()
}

// leaveTransaction forgets the transaction.
func (s *session) leaveTransaction() {
	s.tx.group.endUse(s.proxy.now())
	s.tx = nil
	s.inTransaction.Store(false)
}

// closeTransactionConn closes the connection of the transaction, which rolls it back.
func (s *session) closeTransactionConn() {
	if s.tx.conn != nil {
		s.tx.conn.release(false)
		s.tx.conn = nil
	}
}

// rollbackTimeout bounds a rollback; if it takes longer, the connection is closed.
const rollbackTimeout = 500 * time.Millisecond

// endTransaction rolls back the transaction. Without reuse it closes the connection,
// which does the same.
func (s *session) endTransaction(reuse bool) {
	c := s.tx.conn
	s.leaveTransaction()
	if c == nil {
		return
	}
	if !reuse {
		c.release(false)
		return
	}
	go func() {
		defer s.proxy.containPanic(func() { c.release(false) })
		answers, err := c.conn.Exchange(rollbackTimeout, []Statement{{Kind: KindRollback}})
		if err == nil {
			c.state = answers[0].State
		}
		c.release(err == nil && answers[0].Err == nil)
	}()
}
