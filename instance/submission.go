package instance

import (
	"strings"
	"time"

	"anviltack/core"
	"anviltack/io/caller"
)

// keyExistsTag is the tag of a submission key's insertion that did nothing.
const keyExistsTag = "INSERT 0 0"

// writeOnce runs the unit in one transaction with its submission key.
func (w *work) writeOnce() (bool, error) {
	w.x.query(beginStatement)
	key, digest := quote(w.unit.annotation.submission), quote(w.unit.digest.String())
	w.x.query("INSERT INTO anviltack_submission (key, digest) VALUES (" + key + ", " + digest + ") ON CONFLICT DO NOTHING")
	w.conn.SendStatus()
	if err := w.conn.Flush(); err != nil {
		return w.lostOnce()
	}
	if _, err := w.x.skip(); err != nil {
		return w.lostOnce()
	}
	o, err := w.x.skip()
	if err != nil {
		return w.lostOnce()
	}
	if _, err := w.conn.ReceiveStatus(); err != nil && !isAborted(o, err) {
		return w.lostOnce()
	}
	sentAt := time.Now()
	found := o.tag == keyExistsTag
	switch {
	case found:
		w.x.query("SELECT digest FROM anviltack_submission WHERE key = " + key)
		w.x.query(rollbackStatement)
	case o.failure != "":
		w.x.query(rollbackStatement)
	default:
		w.x.unit(w.unit)
		w.x.query(commitStatement)
	}
	w.conn.SendStatus()
	if err := w.conn.Flush(); err != nil {
		return w.lostOnce()
	}
	return w.finishOnce(found, o.failure, sentAt)
}

// finishOnce reads the answers of the transaction and answers the caller.
func (w *work) finishOnce(found bool, failure string, sentAt time.Time) (bool, error) {
	var o outcome
	var stored string
	var err error
	switch {
	case found:
		stored, err = w.conn.ReceiveValue()
	case failure == "":
		o, err = w.x.answer()
	}
	if err != nil {
		return w.lostOnce()
	}
	end, err := w.x.skip()
	if err != nil {
		return w.lostOnce()
	}
	status, err := w.status(sentAt)
	if err != nil {
		return w.lostOnce()
	}
	isRolledBack := !found && end.tag != commitStatement
	if isRolledBack && (failure == stateReadOnly || end.failure == stateReadOnly) && w.isReplaced(status) {
		return true, nil
	}
	w.release(true)
	switch {
	case found && stored != w.unit.digest.String():
		return false, w.session.refuse(core.NewError(core.CodeKeyReused, "another statement was submitted with this key"))
	case found:
		w.session.conn.SendError(caller.SeverityError, core.NewError(core.CodeAlreadyRan, "a submission with this key ran already"))
		return false, w.session.confirm(w.unit, w.term, status, w.x)
	case failure != "":
		return false, w.session.refuse(core.NewError(core.CodeNoPrimary, "the submission key could not be stored (SQLSTATE %s)", failure).WithRetry(primaryPause))
	case end.tag == commitStatement:
		return false, w.session.confirm(w.unit, w.term, status, w.x)
	case o.failure != "":
		return false, w.session.ready('I')
	}
	w.x.retract()
	return false, w.session.refuse(core.NewError(core.CodeNoPrimary, "the transaction was rolled back").WithRetry(primaryPause))
}

// lostOnce answers a submission whose connection failed. Its key makes it
// idempotent, so it is sent again while there is time: if it ran, the key is
// found.
func (w *work) lostOnce() (bool, error) {
	if w.last || !time.Now().Before(w.unit.deadline) || !w.session.instance.retries.take() {
		return false, w.lost()
	}
	w.x.retract()
	if err := w.conn.Err(); err != nil {
		w.member.connections.evidence(err)
	}
	w.release(false)
	w.session.instance.counters.submissionRetries.Inc(1)
	return true, nil
}

// quote returns a text as an SQL literal.
func quote(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}
