package instance

import (
	"strings"
	"time"

	"anviltack/core"
	"anviltack/core/pool"
	"anviltack/io/caller"
	"anviltack/io/endpoint"
)

const (
	beginStatement         = "BEGIN"
	beginReadOnlyStatement = "BEGIN READ ONLY"
	commitStatement        = "COMMIT"
	rollbackStatement      = "ROLLBACK"

	rollbackTag = "ROLLBACK"
	// keyExistsTag is the tag of a submission key's insertion that did nothing.
	keyExistsTag = "INSERT 0 0"
	// stateReadOnly is the SQLSTATE of a write on an endpoint that takes none.
	stateReadOnly = "25006"
)

// primaryPause is the advice to a caller that found no primary.
const primaryPause = time.Second

// work is one unit on one endpoint connection.
type work struct {
	session *session
	unit    *unit
	member  *Member
	// term is the term in which member was the primary when work began.
	term uint64
	conn *endpoint.Conn
	x    *exchange
}

// serveWrite runs a unit on the primary and answers once a majority holds its
// position and confirms that the primary was not replaced.
func (s *session) serveWrite(u *unit) error {
	for {
		w, e := s.onPrimary(u)
		if e != nil {
			return s.refuse(e)
		}
		again, err := w.write()
		if err != nil || !again {
			return err
		}
	}
}

// onPrimary takes a connection to the primary for a unit.
func (s *session) onPrimary(u *unit) (*work, *core.Error) {
	state, ok := s.group.await(u.deadline, func(g *GroupState) bool { return g.primary() != nil })
	if !ok {
		return nil, core.NewError(core.CodeNoPrimary, "group %s has no primary", s.group.Name).WithRetry(primaryPause)
	}
	return s.on(u, state.primary(), state.Term)
}

// on takes a connection to a member for a unit.
func (s *session) on(u *unit, m *Member, term uint64) (*work, *core.Error) {
	conn, e := m.links.get(admission{caller: s.login.Caller, deadline: u.deadline, work: workOf(u)})
	if e != nil {
		return nil, e
	}
	s.begin(conn)
	conn.SetDeadline(u.deadline)
	w := &work{session: s, unit: u, member: m, term: term, conn: conn, x: newExchange(conn, s.conn)}
	w.x.restore(s.state)
	return w, nil
}

// write runs the unit. It reports whether the unit did not run and may be tried
// at another primary.
func (w *work) write() (bool, error) {
	if w.unit.annotation.submission != "" && w.unit.executions > 0 {
		return false, w.writeOnce()
	}
	sentAt := time.Now()
	w.x.unit(w.unit)
	w.x.query(endpoint.StatusStatement)
	if err := w.conn.Flush(); err != nil {
		return false, w.lost()
	}
	o, err := w.x.answer()
	if err != nil {
		return false, w.lost()
	}
	status, err := w.status(sentAt)
	if err != nil {
		return false, w.lost()
	}
	if o.failure == stateReadOnly && o.tag == "" && !isPrimary(status, w.term) && time.Now().Before(w.unit.deadline) {
		w.x.retract()
		w.release(true)
		w.session.group.await(w.unit.deadline, func(g *GroupState) bool { return g.Term > w.term })
		return true, nil
	}
	if o.status != 'I' {
		w.session.held = &hold{conn: w.conn, links: w.member.links}
		w.session.finish()
		w.member.links.pause(w.conn)
		return false, w.session.ready(o.status)
	}
	if o.failure == "" && w.unit.simple && isSet(w.unit.sql) {
		return false, w.remember()
	}
	w.release(true)
	if o.tag == "" && o.failure != "" || w.unit.executions == 0 {
		return false, w.session.ready('I')
	}
	return false, w.session.confirm(w.unit, status, w.x)
}

// remember keeps a setting that the endpoint took for the rest of the session.
func (w *work) remember() error {
	state, e := w.session.state.add(w.unit.sql)
	if e != nil {
		w.x.retract()
		w.release(false)
		return w.session.refuse(e)
	}
	w.session.state = state
	w.conn.Session = state.key
	w.release(true)
	return w.session.ready('I')
}

func isPrimary(s core.Status, term uint64) bool {
	return s.Role == core.RolePrimary && s.Term == term && s.Fence == term
}

// writeOnce runs the unit in one transaction with its submission key.
func (w *work) writeOnce() error {
	w.x.query(beginStatement)
	w.x.query("INSERT INTO anviltack_submission (key) VALUES (" + quote(w.unit.annotation.submission) + ") ON CONFLICT DO NOTHING")
	if err := w.conn.Flush(); err != nil {
		return w.lost()
	}
	if _, err := w.x.skip(); err != nil {
		return w.lost()
	}
	o, err := w.x.skip()
	if err != nil {
		return w.lost()
	}
	sentAt := time.Now()
	found := o.tag == keyExistsTag
	if found || o.failure != "" {
		w.x.query(rollbackStatement)
	} else {
		w.x.unit(w.unit)
		w.x.query(commitStatement)
	}
	w.x.query(endpoint.StatusStatement)
	if err := w.conn.Flush(); err != nil {
		return w.lost()
	}
	return w.finishOnce(found, o.failure, sentAt)
}

