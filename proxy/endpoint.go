package proxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"anviltack/core"
	failover "anviltack/core/group"
	"anviltack/core/place"
	"anviltack/core/pool"
	"anviltack/core/queue"
	"anviltack/core/reach"
)

const (
	// connectTimeout bounds the opening of a connection: a handshake of some 10 ms and
	// the wait for a slot.
	connectTimeout = 700 * time.Millisecond
	// reconnectDelay is the delay between attempts to connect to an endpoint that
	// fails.
	reconnectDelay = 150 * time.Millisecond
	// minFullBackoff is the shortest delay between attempts to connect to an endpoint
	// that accepts no more connections.
	minFullBackoff = 300 * time.Millisecond
	// laggingBackoff is how long a replica that rejected a read because it lags gets
	// no read that requires more than it is known to have applied.
	laggingBackoff = 80 * time.Millisecond
	// observedLagTTL is how long the lag that a rejected read revealed stays valid: a
	// few times the delay between attempts.
	observedLagTTL = 4 * laggingBackoff
	// trafficOutcomePeriod is the minimum interval between reports to the group's
	// control that an endpoint answers statements.
	trafficOutcomePeriod = 100 * time.Millisecond
	// suspectDuration is how long an endpoint that left a statement unanswered gets no
	// reads.
	suspectDuration = 400 * time.Millisecond
)

// endpoint is an endpoint of a group with this instance's connections to it.
type endpoint struct {
	info         Endpoint
	groupControl *groupControl
	leaving      atomic.Bool
	// sampleFailing reports whether the last sample failed. Only the control goroutine
	// uses it.
	sampleFailing bool

	mu sync.Mutex
	// mix divides the connections among organisations; idle holds the idle ones by their id.
	mix *pool.Mix
	// inFlightLimit is the source of the mix's MaxInFlight.
	inFlightLimit place.InFlight
	idle          map[uint64]*endpointConn
	lastConnID    atomic.Uint64
	queue         queue.Queue
	waiters       map[uint64]chan grant
	lastWaiterID  uint64
	closed        bool
	// reconnectAt is the earliest time at which a connection may be opened again.
	reconnectAt time.Time
	// fullUntil is the time until which no connection is requested because the
	// endpoint accepted no more.
	fullUntil time.Time
	// suspectUntil is the time until which no read is sent to the endpoint.
	suspectUntil time.Time
	// visible is the newest point that reads at the endpoint are known to cover.
	visible core.Point
	// lag and running are the replication lag and the number of running statements
	// that the endpoint last reported.
	lag     time.Duration
	running int
	// sampling counts the control requests that have or open a connection.
	sampling int
	// laggingUntil is the time until which the endpoint gets no read that requires more
	// than visible.
	laggingUntil time.Time
	// observedLag is the lag that a rejected read revealed; it is valid until
	// observedLagUntil.
	observedLag       time.Duration
	observedLagUntil  time.Time
	outcomeReportedAt time.Time
	// upSince and lastUpAt bound a period throughout which the same process of the
	// endpoint is known to have run.
	upSince  time.Time
	lastUpAt time.Time
	// answeredAt is when the endpoint last answered a statement, and respondedAt when it
	// last responded to anything.
	answeredAt  time.Time
	respondedAt time.Time
	// unansweredSince is when the oldest overdue request was sent; zero if the endpoint
	// has responded since.
	unansweredSince time.Time
}

// grant is the result that a waiter receives: a connection or an error.
type grant struct {
	conn *endpointConn
	err  error
}

func newEndpoint(g *groupControl, info Endpoint) *endpoint {
	return &endpoint{info: info, groupControl: g, waiters: make(map[uint64]chan grant), mix: pool.NewMix(), idle: make(map[uint64]*endpointConn)}
}

// setShare limits the connections to this instance's share, and the statements to that of
// one of the home instances.
func (e *endpoint) setShare(connections, homes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.groupControl.control.proxy.now()
	e.inFlightLimit.SetShare(e.info.Slots, homes)
	e.mix.SetLimits(now, connections, e.inFlightLimit.Limit())
	e.closeExcessLocked(now)
}

