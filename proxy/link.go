package proxy

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"anviltack/core"
	"anviltack/core/queue"
)

// link is one connection to an endpoint that statements use.
type link struct {
	endpoint *endpoint
	conn     *Conn
	// values are the session values that are set on the connection.
	values map[string]string
	// prepared holds the names that are prepared on the connection.
	prepared map[string]bool
	// usedAt is when the connection was given back last.
	usedAt time.Time
	// runsSince is a time since which the endpoint's process has run without a
	// break, if it still answers here.
	runsSince time.Time
	// grantedAt is when the statement that runs on the connection was let through;
	// zero while none runs.
	grantedAt time.Time
}

func newLink(e *endpoint, c *Conn, openedAt time.Time) *link {
	return &link{endpoint: e, conn: c, runsSince: openedAt, values: map[string]string{}, prepared: map[string]bool{}}
}

// lived takes an answer on the connection to something sent at sentAt and returns
// since when the endpoint's process has run: it is the one that other connections
// showed to run when this one was opened.
func (l *link) lived(sentAt time.Time) time.Time {
	e := l.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runsSince.Before(l.runsSince) && l.runsSince.Sub(e.ranAt) < restartFloor {
		l.runsSince = e.runsSince
	}
	switch {
	case l.runsSince.Equal(e.runsSince):
		e.ranAt = latest(e.ranAt, sentAt)
	case l.runsSince.Before(e.runsSince), sentAt.Sub(e.ranAt) > steadyFor:
		e.runsSince, e.ranAt = l.runsSince, sentAt
	}
	return l.runsSince
}

// restartFloor is less than any endpoint's process takes to end and another to serve
// under its name: a new one has to read its log first.
const restartFloor = 100 * time.Millisecond

// steadyFor is how long the connections that show an endpoint to have run the longest
// may go without an answer before younger ones count: a few reports.
const steadyFor = 3 * time.Second

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// reportConnections is how many connections reports may open beyond the
// instance's part while statements hold all of it.
const reportConnections = 1

// claim is a wish for a connection.
type claim struct {
	priority int
	due      time.Time
	// limit is how long the claim may wait.
	limit time.Duration
	// target is that of the statement's route, and shortest the shortest of the
	// group's routes.
	target   time.Duration
	shortest time.Duration
}

// claim returns the wish of a statement that arrived at a time and has left until
// its time is over.
func (s *session) claim(e *endpoint, r Route, arrived time.Time, left time.Duration) claim {
	return claim{
		priority: s.urgency(r, arrived), due: arrived.Add(r.TargetTime), limit: e.patience(arrived, left, r),
		target: r.TargetTime, shortest: r.shortestTarget,
	}
}

// patience is how long a statement may wait for a connection and still be answered
// within its target; beyond it only less would be served in time.
func (e *endpoint) patience(arrived time.Time, left time.Duration, r Route) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	elapsed := e.group.control.proxy.now().Sub(arrived)
	return max(0, min(left, r.TargetTime-elapsed)-e.queue.ServiceTime())
}

// acquire returns a connection once one is free and the endpoint is to get another
// statement. An error is a *core.Error: nothing was sent.
func (e *endpoint) acquire(c claim) (*link, error) {
	now := e.group.control.proxy.now()
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return nil, core.NewError(core.CodeNoConnection, "%s is gone", e.info.Name)
	}
	if e.open == e.opening && now.Before(e.reopenAt) {
		retry := e.reopenAt.Sub(now)
		e.mu.Unlock()
		return nil, core.NewError(core.CodeNoConnection, "%s cannot be reached", e.info.Name).WithRetry(retry)
	}
	if rand.Float64() < e.queue.ShedProbability(now.Sub(e.answeredAt), c.target, c.shortest) {
		retry := e.queue.ServiceTime()
		e.mu.Unlock()
		return nil, core.NewError(core.CodeOverloaded, "%s is overloaded: statements take %v there", e.info.Name, retry.Round(time.Millisecond)).WithRetry(retry)
	}
	e.lastID++
	w := queue.Waiter{ID: e.lastID, Priority: c.priority, Deadline: c.due, MaxWait: c.limit}
	if !e.queue.Add(w, e.most) {
		wait := e.queue.ExpectedWait(w, e.most)
		e.mu.Unlock()
		return nil, core.NewError(core.CodeOverloaded, "the queue for %s is %v long", e.info.Name, wait.Round(time.Millisecond)).WithRetry(wait)
	}
	granted := make(chan grant, 1)
	e.waiters[w.ID] = granted
	e.serveLocked(now)
	e.mu.Unlock()
	return e.await(w, granted)
}

