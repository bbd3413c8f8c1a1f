package proxy

import (
	"context"
	"time"

	"anviltack/core"
	"anviltack/core/pool"
	"anviltack/core/statement"
)

// endpointConn is a pooled connection to an endpoint.
type endpointConn struct {
	endpoint *endpoint
	conn     *Conn
	// id is unique among the endpoint's connections and never zero.
	id uint64
	// organisation is the one whose statements run on the connection; empty for those of
	// the instance itself.
	organisation core.Organisation
	// values are the session values that are set on the connection, and prepared the
	// statements that are prepared there: those that the endpoint has accepted.
	values   map[string]string
	prepared statement.Names
	// valueBytes is the size of values with their names.
	valueBytes int
	// state is that after the last answer to a statement; a connection that is not idle does not
	// return to the pool.
	state State
	// database is that of the session that uses the connection, and succeeded reports
	// whether the endpoint ran its last statement.
	database  core.Database
	succeeded bool
	// upSince is a time since which the endpoint's process has run without a restart,
	// provided that it still answers on this connection.
	upSince time.Time
	// grantedAt is when the running statement was granted the connection; zero while
	// none runs.
	grantedAt time.Time
}

func newEndpointConn(e *endpoint, c *Conn, o core.Organisation, openedAt time.Time) *endpointConn {
	return &endpointConn{
		endpoint: e, conn: c, id: e.lastConnID.Add(1), organisation: o, upSince: openedAt,
		values: map[string]string{}, state: StateIdle,
	}
}

// extraSampleConnections is how many connections samples may open beyond the
// instance's connection share while statements use all of it.
const extraSampleConnections = 1

// isUnreachableLocked reports whether no connection can serve an organisation and none may
// be opened yet, nor in the place of another one.
func (e *endpoint) isUnreachableLocked(now time.Time, o core.Organisation) bool {
	return e.mix.Connected(o) == 0 && now.Before(e.reconnectAt) && !e.mix.CanReplace()
}

// dispatchLocked grants connections to waiters and opens and closes connections for them,
// as the mix decides.
func (e *endpoint) dispatchLocked(now time.Time) {
	for !e.keepsPlacesLocked(now) {
		switch step := e.mix.Next(now, !now.Before(e.reconnectAt), e.provesUptimeLocked); step.Kind {
		case pool.StepRun:
			if !e.grantNextLocked(now, step.IsUsable) {
				return
			}
		case pool.StepOpen:
			go e.connect(step.Organisation)
		case pool.StepReplace:
			e.groupControl.control.proxy.counts.connsReplaced.Inc(1)
			e.closeConnLocked(e.takeIdleLocked(step.Connection))
			go e.connect(step.Organisation)
		case pool.StepNone:
			return
		}
	}
}

// keepsPlacesLocked reports whether the places in flight that are left are kept for more
// urgent statements than the next one.
func (e *endpoint) keepsPlacesLocked(now time.Time) bool {
	if !e.inFlightLimit.IsFull() {
		return false
	}
	reserved := e.queue.Reserved(now, e.mix.MaxInFlight)
	return reserved > 0 && e.mix.MaxInFlight-e.mix.InFlight <= reserved
}

// grantNextLocked grants a connection to the first waiter of a usable organisation and
// reports whether there is one. If all its connections broke while idle, it waits on in
// its place.
func (e *endpoint) grantNextLocked(now time.Time, usable func(core.Organisation) bool) bool {
	w, ok := e.queue.First(now, usable)
	if !ok {
		return false
	}
	c := e.takeNewestLocked(w.Organisation)
	if c == nil {
		return true
	}
	e.queue.Pop(now, func(o core.Organisation) bool { return o == w.Organisation })
	e.mix.Run(now, w.Organisation)
	c.grantedAt = now
	e.resolveLocked(w, grant{conn: c})
	return true
}

// takeNewestLocked removes the organisation's most recently used idle connection that is
// still open from the pool, or returns nil.
func (e *endpoint) takeNewestLocked(o core.Organisation) *endpointConn {
	for id, ok := e.mix.Newest(o); ok; id, ok = e.mix.Newest(o) {
		c := e.takeIdleLocked(id)
		if c.conn.IsOpen() {
			return c
		}
		e.closeConnLocked(c)
	}
	return nil
}