// candidate describes the endpoint to the routing of an organisation's reads.
func (e *endpoint) candidate(now time.Time, primary bool, dataCentre string, o core.Organisation) place.Candidate {
	e.mu.Lock()
	defer e.mu.Unlock()
	lag := e.lag
	if now.Before(e.observedLagUntil) {
		lag = max(lag, e.observedLag)
	}
	return place.Candidate{
		Endpoint: e.info.Name, Primary: primary, Local: string(e.info.DataCentre) == dataCentre,
		Visible: e.visible, Lag: lag, LaggingUntil: e.laggingUntil,
		Load: e.mix.InFlight + e.queue.Len(), Running: e.running, ConnectionShare: e.mix.MaxOpen, Slots: e.info.Slots,
		Down:    e.closed || now.Before(e.suspectUntil) || !e.unansweredSince.IsZero() || e.isUnreachableLocked(now, o),
		Leaving: e.leaving.Load(),
	}
}

// recordSample records a successful sample.
func (e *endpoint) recordSample(now time.Time, r Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lag, e.running = r.Lag, r.Busy
	e.raiseVisibleLocked(r.Last.Term, core.Point{Term: r.Last.Term, Position: r.Applied})
	if now.After(e.suspectUntil) {
		e.suspectUntil = time.Time{}
	}
}

// overdueAfter is how long a request may take, while the endpoint responds to nothing
// else, before it counts as a timeout and the endpoint is sampled.
const overdueAfter = reach.MinSilence

// watchOverdue starts a timer that reports a timeout if the endpoint has not responded to
// anything since sentAt. It must be stopped when the request ends.
func (e *endpoint) watchOverdue(sentAt time.Time) *time.Timer {
	return time.AfterFunc(overdueAfter, func() {
		e.mu.Lock()
		unanswered := e.respondedAt.Before(sentAt)
		if unanswered && e.unansweredSince.IsZero() {
			e.unansweredSince = sentAt
		}
		e.mu.Unlock()
		if unanswered {
			e.groupControl.postOverdue(e, sentAt)
		}
	})
}

// abandonAfter is how long a read waits for an endpoint that responds to nothing, not even to
// the sample that the overdue read caused, before another endpoint is tried.
const abandonAfter = overdueAfter + 60*time.Millisecond

// abandonUnanswered starts a timer that closes a read's connection if the endpoint has not
// responded to anything since sentAt. It must be stopped when the read ends.
func (e *endpoint) abandonUnanswered(c *Conn, sentAt time.Time) *time.Timer {
	return time.AfterFunc(abandonAfter, func() {
		e.mu.Lock()
		unanswered := e.respondedAt.Before(sentAt)
		e.mu.Unlock()
		if unanswered {
			c.Close()
		}
	})
}

// noteResponse records that the endpoint responded to a request.
func (e *endpoint) noteResponse(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteResponseLocked(now)
}

func (e *endpoint) noteResponseLocked(now time.Time) {
	e.respondedAt = now
	e.unansweredSince = time.Time{}
}

// responses describes the endpoint's responses to the detection of partitions.
func (e *endpoint) responses() reach.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return reach.Endpoint{DataCentre: e.info.DataCentre, AnsweredAt: e.respondedAt, UnansweredSince: e.unansweredSince}
}

// recordAnswer records the answer to a statement that required a point which the group
// had reached at reachedAt; zero if it required none.
func (e *endpoint) recordAnswer(now, reachedAt time.Time, a Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answeredAt = now
	e.noteResponseLocked(now)
	e.raiseVisibleLocked(a.Point.Term, a.Point)
	if a.Err == nil && !reachedAt.IsZero() && now.Sub(reachedAt) <= e.observedLag {
		e.observedLagUntil = time.Time{}
	}
	var endpointErr *EndpointError
	if errors.As(a.Err, &endpointErr) && endpointErr.Kind == ErrorKindLagging && !reachedAt.IsZero() {
		e.laggingUntil = now.Add(laggingBackoff)
		e.observedLag, e.observedLagUntil = now.Sub(reachedAt), now.Add(observedLagTTL)
	}
	if now.Sub(e.outcomeReportedAt) >= trafficOutcomePeriod {
		e.outcomeReportedAt = now
		e.groupControl.postTrafficOutcome(e, failover.OutcomeAnswered)
	}
}

