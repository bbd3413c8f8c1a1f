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
	"anviltack/core/queue"
)

const (
	// connectLimit bounds the opening of a connection: a handshake of some 10 ms
	// and the wait for a slot.
	connectLimit = 700 * time.Millisecond
	// reopenPause separates attempts to connect to an endpoint that fails.
	reopenPause = 150 * time.Millisecond
	// fullPause separates them at one that takes no more connections.
	fullPause = 300 * time.Millisecond
	// behindPause is for how long a replica that refused a read as too far
	// behind is asked for no other that needs more than it is known to hold.
	behindPause = 80 * time.Millisecond
	// learnedFor is how long a lag counts that a refused read showed: a few times
	// the pause between attempts.
	learnedFor = 4 * behindPause
	// evidencePeriod separates what traffic tells the control of an endpoint
	// that answers.
	evidencePeriod = 100 * time.Millisecond
	// doubtPause is for how long an endpoint that left a statement unanswered
	// gets no reads.
	doubtPause = 400 * time.Millisecond
)

// endpoint is one endpoint with this instance's connections to it.
type endpoint struct {
	info    Endpoint
	group   *groupControl
	leaving atomic.Bool
	// unreported tells that the last report failed; it is the control
	// goroutine's.
	unreported bool
	// grown tells that the endpoint has held what the group is known to hold; it
	// is the control goroutine's.
	grown bool

	mu sync.Mutex
	// limit is how many connections statements may use, and most how many
	// statements may run at once.
	limit int
	most  int
	// active counts the statements that run, and the connections that are being
	// opened for one.
	active int
	idle   []*link
	// open counts the connections, idle or not, and those being opened.
	open    int
	opening int
	queue   queue.Queue
	waiters map[uint64]chan grant
	lastID  uint64
	closed  bool
	// reopenAt is when a connection may be opened again.
	reopenAt time.Time
	// fullUntil is until when no connection is asked for, because the endpoint
	// took no more.
	fullUntil time.Time
	// doubtedUntil is until when no read is sent here.
	doubtedUntil time.Time
	// visible is the newest point that reads here were seen to cover.
	visible     core.Point
	lag         time.Duration
	busy        int
	behindUntil time.Time
	// learned is a lag that a refused read showed; it counts until learnedUntil.
	learned      time.Duration
	learnedUntil time.Time
	evidenceAt   time.Time
	// runsSince and ranAt bound a time through which one process of the endpoint
	// is known to have run.
	runsSince time.Time
	ranAt     time.Time
	// answeredAt is when the endpoint last answered a statement.
	answeredAt time.Time
}

// grant is what a waiter gets.
type grant struct {
	link *link
	err  error
}

func newEndpoint(g *groupControl, info Endpoint) *endpoint {
	return &endpoint{info: info, group: g, waiters: make(map[uint64]chan grant), limit: 1, most: 1}
}

// setShare takes how many connections all instances together may open.
func (e *endpoint) setShare(most, live int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = place.ConnectionShare(most, live)
	e.most = place.MaxInFlight(e.info.Slots, live)
	for len(e.idle) > 0 && e.open > e.limit {
		e.dropLocked(e.popLocked())
	}
}

// candidate describes the endpoint for a choice.
func (e *endpoint) candidate(now time.Time, primary bool, dataCentre string) place.Candidate {
	e.mu.Lock()
	defer e.mu.Unlock()
	lag := e.lag
	if now.Before(e.learnedUntil) {
		lag = max(lag, e.learned)
	}
	return place.Candidate{
		Endpoint: e.info.Name, Primary: primary, Local: string(e.info.DataCentre) == dataCentre,
		Visible: e.visible, Lag: lag, LaggingUntil: e.behindUntil,
		Load: e.active + e.queue.Len(), Running: e.busy, ConnectionShare: e.limit, Slots: e.info.Slots,
		Down:    e.closed || now.Before(e.doubtedUntil) || e.open == e.opening && now.Before(e.reopenAt),
		Leaving: e.leaving.Load(),
	}
}

// reported takes the endpoint's report.
func (e *endpoint) reported(now time.Time, r Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lag, e.busy = r.Lag, r.Busy
	e.seeLocked(r.Last.Term, core.Point{Term: r.Last.Term, Position: r.Applied})
	if now.After(e.doubtedUntil) {
		e.doubtedUntil = time.Time{}
	}
}

// overdueAfter is how long a statement may take before the endpoint is asked
// whether it lives, if it answered nothing else meanwhile.
const overdueAfter = 200 * time.Millisecond

// expect watches over a statement that goes out now; the caller stops it.
func (e *endpoint) expect(sentAt time.Time) *time.Timer {
	return time.AfterFunc(overdueAfter, func() {
		e.mu.Lock()
		silent := e.answeredAt.Before(sentAt)
		e.mu.Unlock()
		if silent {
			e.group.postTrafficOutcome(e, failover.OutcomeTimeout)
		}
	})
}

// answered takes the position behind an answer to a statement that needed what the
// group held at need; zero when it needed nothing.
func (e *endpoint) answered(now, need time.Time, a Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answeredAt = now
	e.seeLocked(a.Point.Term, a.Point)
	if a.Err == nil && !need.IsZero() && now.Sub(need) <= e.learned {
		e.learnedUntil = time.Time{}
	}
	var fault *EndpointError
	if errors.As(a.Err, &fault) && fault.Fault == FaultLagging && !need.IsZero() {
		e.behindUntil = now.Add(behindPause)
		e.learned, e.learnedUntil = now.Sub(need), now.Add(learnedFor)
	}
	if now.Sub(e.evidenceAt) >= evidencePeriod {
		e.evidenceAt = now
		e.group.postTrafficOutcome(e, failover.OutcomeAnswered)
	}
}

