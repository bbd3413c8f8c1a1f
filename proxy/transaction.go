package proxy

import (
	"time"

	"anviltack/core"
	failover "anviltack/core/group"
	"anviltack/core/place"
)

// transaction is an open transaction of a session.
type transaction struct {
	readOnly bool
	failed   bool
	// begun is when the caller began it.
	begun time.Time
	// route and group are those of its beginning.
	route Route
	group *group
	// link is the connection that the transaction is open on; nil before its
	// first statement.
	link *link
	// term is the primary's when the transaction was opened there, and arrived
	// when its first statement came; term is zero on a replica.
	term    uint64
	arrived time.Time
	// proved tells that the primary was not replaced when it opened the
	// transaction.
	proved bool
	// wrote tells that a write was sent.
	wrote bool
}

// txTries bounds how many endpoints a transaction is opened at.
const txTries = 4

// begin notes a transaction. It is opened at an endpoint with its first
// statement, so that no connection waits for the caller until then.
func (s *session) begin(st Statement, arrived time.Time) Answer {
	if s.tx != nil {
		return s.fail(core.NewError(core.CodeBadMessage, "a transaction is open"))
	}
	r, g, err := s.target()
	if err != nil {
		return s.fail(err)
	}
	if s.proxy.drainer.refusesTransactions() {
		return s.fail(core.NewError(core.CodeDraining, "the instance stops").WithRetry(retryAdvice))
	}
	s.tx = &transaction{readOnly: st.ReadOnly, begun: arrived, route: r, group: g}
	s.open.Store(true)
	return s.done()
}

// within runs a statement in the open transaction.
func (s *session) within(st Statement, access Kind, arrived time.Time) Answer {
	tx := s.tx
	if tx.link == nil {
		if err := s.openTransaction(arrived); err != nil {
			return s.fail(abortedBy(err))
		}
	}
	tx.wrote = tx.wrote || access == KindWrite
	for range writeTries {
		left := max(tx.route.Timeout-s.proxy.now().Sub(arrived), busyPause)
		tx.link.resume()
		a, err := s.exchange(tx.link, left, st, access == KindRead)
		tx.link.pause()
		if err != nil {
			s.dropTransaction()
			return s.fail(core.NewError(core.CodeTransactionLost, "%v", err).WithRetry(retryAdvice))
		}
		if faultOf(a.Err) == FaultBusy && a.State == StateTransaction {
			time.Sleep(busyPause)
			continue
		}
		if a.Err != nil {
			return s.fail(abortedBy(a.Err))
		}
		if err := s.prove(left); err != nil {
			return s.fail(err)
		}
		a.State, a.Point = StateTransaction, core.Point{}
		return a
	}
	return s.fail(core.NewError(core.CodeTransactionLost, "the endpoint stayed full").WithRetry(retryAdvice))
}

// abortedBy is what a caller is told when a statement of a transaction failed; an
// open transaction is rolled back, so nothing of it is kept.
func abortedBy(err error) *core.Error {
	if e := asError(err); e.Code != core.CodeOutcomeUnknown {
		return e
	}
	return core.NewError(core.CodeTransactionLost, "%v", err).WithRetry(retryAdvice)
}

// openTransaction opens the transaction at an endpoint.
func (s *session) openTransaction(arrived time.Time) error {
	tried := map[core.Endpoint]bool{}
	var last error
	for range txTries {
		e, err := s.openOnce(arrived, tried)
		if err == nil {
			return nil
		}
		last = err
		if e == "" {
			return err
		}
		tried[e] = true
		if faultOf(err) == FaultReadOnly || faultOf(err) == FaultBusy {
			s.tx.group.want(failover.Demand{AsOf: s.proxy.now()})
			time.Sleep(busyPause)
		}
	}
	return last
}

// openOnce opens the transaction at one endpoint and returns which.
func (s *session) openOnce(arrived time.Time, tried map[core.Endpoint]bool) (core.Endpoint, error) {
	tx := s.tx
	left := tx.route.Timeout - s.proxy.now().Sub(arrived)
	if left <= 0 {
		return "", core.NewError(core.CodeOverloaded, "no endpoint took the transaction in time").WithRetry(retryAdvice)
	}
	begin := Statement{Kind: KindBegin, ReadOnly: tx.readOnly}
	e, err := s.transactionEndpoint(&begin, arrived, tried)
	if err != nil {
		return "", err
	}
	l, err := e.acquire(s.claim(e, tx.route, arrived, left))
	if err != nil {
		return e.info.Name, err
	}
	sentAt := s.proxy.now()
	a, err := s.exchange(l, min(left, readPatience), begin, false)
	if err == nil {
		err = a.Err
		if err != nil {
			l.release(true)
		}
	} else {
		l.release(false)
	}
	if err != nil {
		return e.info.Name, err
	}
	tx.link, tx.arrived = l, arrived
	if tx.term > 0 && !tx.readOnly {
		tx.group.control.postPrimaryCheck(e, primaryCheck{sentAt: sentAt, runningSince: a.runsSince})
	}
	return "", nil
}

