package instance

import (
	"anviltack/core"
	"anviltack/core/pool"
	"anviltack/io/endpoint"
)

// transaction is an open transaction on an endpoint connection.
type transaction struct {
	conn *endpoint.Conn
	pool *endpointPool
	// term is the term in which the transaction began.
	term uint64
}

// serveInTransaction runs a pipeline on the connection of the open transaction.
func (s *session) serveInTransaction(pl *pipeline) error {
	if pl.err != nil {
		return pl.err
	}
	tx := s.transaction
	if _, e := tx.pool.acquire(admissionRequest{caller: s.login.Caller, deadline: pl.deadline, work: pool.WorkTransaction, transactionConn: tx.conn}); e != nil {
		return core.NewError(core.CodeTransactionLost, "the transaction was rolled back: %s", e.Reason).WithRetry(e.RetryAfter)
	}
	if !tx.conn.HasNothingToRead() {
		return core.NewError(core.CodeTransactionLost, "the connection of the transaction failed; none of its changes took effect").WithRetry(minRetryAfter)
	}
	tx.conn.SetDeadline(pl.deadline)
	s.setRunning(tx.conn)
	if s.group.State().Term > tx.term {
		s.clearRunning()
		return primaryReplacedError()
	}
	x := newExchange(tx.conn, s.conn)
	x.sendInTransaction(pl)
	tx.conn.SendStatus()
	if err := tx.conn.Flush(); err != nil {
		return s.transactionConnectionLost(x)
	}
	o, err := x.receiveResponse()
	if err != nil {
		return s.transactionConnectionLost(x)
	}
	status, err := tx.conn.ReceiveStatus()
	if err != nil && !isAborted(o, err) {
		return s.transactionConnectionLost(x)
	}
	reusable := s.clearRunning()
	hasNoEffect := o.tag == "" || o.status == 'E' && !o.isCommitted
	if o.sqlState == sqlStateReadOnly && hasNoEffect && s.group.State().Term > tx.term {
		x.truncate()
		return primaryReplacedError()
	}
	if o.status != 'I' {
		tx.pool.releaseSlot(tx.conn)
		return s.finishInTransaction(pl, tx.term, status, o, x)
	}
	s.transaction = nil
	tx.pool.release(tx.conn, reusable)
	if !o.isCommitted && (o.tag == rollbackTag || o.tag == "") {
		return s.sendReady('I')
	}
	return s.confirm(pl, tx.term, status, x)
}

// finishInTransaction answers a pipeline after which a transaction is open. If it committed another
// transaction before, that is confirmed first; otherwise the session ends, as its outcome is unknown.
func (s *session) finishInTransaction(pl *pipeline, term uint64, status core.Status, o outcome, x *exchange) error {
	// In a failed transaction the endpoint gave no status.
	if o.isCommitted && (o.status == 'E' || !s.awaitConfirmation(pl, term, status)) {
		x.truncate()
		s.instance.counters.unknownOutcomes.Inc(1)
		return core.NewError(core.CodeOutcomeUnknown, "the outcome of the commit is unknown")
	}
	return s.sendReady(o.status)
}

func primaryReplacedError() *core.Error {
	return core.NewError(core.CodeTransactionLost, "the primary of the transaction was replaced; none of its changes took effect").WithRetry(minRetryAfter)
}

// transactionConnectionLost ends the session after the connection of its
// transaction failed. The outcome is unknown because the statement in flight
// may have been a commit.
func (s *session) transactionConnectionLost(x *exchange) error {
	x.truncate()
	s.clearRunning()
	s.instance.counters.unknownOutcomes.Inc(1)
	return core.NewError(core.CodeOutcomeUnknown, "the connection of the transaction failed; its outcome is unknown")
}
