package proxy

import (
	"math/rand/v2"
	"time"

	"anviltack/core"
	"anviltack/core/pool"
	"anviltack/core/queue"
)

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

// resolveLocked answers a waiter that is no longer queued.
func (e *endpoint) resolveLocked(w queue.Waiter, g grant) {
	e.mix.StopWaiting(w.ID)
	e.waiters[w.ID] <- g
	delete(e.waiters, w.ID)
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
