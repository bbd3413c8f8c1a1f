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

// session is one connection.
type session struct {
	endpoint *Endpoint
	conn     *link
	backend  *pgproto3.Backend
	// ctx ends with the session.
	ctx context.Context
	// dataCentre is where the session's instance is, empty when not told.
	dataCentre core.DataCentre
	// id and secret name the session in cancel requests.
	id     uint32
	secret []byte

	statements  map[string]statement
	portals     map[string]portal
	transaction transaction
	// skipping drops messages up to the next Sync after an error.
	skipping bool
	// ran tells that the answer being built is that of a statement with a slot.
	ran bool

	// writing guards the connection's outgoing side, which an answer of another
	// session may use.
	writing sync.Mutex
	used    atomic.Bool
	silent  atomic.Bool
	mute    atomic.Bool
	// cancel ends the statement that runs now; the endpoint's mu guards it.
	cancel context.CancelFunc
}

func newSession(e *Endpoint, conn net.Conn) *session {
	s := &session{endpoint: e, conn: &link{Conn: conn}, secret: make([]byte, secretLength), transaction: newTransaction()}
	s.forget()
	s.portals = make(map[string]portal)
	_, _ = rand.Read(s.secret)
	s.backend = pgproto3.NewBackend(s.conn, outlet{s})
	s.backend.SetMaxBodyLen(maxBodyLength)
	return s
}

// forget drops the prepared statements.
func (s *session) forget() { s.statements = make(map[string]statement) }

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
		if err != nil || s.reach(ctx) != nil {
			return
		}
		if s.silent.Load() {
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

// start answers the start-up messages and reports whether the session may go on.
func (s *session) start(ctx context.Context) bool {
	for {
		message, err := s.backend.ReceiveStartupMessage()
		if err != nil || s.endpoint.frozen.wait(ctx) != nil {
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
			if s.reach(ctx) != nil || !wait(ctx, nil, s.endpoint.connect) || !s.welcome(m) {
				return false
			}
			s.conn.setDataCentre(s.endpoint, s.dataCentre)
			return true
		}
	}
}

func (s *session) welcome(m *pgproto3.StartupMessage) bool {
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

// admit counts the session against the cap on connections.
func (e *Endpoint) admit(s *session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.sessions) >= e.connections {
		e.stats.Refusals++
		return false
	}
	e.nextID++
	s.id = e.nextID
	e.sessions[s.id] = s
	e.stats.ConnectionsMost = max(e.stats.ConnectionsMost, len(e.sessions))
	return true
}

func (e *Endpoint) remove(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, s.id)
}

// cancelStatement ends the statement that a session runs now.
func (e *Endpoint) cancelStatement(id uint32, secret []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sessions[id]
	if ok && s.cancel != nil && subtle.ConstantTimeCompare(s.secret, secret) == 1 {
		s.cancel()
	}
}

// handle answers one message; an error ends the connection.
func (s *session) handle(ctx context.Context, message pgproto3.FrontendMessage) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.setCancel(cancel)
	defer s.setCancel(nil)
	switch m := message.(type) {
	case *pgproto3.Query:
		s.query(ctx, m.String)
		return s.ready()
	case *pgproto3.Sync:
		s.sync(ctx)
		return s.ready()
	case *pgproto3.Flush:
		return s.backend.Flush()
	}
	if s.skipping {
		return nil
	}
	if err := s.extended(ctx, message); err != nil {
		s.fail(err)
		s.skipping = true
	}
	return nil
}

func (s *session) setCancel(cancel context.CancelFunc) {
	s.endpoint.mu.Lock()
	defer s.endpoint.mu.Unlock()
	s.cancel = cancel
}

// ready ends the answer to a query or a Sync.
func (s *session) ready() error {
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.transaction.status})
	err := s.backend.Flush()
	s.ran = false
	return err
}

// fail answers with an error and aborts the transaction.
func (s *session) fail(err error) {
	status := s.transaction.status
	s.rollback()
	if status != statusIdle {
		s.transaction.status = statusFailed
	}
	s.backend.Send(errorResponse("ERROR", err))
}

// outlet is where a session's answers go.
type outlet struct{ session *session }

// Write delivers an answer, unless a fault keeps or crosses it.
func (o outlet) Write(b []byte) (int, error) {
	s := o.session
	target, slow := s.endpoint.route(s)
	time.Sleep(slow)
	if err := s.reach(s.ctx); err != nil {
		return 0, err
	}
	if s.silent.Load() || s.mute.Load() {
		return len(b), nil
	}
	target.writing.Lock()
	defer target.writing.Unlock()
	return target.conn.Write(b)
}

// route returns the session on whose connection an answer goes out, and the
// delay before.
func (e *Endpoint) route(s *session) (*session, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.crossNext && s.ran {
		for _, other := range e.sessions {
			if other != s && other.used.Load() {
				e.faults.crossNext = false
				return other, e.faults.slow
			}
		}
	}
	return s, e.faults.slow
}
