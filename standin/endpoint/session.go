package endpoint

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"anviltack/core"
)

const (
	secretLength  = 4
	maxBodyLength = 1 << 20
)

// session is the state of one connection.
type session struct {
	endpoint *Endpoint
	conn     *delayedConn
	backend  *pgproto3.Backend
	// ctx ends with the session.
	ctx context.Context
	// dataCentre is the data centre of the session's instance, or "" if
	// unknown.
	dataCentre core.DataCentre
	// id and secret identify the session in cancel requests.
	id     uint32
	secret []byte

	statements  map[string]statement
	portals     map[string]portal
	transaction transaction
	// skipToSync drops messages up to the next Sync after an error.
	skipToSync bool
	// usedSlot is true if the answer being built is that of a statement that
	// ran in a slot.
	usedSlot bool

	// writeMu guards writes to the connection, as another session's misdirected
	// answer may be written to it.
	writeMu sync.Mutex
	// executed is true once the session has executed a statement; only such a
	// session is sent a misdirected answer.
	executed atomic.Bool
	// dropMessages and dropAnswers are set by the faults of the same names.
	dropMessages atomic.Bool
	dropAnswers  atomic.Bool
	// cancel cancels the running statement; guarded by the endpoint's mu.
	cancel context.CancelFunc
}

func newSession(e *Endpoint, conn net.Conn) *session {
	s := &session{endpoint: e, conn: &delayedConn{Conn: conn}, secret: make([]byte, secretLength), transaction: newTransaction()}
	s.clearStatements()
	s.portals = make(map[string]portal)
	_, _ = rand.Read(s.secret)
	s.backend = pgproto3.NewBackend(s.conn, answerWriter{s})
	s.backend.SetMaxBodyLen(maxBodyLength)
	return s
}

// clearStatements drops the prepared statements.
func (s *session) clearStatements() { s.statements = make(map[string]statement) }

func (s *session) close() { _ = s.conn.Close() }

// run serves the connection until it ends.
func (s *session) run(ctx context.Context) {
	defer s.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.ctx = ctx
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	if !s.start(ctx) {
		return
	}
	defer s.endpoint.remove(s)
	defer s.rollback()
	for {
		message, err := s.backend.Receive()
		if err != nil || s.waitReachable(ctx) != nil {
			return
		}
		if s.dropMessages.Load() {
			continue
		}
		if _, ok := message.(*pgproto3.Terminate); ok {
			return
		}
		if s.handle(ctx, message) != nil {
			return
		}
	}
}

// start handles the start-up messages and reports whether the session may
// continue.
func (s *session) start(ctx context.Context) bool {
	for {
		message, err := s.backend.ReceiveStartupMessage()
		if err != nil || s.endpoint.suspended.wait(ctx) != nil {
			return false
		}
		switch m := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			s.endpoint.cancelStatement(m.ProcessID, m.SecretKey)
			return false
		case *pgproto3.StartupMessage:
			s.dataCentre = dataCentreOf(m.Parameters["user"])
			if s.waitReachable(ctx) != nil || !wait(ctx, nil, s.endpoint.connectDelay) || !s.completeStartup(m) {
				return false
			}
			s.conn.startDelay(s.endpoint, s.dataCentre)
			return true
		}
	}
}

func (s *session) completeStartup(m *pgproto3.StartupMessage) bool {
	if !s.endpoint.admit(s) {
		s.backend.Send(errorResponse("FATAL", newSQLError(stateTooMany, "sorry, too many clients already")))
		_ = s.backend.Flush()
		return false
	}
	if m.ProtocolVersion != pgproto3.ProtocolVersion30 {
		s.backend.Send(&pgproto3.NegotiateProtocolVersion{})
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range []pgproto3.ParameterStatus{
		{Name: "server_version", Value: "15.0"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "standard_conforming_strings", Value: "on"},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "TimeZone", Value: "UTC"},
	} {
		s.backend.Send(&p)
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.id, SecretKey: s.secret})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
	if s.backend.Flush() != nil {
		s.endpoint.remove(s)
		return false
	}
	return true
}

// admit registers the session unless the connection limit is reached.
func (e *Endpoint) admit(s *session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.sessions) >= e.maxConnections {
		e.stats.Refusals++
		return false
	}
	e.nextID++
	s.id = e.nextID
	e.sessions[s.id] = s
	e.stats.PeakConnections = max(e.stats.PeakConnections, len(e.sessions))
	return true
}

func (e *Endpoint) remove(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, s.id)
}

// cancelStatement cancels the statement that a session is running.
func (e *Endpoint) cancelStatement(id uint32, secret []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sessions[id]
	if ok && s.cancel != nil && subtle.ConstantTimeCompare(s.secret, secret) == 1 {
		s.cancel()
	}
}

// handle handles one message; an error ends the connection.
func (s *session) handle(ctx context.Context, message pgproto3.FrontendMessage) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.setCancel(cancel)
	defer s.setCancel(nil)
	switch m := message.(type) {
	case *pgproto3.Query:
		s.simpleQuery(ctx, m.String)
		return s.sendReady()
	case *pgproto3.Sync:
		s.sync(ctx)
		return s.sendReady()
	case *pgproto3.Flush:
		return s.backend.Flush()
	}
	if s.skipToSync {
		return nil
	}
	if err := s.extendedMessage(ctx, message); err != nil {
		s.fail(err)
		s.skipToSync = true
	}
	return nil
}

func (s *session) setCancel(cancel context.CancelFunc) {
	s.endpoint.mu.Lock()
	defer s.endpoint.mu.Unlock()
	s.cancel = cancel
}

// sendReady ends the answer to a query or a Sync.
func (s *session) sendReady() error {
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.transaction.status})
	err := s.backend.Flush()
	s.usedSlot = false
	return err
}

// fail sends an error and aborts the transaction.
func (s *session) fail(err error) {
	status := s.transaction.status
	s.rollback()
	if status != statusIdle {
		s.transaction.status = statusFailed
	}
	s.backend.Send(errorResponse("ERROR", err))
}

// answerWriter writes a session's answers to its connection.
type answerWriter struct{ session *session }

// Write sends an answer, unless a fault drops or misdirects it.
func (w answerWriter) Write(b []byte) (int, error) {
	s := w.session
	target, delay := s.endpoint.answerTarget(s)
	time.Sleep(delay)
	if err := s.waitReachable(s.ctx); err != nil {
		return 0, err
	}
	if s.dropMessages.Load() || s.dropAnswers.Load() {
		return len(b), nil
	}
	target.writeMu.Lock()
	defer target.writeMu.Unlock()
	return target.conn.Write(b)
}

// answerTarget returns the session on whose connection an answer is sent, and
// the delay before sending it.
func (e *Endpoint) answerTarget(s *session) (*session, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.misdirectNext && s.usedSlot {
		for _, other := range e.sessions {
			if other != s && other.executed.Load() {
				e.faults.misdirectNext = false
				return other, e.faults.answerDelay
			}
		}
	}
	return s, e.faults.answerDelay
}
