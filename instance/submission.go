package instance

import (
	"strings"
	"time"

	"anviltack/core"
	"anviltack/io/caller"
)

// insertedNothingTag is the command tag of a submission key's insertion if the
// key already existed.
const insertedNothingTag = "INSERT 0 0"

// writeOnce runs the pipeline and the insertion of its submission key in one
// transaction.
func (a *attempt) writeOnce() (bool, error) {
	a.exchange.sendQuery(beginStatement)
	key, digest := quote(a.pipeline.annotation.submission), quote(a.pipeline.digest.String())
	a.exchange.sendQuery("INSERT INTO anviltack_submission (key, digest) VALUES (" + key + ", " + digest + ") ON CONFLICT DO NOTHING")
	a.conn.SendStatus()
	if err := a.conn.Flush(); err != nil {
		return a.submissionConnectionLost()
	}
	if _, err := a.exchange.discardResponse(); err != nil {
		return a.submissionConnectionLost()
	}
	o, err := a.exchange.discardResponse()
	if err != nil {
		return a.submissionConnectionLost()
	}
	if _, err := a.conn.ReceiveStatus(); err != nil && !isAborted(o, err) {
		return a.submissionConnectionLost()
	}
	sentAt := time.Now()
	keyExists := o.tag == insertedNothingTag
	switch {
	case keyExists:
		a.exchange.sendQuery("SELECT digest FROM anviltack_submission WHERE key = " + key)
		a.exchange.sendQuery(rollbackStatement)
	case o.sqlState != "":
		a.exchange.sendQuery(rollbackStatement)
	default:
		a.pipeline.mayHaveRun = false // the key is new, so no earlier attempt ran
		a.isCommitSent = true
		a.exchange.sendInTransaction(a.pipeline)
		a.exchange.sendQuery(commitStatement)
	}
	a.conn.SendStatus()
	if err := a.conn.Flush(); err != nil {
		return a.submissionConnectionLost()
	}
	return a.finishOnce(keyExists, o.sqlState, sentAt)
}

// finishOnce reads the responses to the transaction and answers the caller.
func (a *attempt) finishOnce(keyExists bool, insertSQLState string, sentAt time.Time) (bool, error) {
	var o outcome
	var stored string
	var err error
	switch {
	case keyExists:
		stored, err = a.conn.ReceiveValue()
	case insertSQLState == "":
		o, err = a.exchange.receiveResponse()
	}
	if err != nil {
		return a.submissionConnectionLost()
	}
	end, err := a.exchange.discardResponse()
	if err != nil {
		return a.submissionConnectionLost()
	}
	status, err := a.receiveStatus(sentAt)
	if err != nil {
		return a.submissionConnectionLost()
	}
	isRolledBack := !keyExists && end.tag != commitStatement
	if isRolledBack && (insertSQLState == sqlStateReadOnly || end.sqlState == sqlStateReadOnly) && a.releaseIfPrimaryReplaced(status) {
		return true, nil
	}
	a.release(true)
	switch {
	case keyExists && stored != a.pipeline.digest.String():
		return false, a.session.refuse(core.NewError(core.CodeKeyReused, "another statement was submitted with this key"))
	case keyExists:
		a.session.conn.SendError(caller.SeverityError, core.NewError(core.CodeAlreadyRan, "a submission with this key ran already"))
		return false, a.session.confirm(a.pipeline, a.term, status, a.exchange)
	case insertSQLState != "":
		return false, a.session.refuseWrite(a.pipeline, core.NewError(core.CodeNoPrimary, "the submission key could not be stored (SQLSTATE %s)", insertSQLState).WithRetry(primaryRetryDelay))
	}
	return false, a.finishNew(o, end, status)
}

// finishNew answers a submission whose key was new, so that this attempt alone ran.
func (a *attempt) finishNew(o, end outcome, status core.Status) error {
	switch {
	case end.tag == commitStatement, o.isCommitted && o.sqlState != "":
		return a.session.confirm(a.pipeline, a.term, status, a.exchange)
	case o.isCommitted: // only what follows the COMMIT was rolled back
		a.exchange.truncate()
		return a.session.outcomeUnknown()
	case o.sqlState != "":
		return a.session.sendReady('I')
	}
	a.exchange.truncate()
	return a.session.refuse(core.NewError(core.CodeNoPrimary, "the transaction was rolled back").WithRetry(primaryRetryDelay))
}

// submissionConnectionLost handles a submission whose connection failed. Its
// key makes it idempotent, so it is retried before its deadline: if it ran, the
// key is found.
func (a *attempt) submissionConnectionLost() (bool, error) {
	if a.isLast || !time.Now().Before(a.pipeline.deadline) || !a.session.instance.retries.allowRetry() {
		return false, a.connectionLost()
	}
	a.pipeline.mayHaveRun = a.pipeline.mayHaveRun || a.isCommitSent
	a.exchange.truncate()
	if err := a.conn.Err(); err != nil {
		a.member.pool.reportFailure(err)
	}
	a.release(false)
	a.session.instance.counters.submissionRetries.Inc(1)
	return true, nil
}

// quote returns a string as an SQL literal, which means the same whether or not the session has
// standard_conforming_strings.
func quote(s string) string {
	literal := "'" + strings.ReplaceAll(s, "'", "''") + "'"
	if strings.Contains(s, `\`) {
		return "E" + strings.ReplaceAll(literal, `\`, `\\`)
	}
	return literal
}