// finishOnce reads the answers of the transaction and answers the caller.
func (w *work) finishOnce(found bool, failure string, sentAt time.Time) error {
	var o outcome
	var err error
	if !found && failure == "" {
		if o, err = w.x.answer(); err != nil {
			return w.lost()
		}
	}
	end, err := w.x.skip()
	if err != nil {
		return w.lost()
	}
	status, err := w.status(sentAt)
	if err != nil {
		return w.lost()
	}
	w.release(true)
	switch {
	case found:
		w.session.conn.SendError(caller.SeverityError, core.NewError(core.CodeAlreadyRan, "a submission with this key ran already"))
		return w.session.confirm(w.unit, status, w.x)
	case failure != "":
		return w.session.refuse(core.NewError(core.CodeNoPrimary, "the submission key could not be stored (SQLSTATE %s)", failure).WithRetry(primaryPause))
	case end.tag == commitStatement:
		return w.session.confirm(w.unit, status, w.x)
	case o.failure != "":
		return w.session.ready('I')
	}
	w.x.retract()
	return w.session.refuse(core.NewError(core.CodeNoPrimary, "the transaction was rolled back").WithRetry(primaryPause))
}

// status reads the answer to the status statement behind the unit and hands it
// to the control goroutine as a sample.
func (w *work) status(sentAt time.Time) (core.Status, error) {
	status, err := w.conn.ReceiveStatus()
	if err != nil {
		if w.conn.Err() == nil {
			return core.Status{}, nil
		}
		return core.Status{}, err
	}
	control := w.session.instance.control
	name := w.member.Name
	group := w.session.group.Name
	control.offer(func(now time.Time) {
		if g, ok := control.groups[group]; ok {
			g.sampled(name, sentAt, now, status)
		}
	})
	return status, nil
}

// release gives the connection back.
func (w *work) release(clean bool) {
	reusable := w.session.finish()
	w.member.links.put(w.conn, clean && reusable)
}

// lost answers a unit whose connection failed after it was sent.
func (w *work) lost() error {
	w.x.retract()
	w.release(false)
	return w.session.unknown()
}

// unknown answers a unit whose outcome is not known.
func (s *session) unknown() error {
	s.instance.counts.unknown.Inc(1)
	s.conn.SendError(caller.SeverityError, core.NewError(core.CodeOutcomeUnknown, "the outcome is unknown"))
	return s.ready('I')
}

// confirm passes the answer on once a majority holds the position in the
// primary's term, at a time after the unit arrived.
func (s *session) confirm(u *unit, status core.Status, x *exchange) error {
	point := status.Durable()
	state, _ := s.group.await(u.deadline, func(g *GroupState) bool {
		return g.Term > point.Term || isConfirmed(g, point, u.arrived)
	})
	if !isConfirmed(state, point, u.arrived) {
		x.retract()
		return s.unknown()
	}
	s.raise(point)
	return s.ready('I')
}

func isConfirmed(g *GroupState, p core.Point, since time.Time) bool {
	return g.Term == p.Term && g.Confirmed.Covers(p) && !g.AsOf.Before(since)
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
	s.begin(h.conn)
	h.conn.SetDeadline(u.deadline)
	x := newExchange(h.conn, s.conn)
	x.unit(u)
	x.query(endpoint.StatusStatement)
	if err := h.conn.Flush(); err != nil {
		return s.lostHeld(x)
	}
	o, err := x.answer()
	if err != nil {
		return s.lostHeld(x)
	}
	status, err := h.conn.ReceiveStatus()
	if err != nil && h.conn.Err() != nil {
		return s.lostHeld(x)
	}
	reusable := s.finish()
	if o.status != 'I' {
		h.links.pause(h.conn)
		return s.ready(o.status)
	}
	s.held = nil
	h.links.put(h.conn, reusable)
	if o.tag == rollbackTag || o.tag == "" {
		return s.ready('I')
	}
	return s.confirm(u, status, x)
}

// lostHeld ends the session: its transaction's connection failed, and the
// statement in flight may have been a commit.
func (s *session) lostHeld(x *exchange) error {
	x.retract()
	s.finish()
	s.instance.counts.unknown.Inc(1)
	return core.NewError(core.CodeOutcomeUnknown, "the connection of the transaction failed, its outcome is unknown")
}

// quote returns a text as an SQL literal.
func quote(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}
