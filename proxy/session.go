package proxy

import (
	"errors"
	"maps"
	"net"
	"sync/atomic"
	"time"

	"anviltack/core"
)

const (
	// defaultTimeout bounds a statement when its route states nothing.
	defaultTimeout = time.Second
	// maxNames bounds the values, and the prepared statements, of one session.
	maxNames = 1000
)

// session is one caller's session; only its own goroutine touches it, but for
// the fields that say otherwise.
type session struct {
	proxy  *Proxy
	caller *Caller
	// values are those that were acknowledged to the caller.
	values map[string]string
	// prepared are the caller's prepared statements by the caller's names.
	prepared map[string]Statement
	// marks are the newest of the caller's own commits by group.
	marks map[core.Group]ownMark
	// refusedAt is when a statement of the session was refused last.
	refusedAt time.Time
	// tx is the open transaction, or nil.
	tx *transaction
	// open tells others that a transaction is open.
	open atomic.Bool
	// stopping tells the session to begin no further statement.
	stopping atomic.Bool
	// relay is set when another instance serves the session.
	relay *Relay
}

// ownMark is a commit of the session.
type ownMark struct {
	point core.Point
	at    time.Time
}

// serve answers one caller until the session ends.
func (p *Proxy) serve(conn net.Conn, start func(net.Conn) (*Caller, error)) {
	caller, err := start(conn)
	if err != nil {
		_ = conn.Close()
		return
	}
	p.converse(caller)
}

// converse answers one caller from the start of the session to its end.
func (p *Proxy) converse(caller *Caller) {
	defer caller.Close()
	p.awaitConfig()
	p.minimumVersion.await(p)
	r, err := p.route(caller.Database)
	if err == nil && caller.Relayed && p.drainer.isDraining() {
		err = core.NewError(core.CodeDraining, "the instance stops")
	}
	if err == nil && !p.initialized.Load() {
		err = core.NewError(core.CodeNoPrimary, "the endpoints are not known yet").WithRetry(retryAdvice)
	}
	if err != nil {
		p.recordRejectedSession(caller, "", err)
		caller.Reject(err)
		return
	}
	if !caller.Relayed && p.relay(caller, r) {
		return
	}
	s := &session{
		proxy: p, caller: caller, values: map[string]string{},
		prepared: map[string]Statement{}, marks: map[core.Group]ownMark{},
	}
	p.enter(s)
	defer p.leave(s)
	defer s.abandon()
	if caller.Ready() != nil {
		return
	}
	s.run()
}

// configWait is how long a new session waits for the first configuration; callers
// wait 2 s for an answer.
const configWait = 1500 * time.Millisecond

// awaitConfig waits for the first configuration.
func (p *Proxy) awaitConfig() {
	const look = 20 * time.Millisecond
	for end := p.now().Add(configWait); p.config.Load() == nil && p.now().Before(end); {
		time.Sleep(look)
	}
}

// route returns how a database is served now.
func (p *Proxy) route(d core.Database) (Route, error) {
	c := p.config.Load()
	if c == nil {
		return Route{}, core.NewError(core.CodeNoPrimary, "no configuration yet")
	}
	r, ok := c.Routes[d]
	if !ok {
		return Route{}, core.NewError(core.CodeUnknownDatabase, "database %s is not served in version %d", d, c.Version)
	}
	if r.Timeout == 0 {
		r.Timeout = defaultTimeout
	}
	return r, nil
}

// run answers statements until the caller leaves.
func (s *session) run() {
	for !s.stopping.Load() || s.tx != nil {
		var limit time.Duration
		if s.tx != nil {
			limit = s.proxy.config.Load().TransactionIdleTimeout
		}
		st, err := s.caller.Next(limit)
		if err != nil {
			return
		}
		arrived := s.proxy.now()
		s.proxy.minimumVersion.await(s.proxy)
		a := s.answer(st, arrived)
		if a.Err != nil {
			s.refusedAt = s.proxy.now()
		}
		s.proxy.recordStatement(s, st, a, arrived)
		if s.caller.Answer(a) != nil {
			return
		}
	}
}