// await waits for a connection up to the waiter's limit.
func (e *endpoint) await(w queue.Waiter, granted chan grant) (*link, error) {
	timer := time.NewTimer(w.MaxWait)
	defer timer.Stop()
	select {
	case g := <-granted:
		return g.link, g.err
	case <-timer.C:
	}
	e.mu.Lock()
	waited := e.queue.Remove(w.ID)
	delete(e.waiters, w.ID)
	e.mu.Unlock()
	if !waited {
		g := <-granted
		return g.link, g.err
	}
	return nil, core.NewError(core.CodeOverloaded, "no connection to %s came free in %v", e.info.Name, w.MaxWait.Round(time.Millisecond)).WithRetry(w.MaxWait)
}

// serveLocked gives connections to those that wait, as far as the endpoint is to
// get more statements, and opens connections where none is idle.
func (e *endpoint) serveLocked(now time.Time) {
	for e.queue.Len() > 0 && e.active < e.most {
		l := e.idleLocked()
		if l == nil {
			break
		}
		w, _ := e.queue.Pop()
		l.grantedAt = now
		e.active++
		e.waiters[w.ID] <- grant{link: l}
		delete(e.waiters, w.ID)
	}
	for e.queue.Len() > e.opening && e.active+e.opening < e.most && e.open < e.limit && !now.Before(e.reopenAt) {
		e.open++
		e.opening++
		go e.connect()
	}
}

// idleLocked takes an idle connection that is still open, or returns nil.
func (e *endpoint) idleLocked() *link {
	for len(e.idle) > 0 {
		l := e.popLocked()
		if l.conn.IsOpen() {
			return l
		}
		e.dropLocked(l)
	}
	return nil
}

