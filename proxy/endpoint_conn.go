package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	"anviltack/core"
	"anviltack/core/pool"
	"anviltack/core/queue"
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
	// values are the session values that are set on the connection.
	values map[string]string
	// prepared holds the names that are prepared on the connection.
	prepared map[string]bool
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
		values: map[string]string{}, prepared: map[string]bool{},
	}
}

// recordUptime records an answer to a request sent at sentAt and returns the time
// since which the endpoint's process has been running. If other connections got
// answers shortly before this one was opened, the process that it reaches is the one
// that they reach.
func (c *endpointConn) recordUptime(sentAt time.Time) time.Time {
	e := c.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.upSince.Before(c.upSince) && c.upSince.Sub(e.lastUpAt) < minRestartTime {
		c.upSince = e.upSince
	}
	switch {
	case c.upSince.Equal(e.upSince):
		e.lastUpAt = later(e.lastUpAt, sentAt)
	case c.upSince.Before(e.upSince), sentAt.Sub(e.lastUpAt) > uptimeStaleAfter:
		e.upSince, e.lastUpAt = c.upSince, sentAt
	}
	return c.upSince
}

// minRestartTime is a lower bound on the time from the end of an endpoint's process
// until another serves under its name: the new process has to read its log first.
const minRestartTime = 100 * time.Millisecond

// uptimeStaleAfter is how long the connections that prove the longest uptime may go
// without an answer before younger connections replace them: a few samples.
const uptimeStaleAfter = 3 * time.Second

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// extraSampleConnections is how many connections samples may open beyond the
// instance's connection share while statements use all of it.
const extraSampleConnections = 1

// connectionRequest is a statement's request for a connection.
type connectionRequest struct {
	// organisation is that of the statement's caller; empty for none.
	organisation core.Organisation
	// weight is the share of the organisation in relation to others; zero stands for one.
	weight   float64
	database core.Database
	priority int
	deadline time.Time
	// maxWait is how long the request may wait.
	maxWait time.Duration
	// target is that of the statement's route; shortestTarget is the shortest of the
	// group's routes.
	target         time.Duration
	shortestTarget time.Duration
}

// connectionRequest returns the connection request of a statement from its arrival time
// and the time remaining until its timeout.
func (s *session) connectionRequest(e *endpoint, r Route, arrived time.Time, remaining time.Duration) connectionRequest {
	return connectionRequest{
		organisation: s.organisation, weight: s.proxy.config.Load().weights[s.organisation], database: s.caller.Database,
		priority: s.queuePriority(r, arrived), deadline: arrived.Add(r.TargetTime), maxWait: e.maxWait(arrived, remaining, r),
		target: r.TargetTime, shortestTarget: r.shortestTarget,
	}
}

// maxWait returns how long a statement may wait for a connection and still be answered
// within its target. Longer waits would only reduce the number of statements served in
// time.
func (e *endpoint) maxWait(arrived time.Time, remaining time.Duration, r Route) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	elapsed := e.groupControl.control.proxy.now().Sub(arrived)
	return max(0, min(remaining, r.TargetTime-elapsed)-e.queue.ServiceTime())
}

// acquire waits until a connection is free and the endpoint may run another statement.
// Its error is always a *core.Error, and then nothing was sent.
func (e *endpoint) acquire(request connectionRequest) (*endpointConn, error) {
	now := e.groupControl.control.proxy.now()
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return nil, core.NewError(core.CodeNoConnection, "endpoint %s was removed", e.info.Name)
	}
	if e.isUnreachableLocked(now, request.organisation) {
		retryAfter := e.reconnectAt.Sub(now)
		e.mu.Unlock()
		return nil, core.NewError(core.CodeNoConnection, "endpoint %s is unreachable", e.info.Name).WithRetry(retryAfter)
	}
	e.lastWaiterID++
	w := queue.Waiter{ID: e.lastWaiterID, Organisation: request.organisation, Weight: request.weight, Priority: request.priority, Deadline: request.deadline, MaxWait: request.maxWait}
	if err := e.queueLocked(now, w, request); err != nil {
		e.mu.Unlock()
		return nil, err
	}
	granted := make(chan grant, 1)
	e.waiters[w.ID] = granted
	e.mix.Wait(pool.Waiting{ID: w.ID, Organisation: w.Organisation, Priority: w.Priority, Deadline: w.Deadline})
	e.dispatchLocked(now)
	e.rejectHopelessLocked(now)
	e.mu.Unlock()
	c, err := e.awaitGrant(w, granted)
	if err == nil {
		c.database = request.database
	}
	return c, err
}

// queueLocked adds a statement to the queue, or returns why it is refused.
func (e *endpoint) queueLocked(now time.Time, w queue.Waiter, request connectionRequest) error {
	e.queue.Arrive(now, w)
	if rand.Float64() < e.queue.ShedProbabilityOf(now, w, now.Sub(e.answeredAt), request.target, request.shortestTarget) {
		retryAfter := e.queue.ServiceTime()
		return e.refusalLocked(now, w, retryAfter, "%s is overloaded: statements take %v there", retryAfter)
	}
	free := 0
	if w.Organisation != "" {
		free = e.mix.Free(w.Organisation)
	}
	if !e.queue.AddBeside(now, w, e.mix.MaxInFlight, free) {
		wait := e.queue.ExpectedWait(now, w, e.mix.MaxInFlight)
		return e.refusalLocked(now, w, wait, "the queue for %s is %v long", wait)
	}
	return nil
}

