package proxy

import (
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"anviltack/core"
)

// defaultTimeout bounds a statement whose route sets no timeout.
const defaultTimeout = time.Second

// session is a caller's session. Only its own goroutine uses it, except for the fields
// marked otherwise.
type session struct {
	proxy  *Proxy
	caller *Caller
	// values are the session values that were acknowledged to the caller.
	values map[string]string
	// prepared holds the caller's prepared statements, with their names at endpoints, by the
	// caller's names.
	prepared map[string]Statement
	// textBytes is the size of values and prepared, with their names.
	textBytes int
	// marks holds the newest commit of the session in each group.
	marks map[core.Group]ownMark
	// lastRefusalAt is when a statement of the session last failed.
	lastRefusalAt time.Time
	// tx is the open transaction, or nil.
	tx *transaction
	// inTransaction reports to other goroutines whether a transaction is open.
	inTransaction atomic.Bool
	// stopping makes the session end before its next statement; other goroutines set
	// it.
	stopping atomic.Bool
	// interrupted is true once stop has made the wait for a statement fail.
	interrupted atomic.Bool
	// organisation is that of the operation that runs, and operation its token.
	organisation core.Organisation
	operation    operationToken
	// keyWithdrawnAt is when a configuration without the caller's key came into force, in
	// nanoseconds since 1970; zero while the key is known. Other goroutines set it.
	keyWithdrawnAt atomic.Int64
	// relay is set if another instance serves the session.
	relay *Relay

	mu sync.Mutex
	// unanswered is true from the reading of a statement until its answer is sent. mu guards
	// it and is held while the answer is sent.
	unanswered bool
}

// ownMark is a commit of the session.
type ownMark struct {
	point core.Point
	at    time.Time
}

// serve starts a session on a connection and serves it until it ends.
func (p *Proxy) serve(conn net.Conn, start func(net.Conn) (*Caller, error)) {
	defer p.containPanic(func() { _ = conn.Close() })
	caller, err := start(conn)
	if err != nil {
		_ = conn.Close()
		return
	}
	p.serveCaller(caller)
}

// containPanic ends the session or the request of the goroutine that panicked, so that one
// message which the code cannot handle does not end all others. It must be deferred itself.
func (p *Proxy) containPanic(end func()) {
	r := recover()
	if r == nil {
		return
	}
	end()
	p.recordPanic(r, string(debug.Stack()))
}

// recordPanic counts and logs a panic that ended a session or a request.
func (p *Proxy) recordPanic(value any, stack string) {
	p.counts.sessionPanics.Inc(1)
	p.event(core.EventSessionError).WithField("stack", stack).WithError(fmt.Errorf("proxy: panic: %v", value)).Error("session ended by a fault of this program")
}

