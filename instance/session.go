package instance

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"anviltack/core"
	"anviltack/core/mark"
	"anviltack/core/patch"
	"anviltack/io/caller"
)

// defaultDeadline bounds a statement when neither its caller nor the
// configuration states a deadline.
const defaultDeadline = 5 * time.Second

// defaultTransactionIdle bounds how long a caller may be idle in a transaction
// when the configuration states nothing.
const defaultTransactionIdle = 30 * time.Second

// session is one caller's session; only its own goroutine touches it, but for
// the fields in sessionEntry.
type session struct {
	*sessionEntry
	instance *Instance
	conn     *caller.Conn
	login    caller.Login
	database patch.Database
	group    *Group
	// version is the configuration's version that database and group are of.
	version uint64
	// defaults are what the session's parameters state.
	defaults annotation
	// marks are the points that reads of this session must cover.
	marks *mark.Marks
	// markedAt is when the mark of the session's group was raised last.
	markedAt time.Time
	// unreported tells that the marks changed since the caller was told them.
	unreported bool
	reads      reads
	prepared   map[string]*prepared
	// preparedBytes is the length of the parse messages in prepared.
	preparedBytes int
	// state is what the caller set for the session.
	state sessionState
	// held is the connection of an open transaction, or nil.
	held *hold
}

// serve answers one caller until the session ends.
func (in *Instance) serve(ctx context.Context, nc net.Conn) {
	conn := caller.NewConn(nc, in.settings.Message)
	defer conn.Close()
	defer context.AfterFunc(ctx, conn.Close)()
	conn.SetReadDeadline(time.Now().Add(startLimit))
	s, err := in.start(conn)
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
	if err := s.run(); err != nil {
		in.event(core.EventSessionError).WithField("caller", s.login.Caller).WithError(err).Debug("session ended")
		in.reject(conn, err)
	}
}

// startLimit bounds the time from accept to the first statement.
const startLimit = 10 * time.Second

// reject sends a last error when there is one to tell.
func (in *Instance) reject(conn *caller.Conn, err error) {
	var e *core.Error
	if !errors.As(err, &e) {
		return
	}
	in.counters.refusals.Inc(1)
	conn.SendError(caller.SeverityFatal, e)
	_ = conn.Flush()
}

// start takes a connection through start-up and authentication.
func (in *Instance) start(conn *caller.Conn) (*session, error) {
	login, err := conn.Start()
	if err != nil {
		return nil, err
	}
	if in.isDraining() {
		return nil, draining()
	}
	view := in.View()
	if view.Version == 0 {
		return nil, core.NewError(core.CodeNoGroup, "no configuration is in force yet").WithRetry(connectPause)
	}
	known := view.Config.Callers[login.Caller]
	if err := conn.Authenticate(known.Secret); err != nil {
		return nil, err
	}
	database, e := view.find(login)
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
		reads:    reads{router: in.newRouter()},
		prepared: make(map[string]*prepared),
	}
	for name, value := range login.Options() {
		if e := s.setOption(name, value); e != nil {
			return nil, e
		}
	}
	s.login.Parameters = nil
	if s.sessionEntry, err = in.sessions.add(in.settings.Sessions, conn.Interrupt); err != nil {
		return nil, err
	}
	in.counters.sessions.Inc(1)
	if err := conn.CompleteStartup(s.key, welcomeParameters(s.marks)); err != nil {
		s.end()
		return nil, err
	}
	return s, nil
}

// find returns the database of a log-in, or why the caller may not reach it.
func (v *View) find(l caller.Login) (patch.Database, *core.Error) {
	database, ok := v.Config.Databases[l.Database]
	if !ok {
		return database, core.NewError(core.CodeUnknownDatabase, "database %q does not exist", l.Database)
	}
	if !slices.Contains(v.Config.Callers[l.Caller].Databases, l.Database) {
		return database, core.NewError(core.CodeNotAllowed, "caller %q may not reach database %q", l.Caller, l.Database)
	}
	return database, nil
}

// follow takes in a new configuration between transactions; its error ends the
// session of a caller that may no longer reach the database.
func (s *session) follow() error {
	view := s.instance.View()
	if view.Version == s.version || s.held != nil {
		return nil
	}
	database, e := view.find(s.login)
	if e != nil {
		return e
	}
	s.database, s.group, s.version = database, view.Groups[database.Group], view.Version
	return nil
}

func welcomeParameters(marks *mark.Marks) []pgproto3.ParameterStatus {
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

// run serves units until the caller ends the session.
func (s *session) run() error {
	for {
		if s.held == nil && s.instance.isDraining() {
			return draining()
		}
		s.awaitTransaction()
		u, err := s.nextUnit()
		if s.held != nil && caller.IsTimeout(err) {
			return core.NewError(core.CodeTransactionIdle, "the transaction was idle for too long and was rolled back")
		}
		if err != nil && s.isEnding() {
			return draining()
		}
		if err != nil || u == nil {
			return err
		}
		if s.held != nil {
			s.conn.SetReadDeadline(time.Time{})
		}
		if err := s.follow(); err != nil {
			return err
		}
		u.deadline = u.arrived.Add(s.limit(u.annotation))
		if err := s.serveUnit(u); err != nil {
			return err
		}
		s.rest(s.held != nil)
	}
}

// draining tells a caller between requests that the instance is stopping.
func draining() *core.Error {
	return core.NewError(core.CodeDraining, "the instance is stopping, connect again")
}

// awaitTransaction bounds the wait for the next statement of an open transaction.
func (s *session) awaitTransaction() {
	if s.held == nil {
		return
	}
	limit := time.Duration(s.instance.View().Config.Limits.TransactionIdle)
	if limit <= 0 {
		limit = defaultTransactionIdle
	}
	s.conn.SetReadDeadline(time.Now().Add(limit))
}

// limit is how long a statement may take.
func (s *session) limit(a annotation) time.Duration {
	if a.deadline > 0 {
		return a.deadline
	}
	if d := s.instance.View().Config.Limits.Deadline; d > 0 {
		return time.Duration(d)
	}
	return defaultDeadline
}

// serveUnit answers one unit; its error ends the session.
func (s *session) serveUnit(u *unit) error {
	s.instance.counters.statements.Inc(1)
	s.instance.retries.try()
	if u.fault != nil && s.held == nil {
		return s.refuse(u.fault)
	}
	if handled, err := s.serveParameter(u); handled {
		return err
	}
	switch {
	case s.held != nil:
		return s.serveHeld(u)
	case u.isRead():
		return s.serveRead(u)
	default:
		return s.serveWrite(u)
	}
}

// refuse answers a unit that did not run.
func (s *session) refuse(e *core.Error) error {
	s.instance.counters.refusals.Inc(1)
	s.conn.SendError(caller.SeverityError, e)
	return s.ready('I')
}

// ready ends the answer to a unit.
func (s *session) ready(status byte) error {
	if s.unreported {
		s.conn.Send(&pgproto3.ParameterStatus{Name: parameterPrefix + nameMark, Value: s.marks.String()})
		s.unreported = false
	}
	s.conn.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.conn.Flush()
}

// status is the transaction status that the caller sees.
func (s *session) status() byte {
	if s.held != nil {
		return 'T'
	}
	return 'I'
}

// end releases what the session holds.
func (s *session) end() {
	if s.held != nil {
		s.held.links.put(s.held.conn, false)
		s.held = nil
	}
	s.instance.sessions.remove(s.sessionEntry)
	clear(s.prepared)
}
