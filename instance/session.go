package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"anviltack/core"
	"anviltack/core/mark"
	"anviltack/core/patch"
	"anviltack/io/caller"
)

// defaultStatementTimeout applies when neither the caller nor the configuration
// states a deadline.
const defaultStatementTimeout = 5 * time.Second

// defaultIdleTimeout is how long a caller may be idle in a transaction when the
// configuration states no limit.
const defaultIdleTimeout = 30 * time.Second

// session is one caller's session. Only its own goroutine accesses it, except
// for the fields in sessionEntry.
type session struct {
	*sessionEntry
	instance *Instance
	conn     *caller.Conn
	login    caller.Login
	database patch.Database
	group    *Group
	// version is the configuration version from which database and group were
	// taken.
	version uint64
	// defaults is the annotation set by the session's parameters.
	defaults annotation
	// marks holds the point of each group that reads of this session must
	// cover.
	marks *mark.Marks
	// markRaisedAt is when the mark of the session's group was last raised.
	markRaisedAt time.Time
	// markUnreported is true if the marks changed since they were last reported
	// to the caller.
	markUnreported bool
	reads          readState
	prepared       map[string]*prepared
	// preparedBytes is the total length of the Parse messages in prepared.
	preparedBytes int
	// state holds the run-time parameters that the caller set for the session.
	state sessionState
	// transaction is the open transaction, or nil.
	transaction *transaction
	// attempt is the attempt that holds a connection, or nil.
	attempt *attempt
}

// serveCaller serves one caller connection until the session ends.
func (in *Instance) serveCaller(ctx context.Context, nc net.Conn) {
	conn := caller.NewConn(nc, in.settings.Message)
	defer conn.Close()
	defer conn.DiscardUnread()
	defer in.containPanic(conn)
	defer context.AfterFunc(ctx, conn.Close)()
	conn.SetReadDeadline(time.Now().Add(startupTimeout))
	s, err := in.startSession(conn)
	var cancelled *caller.CancelError
	if errors.As(err, &cancelled) {
		in.sessions.cancel(ctx, cancelled.Key)
		return
	}
	if err != nil {
		in.reject(conn, err)
		return
	}
	conn.SetReadDeadline(time.Time{})
	defer s.end()
	defer in.containPanic(conn) // before s.end, after which a planned stop may be complete
	if err := s.run(); err != nil {
		in.event(core.EventSessionError).WithField("caller", s.login.Caller).WithError(err).Debug("session ended")
		in.reject(conn, err)
	}
}

// containPanic ends the session of the goroutine that panicked, so that one message which the
// code cannot handle does not end all others. Its caller gets a final answer.
func (in *Instance) containPanic(conn *caller.Conn) {
	if r := recover(); r != nil {
		in.event(core.EventSessionError).WithField("stack", string(debug.Stack())).WithError(fmt.Errorf("instance: panic: %v", r)).Error("session ended by a fault of this program")
		conn.End(core.NewError(core.CodeOutcomeUnknown, "the session ended by a fault of the instance; the outcome of its statement is unknown"))
	}
}

// startupTimeout bounds start-up and authentication of a caller connection.
const startupTimeout = 10 * time.Second

// reject sends an error with a code to the caller before its connection is
// closed; other errors are not reported.
func (in *Instance) reject(conn *caller.Conn, err error) {
	var e *core.Error
	if !errors.As(err, &e) {
		return
	}
	in.counters.refusals.Inc(1)
	conn.End(e)
}

// startSession performs start-up and authentication of a caller connection.
func (in *Instance) startSession(conn *caller.Conn) (*session, error) {
	login, err := conn.Start()
	if err != nil {
		return nil, err
	}
	if in.isDraining() {
		return nil, drainingError()
	}
	view := in.View()
	if view.Version == 0 {
		return nil, core.NewError(core.CodeNoGroup, "no configuration is in force yet").WithRetry(connectRetryDelay)
	}
	callerConfig := view.Config.Callers[login.Caller]
	if err := conn.Authenticate(callerConfig.Secret); err != nil {
		return nil, err
	}
	database, e := view.authorize(login)
	if e != nil {
		return nil, e
	}
	s := &session{
		instance: in,
		conn:     conn,
		login:    login,
		database: database,
		group:    view.Groups[database.Group],
		version:  view.Version,
		marks:    mark.New(time.Now()),
		reads:    readState{router: in.newRouter()},
		prepared: make(map[string]*prepared),
	}
	for name, value := range login.Options() {
		if e := s.setParameter(name, value); e != nil {
			return nil, e
		}
	}
	s.login.Parameters = nil
	if s.sessionEntry, err = in.sessions.register(in.settings.Sessions, conn); err != nil {
		return nil, err
	}
	in.counters.sessions.Inc(1)
	if err := conn.CompleteStartup(s.key, initialParameters(s.marks)); err != nil {
		s.end()
		return nil, err
	}
	return s, nil
}