// connect opens one connection and hands it on.
func (e *endpoint) connect() {
	p := e.group.control.proxy
	ctx, cancel := context.WithTimeout(context.Background(), connectLimit)
	defer cancel()
	c, err := p.dependencies.Endpoints.Dial(ctx, e.info)
	now := p.now()
	p.counts.connections.Inc(1)
	if err != nil {
		e.failed(now, now, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opening--
	if err == nil {
		e.keepLocked(now, newLink(e, c, now))
		return
	}
	e.open--
	e.reopenAt = now.Add(reopenPause)
	e.noteFullLocked(now, err)
	if e.open == 0 {
		e.refuseLocked(core.NewError(core.CodeNoConnection, "could not connect to %s", e.info.Name).WithRetry(reopenPause))
	}
}

// refuseLocked refuses all that wait.
func (e *endpoint) refuseLocked(err error) {
	for {
		w, ok := e.queue.Pop()
		if !ok {
			return
		}
		e.waiters[w.ID] <- grant{err: err}
		delete(e.waiters, w.ID)
	}
}

// keepLocked takes a connection that is not used any more.
func (e *endpoint) keepLocked(now time.Time, l *link) {
	if e.closed || e.open > e.limit+reportConnections {
		e.dropLocked(l)
		return
	}
	l.usedAt = now
	e.idle = append(e.idle, l)
	e.serveLocked(now)
	e.trimLocked(now)
}

// release gives a connection back; one that is no longer usable is closed.
func (l *link) release(usable bool) {
	e := l.endpoint
	now := e.group.control.proxy.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pauseLocked(now, l)
	if usable {
		e.keepLocked(now, l)
		return
	}
	e.dropLocked(l)
	e.serveLocked(now)
}

// pause notes that the statement on a connection that is kept has ended.
func (l *link) pause() {
	e := l.endpoint
	now := e.group.control.proxy.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pauseLocked(now, l)
	e.serveLocked(now)
}

func (e *endpoint) pauseLocked(now time.Time, l *link) {
	if l.grantedAt.IsZero() {
		return
	}
	e.active--
	e.queue.ObserveServiceTime(now.Sub(l.grantedAt))
	l.grantedAt = time.Time{}
}

// resume notes that a statement begins on a connection that was kept. It does not
// wait: others wait for its transaction to end.
func (l *link) resume() {
	e := l.endpoint
	now := e.group.control.proxy.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.grantedAt.IsZero() {
		e.active++
		l.grantedAt = now
	}
}

// idleFor is how long a connection beyond the last one stays open without use. The
// fewer are open, the more room is left when an instance loses power: its
// connections are only dropped after 3 s.
const idleFor = 1500 * time.Millisecond

// trimLocked closes connections that have not been used for long. The longest
// unused comes first in idle. In place of the only one that shows how long the
// endpoint has run the next is closed.
func (e *endpoint) trimLocked(now time.Time) {
	for len(e.idle) > 1 && now.Sub(e.idle[0].usedAt) >= idleFor {
		l := e.idle[0]
		e.idle = e.idle[1:]
		if e.showsLifeLocked(l) && !slices.ContainsFunc(e.idle, e.showsLifeLocked) {
			l.usedAt = now
			e.idle = append(e.idle, l)
			l, e.idle = e.idle[0], e.idle[1:]
		}
		e.dropLocked(l)
	}
}

// showsLifeLocked reports whether the endpoint is known to have run the longest by
// answers on this connection.
func (e *endpoint) showsLifeLocked(l *link) bool { return l.runsSince.Equal(e.runsSince) }

// steadyLocked takes the idle connection used last of those that show how long the
// endpoint has run, or of all where none does.
func (e *endpoint) steadyLocked() *link {
	for i, l := range slices.Backward(e.idle) {
		if e.showsLifeLocked(l) && l.conn.IsOpen() {
			e.idle = slices.Delete(e.idle, i, i+1)
			return l
		}
	}
	return e.idleLocked()
}

// popLocked takes the idle connection that was used last.
func (e *endpoint) popLocked() *link {
	l := e.idle[len(e.idle)-1]
	e.idle = e.idle[:len(e.idle)-1]
	return l
}

// dropIdleLocked closes all idle connections.
func (e *endpoint) dropIdleLocked() {
	for len(e.idle) > 0 {
		e.dropLocked(e.popLocked())
	}
}

// dropLocked closes a connection.
func (e *endpoint) dropLocked(l *link) {
	e.open--
	go l.conn.Close()
}

// setup returns the statements that bring the connection to the session's values
// and make a prepared statement known on it.
func (l *link) setup(s *session, st *Statement) []Statement {
	var statements []Statement
	if !l.isWithin(s.values) {
		statements = append(statements, Statement{Kind: KindReset})
		l.values = map[string]string{}
		l.prepared = map[string]bool{}
	}
	for name, value := range s.values {
		if l.values[name] != value {
			statements = append(statements, Statement{Kind: KindSet, Name: name, Value: value})
			l.values[name] = value
		}
	}
	if st.Kind == KindExecute && !l.prepared[st.Name] {
		statements = append(statements, Statement{Kind: KindPrepare, Name: st.Name, Access: st.Access, Shape: st.Shape})
		l.prepared[st.Name] = true
	}
	return statements
}

// isWithin reports whether every value on the connection has a counterpart in
// the session.
func (l *link) isWithin(values map[string]string) bool {
	for name := range l.values {
		if _, ok := values[name]; !ok {
			return false
		}
	}
	return true
}