// answer carries out one statement.
func (s *session) answer(st Statement, arrived time.Time) Answer {
	if s.tx != nil && s.tx.failed && st.Kind != KindCommit && st.Kind != KindRollback {
		return s.fail(core.NewError(core.CodeBadMessage, "the transaction failed and can only end"))
	}
	switch st.Kind {
	case KindSet:
		return s.set(st)
	case KindPrepare:
		return s.prepare(st)
	case KindDeallocate:
		return s.deallocate(st)
	case KindBegin:
		return s.begin(st, arrived)
	case KindCommit:
		return s.commit(st, arrived)
	case KindRollback:
		return s.rollback()
	case KindRead, KindWrite:
		return s.execute(st, st.Kind, arrived)
	case KindExecute:
		named, ok := s.prepared[st.Name]
		if !ok {
			return s.fail(core.NewError(core.CodeUnknownPrepared, "no statement %s is prepared", st.Name))
		}
		st.Access, st.Shape = named.Access, named.Shape
		st.Name = sharedName(named)
		return s.execute(st, st.Access, arrived)
	default:
		return s.fail(core.NewError(core.CodeBadMessage, "the text is no statement"))
	}
}

// retryWithin is how soon after a refusal a statement is taken for another attempt.
const retryWithin = time.Second

// urgency orders the session's claims: by the route's priority, and among equals
// what may still be in time before another attempt at what was refused, which is
// late already. Under overload fewer callers would be served in time otherwise.
func (s *session) urgency(r Route, arrived time.Time) int {
	u := 2 * r.Priority
	if !s.refusedAt.IsZero() && arrived.Sub(s.refusedAt) < retryWithin {
		u++
	}
	return u
}

// execute runs a read or a write in or outside a transaction.
func (s *session) execute(st Statement, access Kind, arrived time.Time) Answer {
	if s.tx != nil {
		return s.within(st, access, arrived)
	}
	r, g, err := s.target()
	if err != nil {
		return s.fail(err)
	}
	if access == KindRead {
		return s.read(st, r, g, arrived)
	}
	return s.write(st, r, g, arrived)
}

// target returns the session's route and group as configured now.
func (s *session) target() (Route, *group, error) {
	r, err := s.proxy.route(s.caller.Database)
	if err != nil {
		return Route{}, nil, err
	}
	g := s.proxy.groupOf(r.Group)
	if g == nil {
		return Route{}, nil, core.NewError(core.CodeNoGroup, "group %s is not known", r.Group)
	}
	g.lastUsedAt.Store(s.proxy.now().UnixNano())
	return r, g, nil
}

// state is the session's state towards its caller.
func (s *session) state() State {
	switch {
	case s.tx == nil:
		return StateIdle
	case s.tx.failed:
		return StateFailed
	default:
		return StateTransaction
	}
}

// done answers a statement that the instance carried out by itself.
func (s *session) done() Answer { return Answer{State: s.state()} }

// fail answers a statement that did not succeed. A transaction fails with it.
func (s *session) fail(err error) Answer {
	if s.tx != nil {
		s.tx.failed = true
	}
	return Answer{Err: err, State: s.state()}
}

func (s *session) set(st Statement) Answer {
	if _, ok := s.values[st.Name]; !ok && len(s.values) >= maxNames {
		return s.fail(core.NewError(core.CodeTooLarge, "more than %d session values", maxNames))
	}
	// Connections compare with the map that they were given, so it is replaced.
	s.values = maps.Clone(s.values)
	s.values[st.Name] = st.Value
	return s.done()
}

func (s *session) prepare(st Statement) Answer {
	if _, ok := s.prepared[st.Name]; !ok && len(s.prepared) >= maxNames {
		return s.fail(core.NewError(core.CodeTooLarge, "more than %d prepared statements", maxNames))
	}
	s.prepared[st.Name] = st
	return s.done()
}

func (s *session) deallocate(st Statement) Answer {
	if _, ok := s.prepared[st.Name]; !ok {
		return s.fail(core.NewError(core.CodeUnknownPrepared, "no statement %s is prepared", st.Name))
	}
	delete(s.prepared, st.Name)
	return s.done()
}

// sharedName is the name of a prepared statement at endpoints: the same for all
// sessions that prepared the same.
func sharedName(st Statement) string {
	if st.Access == KindRead {
		return "r." + st.Shape
	}
	return "w." + st.Shape
}

// notePoint raises the mark of the session after its own commit.
func (s *session) notePoint(g core.Group, p core.Point, at time.Time) {
	if m := s.marks[g]; m.point.Less(p) {
		s.marks[g] = ownMark{point: p, at: at}
	}
}

// abandon ends what the caller left open.
func (s *session) abandon() {
	if s.tx != nil {
		s.endTransaction(false)
	}
}

func (p *Proxy) enter(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions[s] = struct{}{}
}

func (p *Proxy) leave(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, s)
}

// asError returns err as an error that callers can be told.
func asError(err error) *core.Error {
	var e *core.Error
	if errors.As(err, &e) {
		return e
	}
	return core.NewError(core.CodeOutcomeUnknown, "%v", err)
}
