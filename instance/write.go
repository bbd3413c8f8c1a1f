package instance

import (
	"errors"
	"time"

	"anviltack/core"
	"anviltack/io/caller"
	"anviltack/io/endpoint"
)

const (
	beginStatement         = "BEGIN"
	beginReadOnlyStatement = "BEGIN READ ONLY"
	commitStatement        = "COMMIT"
	rollbackStatement      = "ROLLBACK"

	rollbackTag = "ROLLBACK"
	// stateReadOnly is the SQLSTATE of a write on an endpoint that takes none.
	stateReadOnly = "25006"
)

// primaryPause is the advice to a caller that found no primary.
const primaryPause = time.Second

// maxWriteTries bounds how often one unit is sent to a primary.
const maxWriteTries = 5

// replacedPause bounds the wait for the news of a replaced primary before a
// write is tried again.
const replacedPause = 50 * time.Millisecond

// work is one unit on one endpoint connection.
type work struct {
	session *session
	unit    *unit
	member  *Member
	// term is the term in which member was the primary when work began.
	term uint64
	conn *endpoint.Conn
	x    *exchange
	// last tells that the unit is not tried again after this.
	last bool
}

// serveWrite runs a unit on the primary and answers once a majority holds its
// position and confirms that the primary was not replaced.
func (s *session) serveWrite(u *unit) error {
	for tries := 1; ; tries++ {
		w, e := s.acquirePrimary(u)
		if e != nil {
			return s.refuse(e)
		}
		w.last = tries >= maxWriteTries
		again, err := w.write()
		if err != nil || !again {
			return err
		}
	}
}

// on takes a connection to a member for a unit. One on which something waits to
// be read is not used: it ended, or carries an answer to something else.
func (s *session) on(u *unit, m *Member, term uint64) (*work, *core.Error) {
	conn, e := m.connections.get(admission{caller: s.login.Caller, deadline: u.deadline, work: workOf(u)})
	if e != nil {
		return nil, e
	}
	conn.SetDeadline(u.deadline)
	s.begin(conn)
	w := &work{session: s, unit: u, member: m, term: term, conn: conn, x: newExchange(conn, s.conn)}
	w.x.restore(s.state)
	return w, nil
}

// write runs the unit. It reports whether the unit did not run and may be tried
// at another primary.
func (w *work) write() (bool, error) {
	if w.unit.annotation.submission != "" && w.unit.executions > 0 {
		return w.writeOnce()
	}
	sentAt := time.Now()
	w.x.unit(w.unit)
	w.conn.SendStatus()
	if err := w.conn.Flush(); err != nil {
		return false, w.lost()
	}
	o, err := w.x.answer()
	if err != nil {
		return false, w.lost()
	}
	status, err := w.status(sentAt)
	if err != nil && !isAborted(o, err) {
		return false, w.lost()
	}
	if o.failure == stateReadOnly && o.tag == "" && w.isReplaced(status) {
		return true, nil
	}
	if o.status != 'I' {
		w.session.held = &hold{conn: w.conn, links: w.member.connections, term: w.term}
		w.session.finish()
		w.member.connections.pause(w.conn)
		return false, w.session.ready(o.status)
	}
	if o.failure == "" && w.unit.simple && isSet(w.unit.sql) {
		return false, w.remember()
	}
	w.release(true)
	if o.tag == "" && o.failure != "" || w.unit.executions == 0 {
		return false, w.session.ready('I')
	}
	return false, w.session.confirm(w.unit, w.term, status, w.x)
}

// isReplaced reports whether a write that was refused as read-only met an
// endpoint that is no longer the primary; the connection is then given back and
// the write, of which nothing ran, may be tried at the next primary.
func (w *work) isReplaced(status core.Status) bool {
	if w.last || isPrimary(status, w.term) || time.Now().After(w.unit.deadline) {
		return false
	}
	w.x.retract()
	w.release(true)
	w.session.group.await(time.Now().Add(replacedPause), func(g *GroupState) bool {
		return g.Term > w.term || !g.Availability.IsOpen()
	})
	return true
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

// status reads the answer to the status statement behind the unit and hands it
// to the control goroutine as a sample.
func (w *work) status(sentAt time.Time) (core.Status, error) {
	status, err := w.conn.ReceiveStatus()
	if err != nil {
		return core.Status{}, err
	}
	control := w.session.instance.control
	name := w.member.Name
	group := w.session.group.Name
	control.tryPost(func(now time.Time) {
		if g, ok := control.groups[group]; ok {
			g.handleSample(name, sentAt, now, status)
		}
	})
	return status, nil
}

// isAborted reports whether a status request was refused because the unit before
// it failed inside a transaction. Any other failure means that the answers do
// not belong to what was sent.
func isAborted(o outcome, err error) bool {
	var refused *endpoint.ServerError
	return o.status == 'E' && errors.As(err, &refused)
}

// release gives the connection back.
func (w *work) release(clean bool) {
	reusable := w.session.finish()
	w.member.connections.put(w.conn, clean && reusable)
}

// lost answers a unit whose connection failed after it was sent.
func (w *work) lost() error {
	w.x.retract()
	if err := w.conn.Err(); err != nil {
		w.member.connections.evidence(err)
	}
	w.release(false)
	return w.session.unknown()
}

// unknown answers a unit whose outcome is not known.
func (s *session) unknown() error {
	s.instance.counters.unknownOutcomes.Inc(1)
	s.conn.SendError(caller.SeverityError, core.NewError(core.CodeOutcomeUnknown, "the outcome is unknown"))
	return s.ready('I')
}