// raiseVisibleLocked raises visible. A point of another term replaces it, because the
// endpoint may have truncated entries of the old term.
func (e *endpoint) raiseVisibleLocked(term uint64, p core.Point) {
	if term != e.visible.Term && p != (core.Point{}) || e.visible.Less(p) {
		e.visible = p
	}
}

// recordFailure records the failure of a connection on which a request was sent at
// sentAt. An endpoint that has answered other statements since is slow or lost an
// answer, but is running.
func (e *endpoint) recordFailure(now, sentAt time.Time, err error) {
	f := failureOf(err)
	e.mu.Lock()
	if isResponse(err) {
		e.noteResponseLocked(now)
	}
	answeredSince := e.answeredAt.After(sentAt)
	if f == failover.OutcomeTimeout && !answeredSince {
		e.suspectUntil = now.Add(suspectDuration)
	}
	e.mu.Unlock()
	if !answeredSince || f != failover.OutcomeTimeout {
		e.groupControl.postTrafficOutcome(e, f)
	}
}

// failureOf classifies the failure of an attempt to reach an endpoint.
func failureOf(err error) failover.Outcome {
	var endpointErr *EndpointError
	var network net.Error
	switch {
	case errors.As(err, &endpointErr):
		return failover.OutcomeAnswered
	case errors.Is(err, syscall.ECONNREFUSED):
		return failover.OutcomeRefused
	case errors.As(err, &network) && network.Timeout(), errors.Is(err, context.DeadlineExceeded):
		return failover.OutcomeTimeout
	default:
		return failover.OutcomeLost
	}
}

// isResponse reports whether the endpoint responded to a request with the given error:
// it answered, also with an error of its own, or refused the connection.
func isResponse(err error) bool {
	if err == nil {
		return true
	}
	f := failureOf(err)
	return f == failover.OutcomeAnswered || f == failover.OutcomeRefused
}

// sample requests the endpoint's status.
func (e *endpoint) sample(newConnection bool) (Report, time.Time, error) {
	return e.request(newConnection, func(c *Conn) (Report, error) { return c.Status(sampleTimeout) })
}

func (e *endpoint) fence(term uint64, role core.Role) (Report, error) {
	r, _, err := e.request(false, func(c *Conn) (Report, error) { return c.Fence(sampleTimeout, term, role) })
	return r, err
}

// request sends a control request over an idle or a new connection; one connection
// beyond the instance's share is left for such requests. It also returns the time
// since which the endpoint's process has been running.
func (e *endpoint) request(newConnection bool, use func(*Conn) (Report, error)) (Report, time.Time, error) {
	p := e.groupControl.control.proxy
	overdue := e.watchOverdue(p.now())
	defer overdue.Stop()
	c, err := e.takeIdleOrReserve(newConnection)
	if err == nil && c == nil {
		c, err = e.dial()
	}
	if err != nil {
		return Report{}, time.Time{}, err
	}
	sentAt := p.now()
	r, err := p.requestOrContain(c.conn, use)
	if isResponse(err) {
		e.noteResponse(p.now())
	}
	p.counts.controlRequests.Inc(1)
	var upSince time.Time
	if err == nil {
		upSince = c.recordUptime(sentAt)
	}
	var endpointErr *EndpointError
	e.endRequest()
	c.release(err == nil || errors.As(err, &endpointErr))
	return r, upSince, err
}

var errUnusableAnswer = errors.New("proxy: the answer of the endpoint could not be handled")