// serveCaller serves or relays a started session until it ends.
func (p *Proxy) serveCaller(caller *Caller) {
	p.callers.Add(1)
	defer p.callers.Add(-1)
	defer caller.Close() // once the session is removed, so that no stop interrupts the close
	p.awaitPlacement()
	p.minimumVersion.await(p)
	r, err := p.route(caller.Database)
	if err == nil {
		_, err = p.config.Load().identify(caller.Key, r)
	}
	if err == nil && caller.Relayed && p.drainer.isDraining() {
		err = core.NewError(core.CodeDraining, "the instance is shutting down")
	}
	if err == nil && caller.Relayed && p.isLost(r.Group) {
		err = core.NewError(core.CodeNoPrimary, "the instance does not reach group %s", r.Group).WithRetry(defaultRetryAfter)
	}
	if err == nil && !p.placement.Load().complete {
		err = core.NewError(core.CodeNoPrimary, "the endpoints are not known yet").WithRetry(defaultRetryAfter)
	}
	if err == nil && p.isCutOff() && !p.isConnected(r.Group) {
		err = core.NewError(core.CodeNoPrimary, "the instance reaches no other data centre").WithRetry(defaultRetryAfter)
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
	p.addSession(s)
	defer s.releaseTexts()
	defer p.removeSession(s)
	defer s.rollbackOpen()
	if caller.Ready() != nil {
		return
	}
	s.run()
}

// placementTimeout is how long a new session waits for the first configuration and the
// first lists of instances and endpoints; callers wait 2 s for an answer.
const placementTimeout = 1500 * time.Millisecond

// awaitPlacement waits until a process that has just started knows the endpoints.
func (p *Proxy) awaitPlacement() {
	const pollInterval = 20 * time.Millisecond
	for deadline := p.now().Add(placementTimeout); !p.placement.Load().complete && p.now().Before(deadline); {
		time.Sleep(pollInterval)
	}
}

// route returns the route of a database in the current configuration.
func (p *Proxy) route(d core.Database) (Route, error) {
	c := p.config.Load()
	if c == nil {
		return Route{}, core.NewError(core.CodeNoPrimary, "no configuration yet")
	}
	r, ok := c.Routes[d]
	if !ok {
		return Route{}, core.NewError(core.CodeUnknownDatabase, "database %.100s is not in configuration version %d", d, c.Version)
	}
	if r.Timeout == 0 {
		r.Timeout = defaultTimeout
	}
	return r, nil
}

// run answers statements until the session ends.
func (s *session) run() {
	for !s.stopping.Load() || s.tx != nil {
		var timeout time.Duration
		if s.tx != nil {
			timeout = s.proxy.config.Load().TransactionIdleTimeout
		}
		st, err := s.caller.Next(timeout)
		if err != nil {
			s.recordIdleEnd(timeout, err)
			return
		}
		s.setUnanswered()
		arrived := s.proxy.now().Add(-st.Held)
		st.Held += s.proxy.minimumVersion.await(s.proxy)
		a, ok := s.answerOrContain(st, arrived)
		s.returnToken()
		if a.Err != nil {
			s.lastRefusalAt = s.proxy.now()
		}
		s.proxy.recordStatement(s, st, a, arrived)
		if s.reply(a) != nil {
			return
		}
		if !ok || s.isBetterServedElsewhere(a.Err) {
			return
		}
	}
}

func (s *session) setUnanswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered = true
}

var errAnswered = errors.New("proxy: no statement awaits an answer")

// reply sends the answer to the statement that was read last, once.
func (s *session) reply(a Answer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unanswered {
		return errAnswered
	}
	s.unanswered = false
	return s.caller.Answer(a)
}

// giveUp answers the statement that still runs, if there is one, because the process exits,
// which also rolls back a transaction.
func (s *session) giveUp() {
	if s.relay != nil {
		s.relay.GiveUp()
		return
	}
	if s.reply(Answer{Err: core.NewError(core.CodeOutcomeUnknown, "the instance stopped before the statement ended"), State: StateIdle}) == nil {
		s.caller.Close()
	}
}

// isBetterServedElsewhere reports whether the session should end after a refused statement:
// the platform forwards a new connection, but never an open one, to an instance that
// reaches the groups.
func (s *session) isBetterServedElsewhere(refused error) bool {
	return refused != nil && s.tx == nil && !s.caller.Relayed && s.proxy.isolated.Load()
}

// answerOrContain runs one statement. If that panics, the transaction ends, the outcome of the
// statement is unknown and ok is false.
func (s *session) answerOrContain(st Statement, arrived time.Time) (a Answer, ok bool) {
	defer s.proxy.containPanic(func() {
		s.rollbackOpen()
		a = s.fail(core.NewError(core.CodeOutcomeUnknown, "a fault of the instance interrupted the statement"))
	})
	return s.answer(st, arrived), true
}

