package instance

import (
	"anviltack/core"
	"anviltack/core/pool"
	"anviltack/io/endpoint"
)

// hold is an endpoint connection with an open transaction.
type hold struct {
	conn  *endpoint.Conn
	links *links
	// term is the term in which the transaction began.
	term uint64
}

// serveHeld runs a unit on the connection of the open transaction.
func (s *session) serveHeld(u *unit) error {
	if u.fault != nil {
		return u.fault
	}
	h := s.held
	if _, e := h.links.get(admission{caller: s.login.Caller, deadline: u.deadline, work: pool.WorkTransaction, held: h.conn}); e != nil {
		return core.NewError(core.CodeTransactionLost, "the transaction was rolled back: %s", e.Reason).WithRetry(e.RetryAfter)
	}
	if !h.conn.HasNothingToRead() {
		return core.NewError(core.CodeTransactionLost, "the connection of the transaction failed, nothing of it took effect").WithRetry(minRetryAfter)
	}
	h.conn.SetDeadline(u.deadline)
	s.begin(h.conn)
	if s.group.State().Term > h.term {
		s.finish()
		return transactionLost()
	}
	x := newExchange(h.conn, s.conn)
	x.unit(u)
	h.conn.SendStatus()
	if err := h.conn.Flush(); err != nil {
		return s.lostHeld(x)
	}
	o, err := x.answer()
	if err != nil {
		return s.lostHeld(x)
	}
	status, err := h.conn.ReceiveStatus()
	if err != nil && !isAborted(o, err) {
		return s.lostHeld(x)
	}
	reusable := s.finish()
	if o.failure == stateReadOnly && s.group.State().Term > h.term {
		x.retract()
		return transactionLost()
	}
	if o.status != 'I' {
		h.links.pause(h.conn)
		return s.ready(o.status)
	}
	s.held = nil
	h.links.put(h.conn, reusable)
	if o.tag == rollbackTag || o.tag == "" {
		return s.ready('I')
	}
	return s.confirm(u, h.term, status, x)
}

func transactionLost() *core.Error {
	return core.NewError(core.CodeTransactionLost, "the primary of the transaction was replaced, nothing of it took effect").WithRetry(minRetryAfter)
}

// lostHeld ends the session: its transaction's connection failed, and the
// statement in flight may have been a commit.
func (s *session) lostHeld(x *exchange) error {
	x.retract()
	s.finish()
	s.instance.counters.unknownOutcomes.Inc(1)
	return core.NewError(core.CodeOutcomeUnknown, "the connection of the transaction failed, its outcome is unknown")
}