// authorize returns the database of a login, or an error if the caller may not
// access it.
func (v *View) authorize(login caller.Login) (patch.Database, *core.Error) {
	database, ok := v.Config.Databases[login.Database]
	if !ok {
		return database, core.NewError(core.CodeUnknownDatabase, "database %q does not exist", login.Database)
	}
	if !slices.Contains(v.Config.Callers[login.Caller].Databases, login.Database) {
		return database, core.NewError(core.CodeNotAllowed, "caller %q may not reach database %q", login.Caller, login.Database)
	}
	return database, nil
}

// applyConfiguration switches to the newest configuration between transactions.
// It returns an error, which ends the session, if the caller may no longer
// access the database.
func (s *session) applyConfiguration() error {
	view := s.instance.View()
	if view.Version == s.version || s.transaction != nil {
		return nil
	}
	database, e := view.authorize(s.login)
	if e != nil {
		return e
	}
	s.database, s.group, s.version = database, view.Groups[database.Group], view.Version
	return nil
}

func initialParameters(marks *mark.Marks) []pgproto3.ParameterStatus {
	return []pgproto3.ParameterStatus{
		{Name: "server_version", Value: "15.0"},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "standard_conforming_strings", Value: "on"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "TimeZone", Value: "UTC"},
		{Name: parameterPrefix + nameMark, Value: marks.String()},
	}
}

// run serves pipelines until the caller ends the session.
func (s *session) run() error {
	for {
		if s.transaction == nil && s.instance.isDraining() {
			return drainingError()
		}
		s.setIdleTimeout()
		pl, err := s.readPipeline()
		if s.transaction != nil && caller.IsTimeout(err) {
			return core.NewError(core.CodeTransactionIdle, "the transaction was idle for too long and was rolled back")
		}
		if err != nil && s.isTerminating() {
			return drainingError()
		}
		if err != nil || pl == nil {
			return err
		}
		if s.transaction != nil {
			s.conn.SetReadDeadline(time.Time{})
		}
		if err := s.applyConfiguration(); err != nil {
			return err
		}
		pl.deadline = pl.arrived.Add(s.statementTimeout(pl.annotation))
		if err := s.servePipeline(pl); err != nil {
			return err
		}
		s.setIdle(s.transaction != nil)
	}
}

// drainingError is sent to a caller between requests while the instance is
// stopping.
func drainingError() *core.Error {
	return core.NewError(core.CodeDraining, "the instance is stopping, connect again")
}

// setIdleTimeout bounds the wait for the next statement of an open transaction.
func (s *session) setIdleTimeout() {
	if s.transaction == nil {
		return
	}
	limit := time.Duration(s.instance.View().Config.Limits.TransactionIdle)
	if limit <= 0 {
		limit = defaultIdleTimeout
	}
	s.conn.SetReadDeadline(time.Now().Add(limit))
}

// statementTimeout returns how long a statement may take.
func (s *session) statementTimeout(a annotation) time.Duration {
	if a.deadline > 0 {
		return a.deadline
	}
	if d := s.instance.View().Config.Limits.Deadline; d > 0 {
		return time.Duration(d)
	}
	return defaultStatementTimeout
}

// servePipeline answers one pipeline; an error ends the session.
func (s *session) servePipeline(pl *pipeline) error {
	s.instance.counters.statements.Inc(1)
	s.instance.retries.recordStatement()
	if pl.isRefused {
		return s.sendReady('I')
	}
	if pl.err != nil && s.transaction == nil {
		return s.refuse(pl.err)
	}
	if handled, err := s.serveParameter(pl); handled {
		return err
	}
	switch {
	case s.transaction != nil:
		return s.serveInTransaction(pl)
	case pl.isRead():
		return s.serveRead(pl)
	default:
		return s.serveWrite(pl)
	}
}

// refuse answers a pipeline that did not run with an error.
func (s *session) refuse(e *core.Error) error {
	s.instance.counters.refusals.Inc(1)
	s.conn.SendError(caller.SeverityError, e)
	return s.sendReady(s.transactionStatus())
}

// sendReady completes the response to a pipeline with ReadyForQuery, preceded by
// the session's marks if they changed.
func (s *session) sendReady(status byte) error {
	if s.markUnreported {
		s.conn.Send(&pgproto3.ParameterStatus{Name: parameterPrefix + nameMark, Value: s.marks.String()})
		s.markUnreported = false
	}
	s.conn.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.conn.Flush()
}

// transactionStatus returns the transaction status as the caller sees it.
func (s *session) transactionStatus() byte {
	if s.transaction != nil {
		return 'T'
	}
	return 'I'
}

// end closes the connection of an open transaction, or of a statement that a panic ended, and
// unregisters the session.
func (s *session) end() {
	if s.attempt != nil {
		s.attempt.release(false)
	}
	if s.transaction != nil {
		s.transaction.pool.release(s.transaction.conn, false)
		s.transaction = nil
	}
	s.instance.sessions.unregister(s.sessionEntry)
	clear(s.prepared)
}