// takeIdleLocked removes an idle connection from the pool.
func (e *endpoint) takeIdleLocked(id uint64) *endpointConn {
	c := e.idle[id]
	delete(e.idle, id)
	e.mix.Take(id)
	e.groupControl.control.proxy.idleValueBytes.Add(-int64(c.valueBytes))
	return c
}

// connect opens a connection for an organisation and adds it to the pool.
func (e *endpoint) connect(o core.Organisation) {
	p := e.groupControl.control.proxy
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	overdue := e.watchOverdue(p.now())
	c, err := p.dialOrContain(ctx, e.info, o)
	overdue.Stop()
	now := p.now()
	p.counts.connections.Inc(1)
	switch {
	case isUnsent(err):
		p.recordRefusedConnection(e, err)
	case err != nil:
		e.recordFailure(now, now, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		e.mix.Opened(o)
		e.noteResponseLocked(now)
		e.addIdleLocked(now, newEndpointConn(e, c, o, now))
		return
	}
	e.mix.OpeningFailed(o)
	if isUnsent(err) {
		e.rejectUnwritableLocked(now, o)
		return
	}
	e.reconnectAt = now.Add(reconnectDelay)
	e.recordFullLocked(now, err)
	e.rejectWaitersLocked(func(waiting core.Organisation) bool { return !e.mix.CanServe(waiting) && !e.mix.CanReplace() }, core.NewError(core.CodeNoConnection, "could not connect to %s", e.info.Name).WithRetry(e.reconnectAt.Sub(now)))
	e.dispatchLocked(now)
}

// rejectUnwritableLocked rejects the waiters of an organisation for which no connection to the
// endpoint can be requested. Nothing was sent, so that this delays no other organisation.
func (e *endpoint) rejectUnwritableLocked(now time.Time, o core.Organisation) {
	e.rejectWaitersLocked(func(waiting core.Organisation) bool { return waiting == o }, core.NewError(core.CodeNoConnection, "no connection to %s can be requested: its name, its group or the organisation is not a word", e.info.Name))
	e.dispatchLocked(now)
}

// addIdleLocked adds a connection to the pool, or closes it if there are too many.
func (e *endpoint) addIdleLocked(now time.Time, c *endpointConn) {
	if e.closed || e.mix.Open > e.mix.MaxOpen+extraSampleConnections {
		e.closeConnLocked(c)
		return
	}
	e.idle[c.id] = c
	e.groupControl.control.proxy.idleValueBytes.Add(int64(c.valueBytes))
	e.mix.AddIdle(now, c.id, c.organisation)
	e.dispatchLocked(now)
	e.closeUnusedLocked(now)
	if c.organisation != "" && e.sampling == 0 {
		e.closeExcessLocked(now)
	}
}

// closeExcessLocked closes idle connections beyond the instance's share.
func (e *endpoint) closeExcessLocked(now time.Time) {
	for id, ok := e.mix.LeastNeeded(now, e.provesUptimeLocked); ok; id, ok = e.mix.LeastNeeded(now, e.provesUptimeLocked) {
		e.closeConnLocked(e.takeIdleLocked(id))
	}
}

// largeValueBytes is the size in bytes above which the session values of idle connections are
// limited like those of all sessions, which no longer count them.
const largeValueBytes = 256 << 10

// keepsValues reports whether the connection may be idle with its session values.
func (c *endpointConn) keepsValues() bool {
	p := c.endpoint.groupControl.control.proxy
	limit := p.settings.MaxTextBytes
	return c.valueBytes <= largeValueBytes || limit == 0 || p.idleValueBytes.Load()+int64(c.valueBytes) <= limit
}

// release returns the connection to the pool, or closes it if it is not usable.
func (c *endpointConn) release(usable bool) {
	e := c.endpoint
	now := e.groupControl.control.proxy.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endStatementLocked(now, c)
	if usable && c.state == StateIdle && c.keepsValues() {
		e.addIdleLocked(now, c)
		return
	}
	e.closeConnLocked(c)
	e.dispatchLocked(now)
}

// endStatement records that a statement ended on a connection that its transaction
// keeps.
func (c *endpointConn) endStatement() {
	e := c.endpoint
	now := e.groupControl.control.proxy.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endStatementLocked(now, c)
	e.dispatchLocked(now)
}

func (e *endpoint) endStatementLocked(now time.Time, c *endpointConn) {
	if c.grantedAt.IsZero() {
		return
	}
	e.mix.End()
	took := now.Sub(c.grantedAt)
	e.queue.ObserveServiceTime(took)
	if c.succeeded {
		e.inFlightLimit.Observe(c.database, took, e.queue.Len() > 0)
		e.mix.SetMaxInFlight(e.inFlightLimit.Limit())
	}
	c.grantedAt, c.succeeded = time.Time{}, false
}

// beginStatement records that a statement starts on a connection that its transaction
// keeps. It does not wait for the limit of statements, because others wait for the
// transaction to end.
func (c *endpointConn) beginStatement() {
	e := c.endpoint
	now := e.groupControl.control.proxy.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.grantedAt.IsZero() {
		e.mix.Begin()
		c.grantedAt = now
	}
}

// closeUnusedLocked closes connections that have been idle for too long.
func (e *endpoint) closeUnusedLocked(now time.Time) {
	for id, ok := e.mix.Unused(now, e.provesUptimeLocked); ok; id, ok = e.mix.Unused(now, e.provesUptimeLocked) {
		e.closeConnLocked(e.takeIdleLocked(id))
	}
}

func (e *endpoint) closeIdleLocked() {
	for id := range e.idle {
		e.closeConnLocked(e.takeIdleLocked(id))
	}
}

// closeConnLocked closes a connection that is not in the pool.
func (e *endpoint) closeConnLocked(c *endpointConn) {
	e.mix.Closed(c.organisation)
	go c.conn.Close()
}

// setup returns the statements that set the session's values on the connection and
// prepare the statement to be executed, if it is not prepared there yet.
func (c *endpointConn) setup(s *session, st *Statement) []Statement {
	var statements []Statement
	values, prepared := c.values, &c.prepared
	if !c.hasNoOtherValues(s.values) {
		statements = append(statements, Statement{Kind: KindReset})
		values, prepared = nil, &statement.Names{}
	}
	for name, value := range s.values {
		if values[name] != value {
			statements = append(statements, Statement{Kind: KindSet, Name: name, Value: value})
		}
	}
	if st.Kind == KindExecute && !prepared.Has(st.Name) {
		for _, name := range prepared.Excess(len(st.Shape)) {
			statements = append(statements, Statement{Kind: KindDeallocate, Name: name})
		}
		statements = append(statements, Statement{Kind: KindPrepare, Name: st.Name, Access: st.Access, Shape: st.Shape})
	}
	return statements
}

// acceptSetup records what the endpoint accepted of the statements that setup returned, and
// returns an error if it did not accept all.
func (c *endpointConn) acceptSetup(setup []Statement, answers []Answer) error {
	for i, st := range setup {
		if err := answers[i].Err; err != nil {
			c.recordSetupFailure(err)
			return errSetup
		}
		switch st.Kind {
		case KindReset:
			c.values, c.valueBytes = map[string]string{}, 0
			c.prepared.Clear()
		case KindSet:
			c.valueBytes -= len(c.values[st.Name])
			if _, ok := c.values[st.Name]; !ok {
				c.valueBytes += len(st.Name)
			}
			c.values[st.Name] = st.Value
			c.valueBytes += len(st.Value)
		case KindDeallocate:
			c.prepared.Remove(st.Name)
		case KindPrepare:
			c.prepared.Add(st.Name, len(st.Shape))
		}
	}
	return nil
}

// hasNoOtherValues reports whether every name that is set on the connection is also
// set in the session.
func (c *endpointConn) hasNoOtherValues(values map[string]string) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return false
		}
	}
	return true
}