// transactionEndpoint chooses where a transaction is opened.
func (s *session) transactionEndpoint(begin *Statement, arrived time.Time, tried map[core.Endpoint]bool) (*endpoint, error) {
	tx := s.tx
	if tx.readOnly && tx.route.Freshness != FreshnessNewest {
		var need place.Requirement
		need, err := s.need(tx.route, tx.group, arrived)
		if err != nil {
			return nil, err
		}
		begin.After, begin.AfterAt = need.Point, need.ReachedAt
		return s.place(tx.group, need, tried, tx.route.TargetTime)
	}
	usable := (*groupState).isOpen
	if tx.readOnly {
		usable = (*groupState).isServing
	}
	e, term, err := s.primary(tx.group, arrived, tx.route, usable)
	tx.term = term
	return e, err
}

// prove waits, for the first answer of a transaction on the primary, until it is
// proved that the primary was not replaced when the transaction's first statement
// came; a bounded read needs that as of its bound only.
func (s *session) prove(limit time.Duration) error {
	tx := s.tx
	if tx.term == 0 || tx.proved {
		return nil
	}
	since := tx.arrived
	if tx.route.Freshness != FreshnessNewest {
		since = since.Add(-tx.route.Staleness)
	}
	tx.group.want(failover.Demand{AsOf: since})
	if v := tx.group.verdict(limit, since, tx.term, core.Point{Term: tx.term}); v != failover.VerdictConfirmed {
		return core.NewError(core.CodeTransactionLost, "%s could not be proved to be the primary", tx.link.endpoint.info.Name).WithRetry(retryAdvice)
	}
	tx.proved = true
	return nil
}

// commit ends the transaction at its endpoint.
func (s *session) commit(st Statement, arrived time.Time) Answer {
	tx := s.tx
	if tx == nil {
		return s.fail(core.NewError(core.CodeBadMessage, "no transaction is open"))
	}
	if tx.failed {
		s.endTransaction(true)
		return s.fail(core.NewError(core.CodeTransactionLost, "the transaction had failed and was rolled back"))
	}
	if tx.link == nil {
		if err := s.openTransaction(arrived); err != nil {
			s.endTransaction(true)
			return s.fail(abortedBy(err))
		}
	}
	c := commit{endpoint: tx.link.endpoint, sentAt: s.proxy.now(), term: tx.term, route: tx.route, group: tx.group}
	left := tx.route.Timeout - c.sentAt.Sub(arrived)
	tx.link.resume()
	a, err := s.exchange(tx.link, max(left, busyPause), st, false)
	if err != nil {
		s.dropTransaction()
		s.endTransaction(true)
		return s.fail(writeError(err))
	}
	ended := a.State == StateIdle
	if !ended {
		s.endTransaction(true)
	} else {
		s.keepLink()
	}
	if a.Err != nil {
		return s.fail(refusedWrite(a.Err))
	}
	if tx.wrote {
		return s.acknowledge(a, c, arrived)
	}
	a.State, a.Point = StateIdle, core.Point{}
	return a
}

// rollback ends the transaction; the caller does not wait for the endpoint.
func (s *session) rollback() Answer {
	if s.tx == nil {
		return s.fail(core.NewError(core.CodeBadMessage, "no transaction is open"))
	}
	s.endTransaction(true)
	return s.done()
}

// keepLink gives back the connection of a transaction that the endpoint ended.
func (s *session) keepLink() {
	s.tx.link.release(true)
	s.tx = nil
	s.open.Store(false)
}

// dropTransaction closes the connection of a transaction, which rolls it back.
func (s *session) dropTransaction() {
	if s.tx.link != nil {
		s.tx.link.release(false)
		s.tx.link = nil
	}
}

// rollbackLimit bounds a rollback; the connection is closed when it takes longer.
const rollbackLimit = 500 * time.Millisecond

// endTransaction rolls the transaction back. Without reuse its connection is
// closed.
func (s *session) endTransaction(reuse bool) {
	l := s.tx.link
	s.tx = nil
	s.open.Store(false)
	if l == nil {
		return
	}
	if !reuse {
		l.release(false)
		return
	}
	go func() {
		answers, err := l.conn.Exchange(rollbackLimit, []Statement{{Kind: KindRollback}})
		l.release(err == nil && answers[0].Err == nil && answers[0].State == StateIdle)
	}()
}