// seeLocked raises visible. A point of another term replaces it: the endpoint
// may have dropped what it held of the old one.
func (e *endpoint) seeLocked(term uint64, p core.Point) {
	if term != e.visible.Term && p != (core.Point{}) || e.visible.Less(p) {
		e.visible = p
	}
}

// failed takes the failure of a connection on which something was sent at sentAt.
// An endpoint that answered others since is slow or lost an answer, but lives.
func (e *endpoint) failed(now, sentAt time.Time, err error) {
	f := failureOf(err)
	e.mu.Lock()
	lives := e.answeredAt.After(sentAt)
	if f == failover.OutcomeTimeout && !lives {
		e.doubtedUntil = now.Add(doubtPause)
	}
	e.mu.Unlock()
	if !lives || f != failover.OutcomeTimeout {
		e.group.postTrafficOutcome(e, f)
	}
}

// failureOf tells how an attempt to reach an endpoint failed.
func failureOf(err error) failover.Outcome {
	var fault *EndpointError
	var network net.Error
	switch {
	case errors.As(err, &fault):
		return failover.OutcomeAnswered
	case errors.Is(err, syscall.ECONNREFUSED):
		return failover.OutcomeRefused
	case errors.As(err, &network) && network.Timeout(), errors.Is(err, context.DeadlineExceeded):
		return failover.OutcomeTimeout
	default:
		return failover.OutcomeLost
	}
}

// report asks the endpoint for its report.
func (e *endpoint) report(fresh bool) (Report, time.Time, error) {
	return e.ask(fresh, func(c *Conn) (Report, error) { return c.Status(sampleTimeout) })
}

// fence fences the endpoint.
func (e *endpoint) fence(term uint64, role core.Role) (Report, error) {
	r, _, err := e.ask(false, func(c *Conn) (Report, error) { return c.Fence(sampleTimeout, term, role) })
	return r, err
}

// ask uses an idle connection, or a new one, for a question to the endpoint. A
// part of the instance's connections is left free for these. With the answer comes
// since when the endpoint has run.
func (e *endpoint) ask(fresh bool, use func(*Conn) (Report, error)) (Report, time.Time, error) {
	p := e.group.control.proxy
	l, err := e.spare(fresh)
	if err == nil && l == nil {
		l, err = e.dial()
	}
	if err != nil {
		return Report{}, time.Time{}, err
	}
	sentAt := p.now()
	r, err := use(l.conn)
	p.counts.reports.Inc(1)
	var since time.Time
	if err == nil {
		since = l.lived(sentAt)
	}
	var fault *EndpointError
	l.release(err == nil || errors.As(err, &fault))
	return r, since, err
}

// dial opens a connection for a question.
func (e *endpoint) dial() (*link, error) {
	p := e.group.control.proxy
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	c, err := p.dependencies.Endpoints.Dial(ctx, e.info)
	p.counts.connections.Inc(1)
	if err == nil {
		return newLink(e, c, p.now()), nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open--
	e.noteFullLocked(p.now(), err)
	return nil, err
}

// noteReport logs when an endpoint begins or ceases to leave reports out; only the
// control goroutine calls it. One that refuses a connection lives.
func (e *endpoint) noteReport(err error) {
	if failureOf(err) == failover.OutcomeAnswered {
		err = nil
	}
	if (err != nil) == e.unreported {
		return
	}
	e.unreported = err != nil
	e.group.control.proxy.event(core.EventSampleFailed).WithField("group", e.group.group.name).WithField("endpoint", e.info.Name).WithField("failing", e.unreported).WithError(err).Info("reports of an endpoint")
}

// noteFullLocked takes the failure of a connection's opening.
func (e *endpoint) noteFullLocked(now time.Time, err error) {
	var fault *EndpointError
	if errors.As(err, &fault) && fault.Fault == FaultConnections {
		e.fullUntil = now.Add(e.group.control.proxy.fullPause())
		e.reopenAt = e.fullUntil
	}
}

// attemptPause is the pause between attempts at full endpoints for each endpoint that
// the instance connects to, which bounds the attempts to 100 a second together.
const attemptPause = 10 * time.Millisecond

// fullPause returns how long no connection is asked for at a full endpoint.
func (p *Proxy) fullPause() time.Duration {
	return max(fullPause, time.Duration(p.endpointCount.Load())*attemptPause)
}

// spare takes an idle connection, or makes room for a new one and returns nil.
// With fresh set the idle connections are closed: the last question got no answer.
func (e *endpoint) spare(fresh bool) (*link, error) {
	now := e.group.control.proxy.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if fresh {
		e.dropIdleLocked()
	}
	if l := e.steadyLocked(); l != nil {
		return l, nil
	}
	if now.Before(e.fullUntil) {
		return nil, &EndpointError{Fault: FaultConnections, Text: "no connection is asked for yet"}
	}
	if e.open > e.limit {
		return nil, &EndpointError{Fault: FaultConnections, Text: "all connections of this instance are in use"}
	}
	e.open++
	return nil, nil
}

// close ends all connections.
func (e *endpoint) close() {
	e.mu.Lock()
	e.closed = true
	e.dropIdleLocked()
	e.refuseLocked(core.NewError(core.CodeNoConnection, "%s is gone", e.info.Name))
	e.mu.Unlock()
}
