package instance

import (
	"errors"
	"strings"
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
	resetTag    = "RESET"
	// sqlStateReadOnly is the SQLSTATE of a write on an endpoint that accepts
	// no writes.
	sqlStateReadOnly = "25006"
)

// primaryRetryDelay is the retry delay for callers when a group has no primary.
const primaryRetryDelay = time.Second

// maxWriteAttempts is the maximum number of times that one pipeline is sent to a
// primary.
const maxWriteAttempts = 5

// replacementTimeout bounds how long a failed write waits to find out that the
// primary was replaced, before it is retried.
const replacementTimeout = 50 * time.Millisecond

// attempt is one execution of a pipeline on one endpoint connection.
type attempt struct {
	session  *session
	pipeline *pipeline
	member   *Member
	// term is the term of the group when the attempt started.
	term     uint64
	conn     *endpoint.Conn
	exchange *exchange
	// isLast is true if the pipeline is not retried after this attempt.
	isLast bool
	// isCommitSent is true once the commit of a submission was sent.
	isCommitSent bool
}

// serveWrite runs a pipeline on the primary and answers once a majority holds
// its position and confirms that the primary was not replaced.
func (s *session) serveWrite(pl *pipeline) error {
	for attempts := 1; ; attempts++ {
		a, e := s.acquirePrimary(pl)
		if e != nil {
			return s.refuseWrite(pl, e)
		}
		a.isLast = attempts >= maxWriteAttempts
		retry, err := a.write()
		if err != nil || !retry {
			return err
		}
	}
}

// refuseWrite refuses a write of which nothing ran in the last attempt; an earlier one may have run.
func (s *session) refuseWrite(pl *pipeline, e *core.Error) error {
	if pl.mayHaveRun {
		return s.outcomeUnknown()
	}
	return s.refuse(e)
}

// newAttempt acquires a connection to a member for a pipeline.
func (s *session) newAttempt(pl *pipeline, m *Member, term uint64) (*attempt, *core.Error) {
	conn, e := m.pool.acquire(admissionRequest{caller: s.login.Caller, deadline: pl.deadline, work: workKind(pl)})
	if e != nil {
		return nil, e
	}
	conn.SetDeadline(pl.deadline)
	s.setRunning(conn)
	a := &attempt{session: s, pipeline: pl, member: m, term: term, conn: conn, exchange: newExchange(conn, s.conn)}
	a.exchange.restoreState(s.state)
	s.attempt = a
	if e := a.awaitSettings(); e != nil {
		a.release(false)
		return nil, e
	}
	return a, nil
}

// awaitSettings waits until the endpoint has accepted the settings that were appended, without
// which no statement of the session may run.
func (a *attempt) awaitSettings() *core.Error {
	x := a.exchange
	if x.setupQueries == 0 {
		return nil
	}
	err := a.conn.Flush()
	for ; err == nil && x.setupQueries > 0; x.setupQueries-- {
		err = x.receiveSetupResponse()
	}
	var rejected *endpoint.ResponseError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rejected) && isSettingRefused(rejected.State):
		return core.NewError(core.CodeBadParameter, "%s does not accept a setting of the session (SQLSTATE %s)", a.member.Name, rejected.State)
	}
	if rejected == nil {
		a.member.pool.reportFailure(err)
	}
	return core.NewError(core.CodeNoConnection, "the connection to %s failed before the statement was sent", a.member.Name).WithRetry(connectRetryDelay)
}

// isSettingRefused reports whether an SQLSTATE is about the setting, and not about the endpoint or
// a cancel request, which are of the classes for operators and resources.
func isSettingRefused(state string) bool {
	return !strings.HasPrefix(state, "57") && !strings.HasPrefix(state, "53")
}