// refusalLocked returns the error of a statement that is not queued, or no longer; its text
// names the endpoint and a time.
func (e *endpoint) refusalLocked(now time.Time, w queue.Waiter, retryAfter time.Duration, format string, d time.Duration) error {
	code := e.queue.RefusalCode(now, w, e.mix.MaxInFlight)
	return core.NewError(code, format, e.info.Name, d.Round(time.Millisecond)).WithRetry(retryAfter)
}

// awaitGrant waits for a connection, at most for the waiter's MaxWait.
func (e *endpoint) awaitGrant(w queue.Waiter, granted chan grant) (*endpointConn, error) {
	timer := time.NewTimer(w.MaxWait)
	defer timer.Stop()
	select {
	case g := <-granted:
		return g.conn, g.err
	case <-timer.C:
	}
	e.mu.Lock()
	waited := e.queue.Remove(w.ID)
	e.mix.StopWaiting(w.ID)
	delete(e.waiters, w.ID)
	err := e.refusalLocked(e.groupControl.control.proxy.now(), w, w.MaxWait, "no connection to %s came free in %v", w.MaxWait)
	e.mu.Unlock()
	if !waited {
		g := <-granted
		return g.conn, g.err
	}
	return nil, err
}

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

// resolveLocked answers a waiter that is no longer queued.
func (e *endpoint) resolveLocked(w queue.Waiter, g grant) {
	e.mix.StopWaiting(w.ID)
	e.waiters[w.ID] <- g
	delete(e.waiters, w.ID)
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
	if err != nil {
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
	e.reconnectAt = now.Add(reconnectDelay)
	e.recordFullLocked(now, err)
	e.rejectWaitersLocked(func(waiting core.Organisation) bool { return !e.mix.CanServe(waiting) && !e.mix.CanReplace() }, core.NewError(core.CodeNoConnection, "could not connect to %s", e.info.Name).WithRetry(e.reconnectAt.Sub(now)))
	e.dispatchLocked(now)
}

// rejectHopelessLocked rejects the waiters that an overloaded queue will not serve in time.
func (e *endpoint) rejectHopelessLocked(now time.Time) {
	for {
		w, ok := e.queue.DropHopeless(now, e.mix.MaxInFlight)
		if !ok {
			return
		}
		wait := e.queue.DrainTime(e.mix.MaxInFlight)
		e.resolveLocked(w, grant{err: e.refusalLocked(now, w, wait, "%s is overloaded: the queue takes %v", wait)})
	}
}

// rejectWaitersLocked rejects the waiters of the organisations for which rejected is true,
// of all if it is nil.
func (e *endpoint) rejectWaitersLocked(rejected func(core.Organisation) bool, err error) {
	for {
		w, ok := e.queue.Pop(e.groupControl.control.proxy.now(), rejected)
		if !ok {
			return
		}
		e.resolveLocked(w, grant{err: err})
	}
}

// addIdleLocked adds a connection to the pool, or closes it if there are too many.
func (e *endpoint) addIdleLocked(now time.Time, c *endpointConn) {
	if e.closed || e.mix.Open > e.mix.MaxOpen+extraSampleConnections {
		e.closeConnLocked(c)
		return
	}
	e.idle[c.id] = c
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

// release returns the connection to the pool, or closes it if it is not usable.
func (c *endpointConn) release(usable bool) {
	e := c.endpoint
	now := e.groupControl.control.proxy.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endStatementLocked(now, c)
	if usable {
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

// provesUptimeLocked reports whether answers on this idle connection prove the longest
// known uptime of the endpoint's process.
func (e *endpoint) provesUptimeLocked(id uint64) bool { return e.idle[id].upSince.Equal(e.upSince) }

// takeUptimeProofLocked removes an idle connection that proves the endpoint's uptime from
// the pool, any other if none does, or returns nil.
func (e *endpoint) takeUptimeProofLocked(now time.Time) *endpointConn {
	isOpen := func(id uint64) bool { return e.idle[id].conn.IsOpen() }
	id, ok := e.mix.ForControl(now, func(id uint64) bool { return e.provesUptimeLocked(id) && isOpen(id) })
	if !ok {
		id, ok = e.mix.ForControl(now, isOpen)
	}
	if !ok {
		e.closeIdleLocked()
		return nil
	}
	return e.takeIdleLocked(id)
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
	if !c.hasNoOtherValues(s.values) {
		statements = append(statements, Statement{Kind: KindReset})
		c.values = map[string]string{}
		c.prepared = map[string]bool{}
	}
	for name, value := range s.values {
		if c.values[name] != value {
			statements = append(statements, Statement{Kind: KindSet, Name: name, Value: value})
			c.values[name] = value
		}
	}
	if st.Kind == KindExecute && !c.prepared[st.Name] {
		statements = append(statements, Statement{Kind: KindPrepare, Name: st.Name, Access: st.Access, Shape: st.Shape})
		c.prepared[st.Name] = true
	}
	return statements
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