// answer runs one statement.
func (s *session) answer(st Statement, arrived time.Time) Answer {
	if s.tx != nil && s.tx.failed && st.Kind != KindCommit && st.Kind != KindRollback {
		return s.fail(core.NewError(core.CodeBadMessage, "the transaction failed; only commit or rollback can follow"))
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
			return s.fail(core.NewError(core.CodeUnknownPrepared, "no such statement is prepared"))
		}
		st.Name, st.Access, st.Shape = named.Name, named.Access, named.Shape
		return s.execute(st, st.Access, arrived)
	default:
		return s.fail(core.NewError(core.CodeBadMessage, "the text is not a statement"))
	}
}

// retryWindow is how long after a refusal the session's next statement counts as a
// retry.
const retryWindow = time.Second

// remaining returns how much of its timeout a statement has left. It is read anew for each
// step, because the steps before may have waited.
func (s *session) remaining(r Route, arrived time.Time) time.Duration {
	return r.Timeout - s.proxy.now().Sub(arrived)
}

// exchangeTimeout returns how long an endpoint may take to answer a statement that is sent
// there now.
func (s *session) exchangeTimeout(r Route, arrived time.Time) time.Duration {
	return max(s.remaining(r, arrived), busyRetryDelay)
}

// queuePriority returns the priority of the session's next request for a connection.
// The route's priority comes first. At equal priority retries come last: they are
// already late, and under overload serving them first would serve fewer callers in
// time.
func (s *session) queuePriority(r Route, arrived time.Time) int {
	priority := 2 * r.Priority
	if !s.lastRefusalAt.IsZero() && arrived.Sub(s.lastRefusalAt) < retryWindow {
		priority++
	}
	return priority
}

// execute runs a read or a write, inside or outside a transaction.
func (s *session) execute(st Statement, access Kind, arrived time.Time) Answer {
	if s.tx != nil {
		return s.executeInTransaction(st, access, arrived)
	}
	r, g, err := s.startOperation()
	if err == nil {
		err = s.charge()
	}
	if err != nil {
		return s.fail(err)
	}
	g.beginUse(s.proxy.now())
	defer func() { g.endUse(s.proxy.now()) }()
	if access == KindRead {
		return s.read(st, r, g, arrived)
	}
	return s.write(st, r, g, arrived)
}

// startOperation returns the session's route and group, and identifies its caller, under
// the configuration in force, at the start of a transaction or of a statement outside one.
func (s *session) startOperation() (Route, *group, error) {
	r, g, err := s.routeAndGroup()
	if err != nil {
		return r, g, err
	}
	s.organisation, err = s.proxy.config.Load().identify(s.caller.Key, r)
	return r, g, err
}

// routeAndGroup returns the session's route and group in the current configuration.
func (s *session) routeAndGroup() (Route, *group, error) {
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

// state returns the transaction state for answers to the caller.
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

// done answers a statement that the instance ran without an endpoint.
func (s *session) done() Answer { return Answer{State: s.state()} }

// fail answers a statement with an error. An open transaction fails with it.
func (s *session) fail(err error) Answer {
	if s.tx != nil {
		s.tx.failed = true
	}
	return Answer{Err: err, State: s.state()}
}

// raiseMark raises the mark of the session after its own commit.
func (s *session) raiseMark(g core.Group, p core.Point, at time.Time) {
	if m := s.marks[g]; m.point.Less(p) {
		s.marks[g] = ownMark{point: p, at: at}
	}
}

// rollbackOpen rolls back a transaction that the caller left open.
func (s *session) rollbackOpen() {
	if s.tx != nil {
		s.endTransaction(false)
	}
}

func (p *Proxy) addSession(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions[s] = struct{}{}
}

func (p *Proxy) removeSession(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, s)
}

// asError converts err to an error that can be sent to callers; one without a code
// becomes CodeOutcomeUnknown.
func asError(err error) *core.Error {
	var e *core.Error
	if errors.As(err, &e) {
		return e
	}
	return core.NewError(core.CodeOutcomeUnknown, "%v", err)
}
