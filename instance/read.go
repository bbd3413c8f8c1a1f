package instance

import (
	"time"

	"anviltack/core"
	"anviltack/io/endpoint"
)

// serveRead runs a unit of a stated kind in a read-only transaction.
func (s *session) serveRead(u *unit) error {
	if _, ok := s.database.Kinds[u.annotation.kind]; !ok {
		return s.refuse(core.NewError(core.CodeUnknownKind, "database %s has no kind %q", s.login.Database, u.annotation.kind))
	}
	w, e := s.onPrimary(u)
	if e != nil {
		return s.refuse(e)
	}
	return w.read()
}

// read runs the unit with the endpoint's status behind it.
func (w *work) read() error {
	sentAt := time.Now()
	w.x.readOnly(w.unit)
	w.x.query(endpoint.StatusStatement)
	w.x.query(commitStatement)
	if err := w.conn.Flush(); err != nil {
		return w.lostRead()
	}
	o, err := w.x.answer()
	if err != nil {
		return w.lostRead()
	}
	status, err := w.status(sentAt)
	if err != nil {
		return w.lostRead()
	}
	if _, err := w.x.skip(); err != nil {
		return w.lostRead()
	}
	w.release(true)
	if o.failure != "" {
		return w.session.ready('I')
	}
	w.session.instance.counts.readsOnPrimary.Inc(1)
	return w.session.confirm(w.unit, status, w.x)
}

// lostRead answers a read whose connection failed.
func (w *work) lostRead() error {
	w.x.retract()
	w.release(false)
	return w.session.refuse(core.NewError(core.CodeReadFailed, "the connection to %s failed", w.member.Name).WithRetry(primaryPause))
}