// requestOrContain sends a control request. A panic is an error, because it would end the
// process: control requests run in goroutines of their own.
func (p *Proxy) requestOrContain(c *Conn, use func(*Conn) (Report, error)) (r Report, err error) {
	defer p.containPanic(func() { r, err = Report{}, errUnusableAnswer })
	return use(c)
}

// dialOrContain opens a connection to an endpoint. A panic is an error, for the same reason.
func (p *Proxy) dialOrContain(ctx context.Context, e Endpoint, o core.Organisation) (c *Conn, err error) {
	defer p.containPanic(func() { c, err = nil, errUnusableAnswer })
	return p.dependencies.Endpoints.Dial(ctx, e, o)
}

// dial opens a connection for a control request.
func (e *endpoint) dial() (*endpointConn, error) {
	p := e.groupControl.control.proxy
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	c, err := p.dialOrContain(ctx, e.info, "")
	p.counts.connections.Inc(1)
	if isResponse(err) {
		e.noteResponse(p.now())
	}
	now := p.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		e.mix.Established()
		return newEndpointConn(e, c, "", now), nil
	}
	e.sampling--
	e.mix.Closed("")
	e.recordFullLocked(now, err)
	e.dispatchLocked(now)
	return nil, err
}

// noteSampleResult logs when samples of an endpoint start or stop failing. An endpoint
// that rejects a connection is running. Only the control goroutine calls it.
func (e *endpoint) noteSampleResult(err error) {
	if failureOf(err) == failover.OutcomeAnswered {
		err = nil
	}
	if (err != nil) == e.sampleFailing {
		return
	}
	e.sampleFailing = err != nil
	withError(e.groupControl.control.proxy.event(core.EventSampleFailed).WithField("group", e.groupControl.group.name).WithField("endpoint", e.info.Name).WithField("failing", e.sampleFailing), err).Info("endpoint sampling state changed")
}

// recordFullLocked delays the next attempt to connect if the endpoint accepts no more
// connections.
func (e *endpoint) recordFullLocked(now time.Time, err error) {
	var endpointErr *EndpointError
	if errors.As(err, &endpointErr) && endpointErr.Kind == ErrorKindConnections {
		e.mix.TurnedAway()
		e.fullUntil = now.Add(e.groupControl.control.proxy.fullBackoff())
		e.reconnectAt = e.fullUntil
	}
}

// fullBackoffPerEndpoint is multiplied by the number of endpoints that the instance
// connects to, which bounds the attempts at full endpoints to 100 a second in total.
const fullBackoffPerEndpoint = 10 * time.Millisecond

// fullBackoff returns the delay before the next attempt to connect to a full endpoint.
func (p *Proxy) fullBackoff() time.Duration {
	return max(minFullBackoff, time.Duration(p.endpointCount.Load())*fullBackoffPerEndpoint)
}

// takeIdleOrReserve returns an idle connection, or reserves a new one and returns nil.
// If newConnection is set, it closes the idle connections, since the last request got no
// answer.
func (e *endpoint) takeIdleOrReserve(newConnection bool) (*endpointConn, error) {
	now := e.groupControl.control.proxy.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if newConnection {
		e.closeIdleLocked()
	}
	if c := e.takeUptimeProofLocked(now); c != nil {
		e.sampling++
		return c, nil
	}
	if now.Before(e.fullUntil) {
		return nil, &EndpointError{Kind: ErrorKindConnections, Text: "the endpoint was full; the next attempt to connect is delayed"}
	}
	if e.mix.Open > e.mix.MaxOpen {
		return nil, &EndpointError{Kind: ErrorKindConnections, Text: "all connections of this instance are in use"}
	}
	e.mix.Reserve("")
	e.sampling++
	return nil, nil
}

// endRequest records the end of a control request that had a connection.
func (e *endpoint) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sampling--
}

// close closes all idle connections and rejects the waiters.
func (e *endpoint) close() {
	e.mu.Lock()
	e.closed = true
	e.closeIdleLocked()
	e.rejectWaitersLocked(nil, core.NewError(core.CodeNoConnection, "endpoint %s was removed", e.info.Name))
	e.mu.Unlock()
}