// write runs the pipeline. It reports whether the pipeline did not run and may
// be retried at another primary.
func (a *attempt) write() (bool, error) {
	if a.pipeline.annotation.submission != "" && a.pipeline.executions > 0 {
		return a.writeOnce()
	}
	sentAt := time.Now()
	a.exchange.sendPipeline(a.pipeline)
	a.conn.SendStatus()
	if err := a.conn.Flush(); err != nil {
		return false, a.connectionLost()
	}
	o, err := a.exchange.receiveResponse()
	if err != nil {
		return false, a.connectionLost()
	}
	status, err := a.receiveStatus(sentAt)
	if err != nil && !isAborted(o, err) {
		return false, a.connectionLost()
	}
	if o.sqlState == sqlStateReadOnly && o.tag == "" && a.releaseIfPrimaryReplaced(status) {
		return true, nil
	}
	if o.status != 'I' {
		a.session.transaction = &transaction{conn: a.conn, pool: a.member.pool, term: a.term}
		a.session.attempt = nil
		a.session.clearRunning()
		a.member.pool.releaseSlot(a.conn)
		return false, a.session.finishInTransaction(a.pipeline, a.term, status, o, a.exchange)
	}
	if o.sqlState == "" && !o.hasOtherThanSet && a.pipeline.simple && isSetStatement(a.pipeline.sql) {
		return false, a.recordSetting()
	}
	a.release(true)
	if o.tag == "" && o.sqlState != "" || a.pipeline.executions == 0 {
		return false, a.session.sendReady('I')
	}
	return false, a.session.confirm(a.pipeline, a.term, status, a.exchange)
}

// releaseIfPrimaryReplaced reports whether a write that was rejected as
// read-only reached an endpoint that is no longer the primary. If so, it
// releases the connection, and the write, of which nothing ran, may be retried
// at the next primary. A statement whose first rows were sent is not.
func (a *attempt) releaseIfPrimaryReplaced(status core.Status) bool {
	if a.isLast || a.exchange.streamed || isPrimary(status, a.term) || time.Now().After(a.pipeline.deadline) {
		return false
	}
	a.exchange.truncate()
	a.release(true)
	a.session.group.await(time.Now().Add(replacementTimeout), func(g *GroupState) bool {
		return g.Term > a.term || !g.Availability.IsOpen()
	})
	return true
}

// recordSetting adds a setting that the endpoint accepted to the state of the
// session.
func (a *attempt) recordSetting() error {
	state, e := a.session.state.add(a.pipeline.sql)
	if e != nil {
		a.exchange.truncate()
		a.release(false)
		return a.session.refuse(e)
	}
	a.session.state = state
	a.conn.Session = state.key
	a.release(true)
	return a.session.sendReady('I')
}

func isPrimary(s core.Status, term uint64) bool {
	return s.Role == core.RolePrimary && s.Term == term && s.Fence == term
}

// receiveStatus reads the response to the status request that was sent after the
// pipeline and passes it to the control goroutine as a sample.
func (a *attempt) receiveStatus(sentAt time.Time) (core.Status, error) {
	status, err := a.conn.ReceiveStatus()
	if err != nil {
		return core.Status{}, err
	}
	control := a.session.instance.control
	name := a.member.Name
	group := a.session.group.Name
	control.tryPost(func(now time.Time) {
		if g, ok := control.groups[group]; ok {
			g.handleSample(name, sentAt, now, status)
		}
	})
	return status, nil
}

// isAborted reports whether a status request was rejected because the pipeline
// before it failed inside a transaction. Any other failure means that the
// responses do not belong to what was sent.
func isAborted(o outcome, err error) bool {
	var responseError *endpoint.ResponseError
	return o.status == 'E' && errors.As(err, &responseError)
}

// release returns the connection to its pool.
func (a *attempt) release(clean bool) {
	a.session.attempt = nil
	reusable := a.session.clearRunning()
	a.member.pool.release(a.conn, clean && reusable)
}

// connectionLost answers a pipeline whose connection failed after the pipeline
// was sent.
func (a *attempt) connectionLost() error {
	a.exchange.truncate()
	if err := a.conn.Err(); err != nil {
		a.member.pool.reportFailure(err)
	}
	a.release(false)
	return a.session.outcomeUnknown()
}

// outcomeUnknown answers a pipeline whose outcome is unknown.
func (s *session) outcomeUnknown() error {
	s.instance.counters.unknownOutcomes.Inc(1)
	s.conn.SendError(caller.SeverityError, core.NewError(core.CodeOutcomeUnknown, "the outcome is unknown"))
	return s.sendReady('I')
}
