package instance

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"anviltack/core"
	"anviltack/core/admit"
	"anviltack/core/patch"
	"anviltack/core/pool"
	"anviltack/io/endpoint"
)

const (
	// controlConnections is how many connections of an instance to an endpoint
	// are reserved for samples and control requests.
	controlConnections = 1
	// minResponseTimeout is the shortest time without a response after which a
	// connection is suspect.
	minResponseTimeout = 500 * time.Millisecond
	// responseTimeoutFactor is how many times the expected service time a
	// response may take.
	responseTimeoutFactor = 4
)

// endpointPool holds the slots of one endpoint that this instance may use and
// its connections to the endpoint.
type endpointPool struct {
	instance *Instance
	name     core.Endpoint
	address  netip.AddrPort
	// reportFailure reports a failure of a connection to the group's control
	// state.
	reportFailure func(err error)

	mu sync.Mutex
	// sharing decides which statements run, connections which connection they
	// run on.
	sharing     *admit.Sharing
	connections *pool.Pool
	lastRequest uint64
	// waiters are the statements that were neither started nor rejected yet, by
	// the number of their request.
	waiters map[uint64]*waiter
	// byNumber holds the open connections by their number in the pool.
	byNumber map[uint64]*pooledConnection
	// inUse holds the connections in use.
	inUse map[*endpoint.Conn]*pooledConnection
	// pendingSlotRequests are the other instances' requests for slots that wait for a
	// response.
	pendingSlotRequests map[slotRequestKey]chan<- admit.SlotGrant
	// liveInstances is the value last passed to sharing, instanceCount the one
	// last passed to connections.
	liveInstances []core.Instance
	instanceCount int
	timer         *time.Timer
	closed        bool
}

// pooledConnection is one open connection.
type pooledConnection struct {
	conn *endpoint.Conn
	// number is the connection's number in the pool.
	number uint64
	// request is the number of the statement's request while it occupies a slot.
	// It is zero between the statements of a transaction and while the connection
	// is idle.
	request uint64
}

// waiter is one statement that waits to be started.
type waiter struct {
	admissionRequest
	// connection is the connection assigned to the statement, or nil inside a
	// transaction.
	connection *pooledConnection
	result     chan admissionResult
}

// waiterPool reuses waiters, because every statement needs one.
var waiterPool = sync.Pool{New: func() any { return &waiter{result: make(chan admissionResult, 1)} }}

// admissionRequest is a statement's request for a slot and a connection.
type admissionRequest struct {
	caller   core.Caller
	deadline time.Time
	work     pool.Work
	// transactionConn is the connection of the open transaction, or nil.
	transactionConn *endpoint.Conn
}

type admissionResult struct {
	conn *endpoint.Conn
	err  *core.Error
}

func newEndpointPool(in *Instance, name core.Endpoint, e patch.Endpoint) *endpointPool {
	p := &endpointPool{
		instance:            in,
		name:                name,
		address:             e.Address,
		reportFailure:       func(error) {},
		connections:         pool.New(e.Connections, pool.WithControlConnections(controlConnections)),
		waiters:             make(map[uint64]*waiter),
		byNumber:            make(map[uint64]*pooledConnection),
		inUse:               make(map[*endpoint.Conn]*pooledConnection),
		pendingSlotRequests: make(map[slotRequestKey]chan<- admit.SlotGrant),
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p.sharing = admit.NewSharing(name, in.settings.Instance, e.Slots, random, admit.WithSharedConnections(p.assignConnection))
	p.updateInstances(time.Now())
	return p
}

// configure applies the endpoint's limits and the queue limit, zero for the
// default.
func (p *endpointPool) configure(e patch.Endpoint, queue int) {
	if queue <= 0 {
		queue = admit.DefaultQueueLimit
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyActions(p.connections.Resize(now, e.Connections, p.instanceCount))
	p.applyOutput(now, p.sharing.Resize(now, e.Slots, queue))
}

// maxDirtyConnections is how many idle connections with unexpected data are
// closed for one statement; if there are more, the endpoint itself misbehaves.
const maxDirtyConnections = 8

// acquire waits for a slot and a connection, which belong to the caller until
// the connection is released. A connection that received data while it was idle
// is closed and never returned: it ended, or carries a response to another
// statement.
func (p *endpointPool) acquire(a admissionRequest) (*endpoint.Conn, *core.Error) {
	for range maxDirtyConnections {
		c, e := p.admit(a)
		if e != nil || a.transactionConn != nil || c.HasNothingToRead() {
			return c, e
		}
		p.instance.counters.connectionsDirty.Inc(1)
		p.release(c, false)
	}
	return nil, core.NewError(core.CodeNoConnection, "idle connections to %s received unexpected data", p.name).WithRetry(connectRetryDelay)
}

func (p *endpointPool) admit(a admissionRequest) (*endpoint.Conn, *core.Error) {
	w := waiterPool.Get().(*waiter)
	w.admissionRequest, w.connection = a, nil
	id, ok := p.enqueue(w)
	if !ok {
		return nil, core.NewError(core.CodeNoConnection, "%s is no longer in use", p.name)
	}
	r := p.awaitResult(id, w)
	waiterPool.Put(w)
	return r.conn, r.err
}

// enqueue submits a statement to admission control. It returns false if the
// endpoint is no longer in use.
func (p *endpointPool) enqueue(w *waiter) (uint64, bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, false
	}
	p.lastRequest++
	p.waiters[p.lastRequest] = w
	r := admit.Request{ID: p.lastRequest, Caller: w.caller, Deadline: w.deadline, InTransaction: w.transactionConn != nil}
	p.applyOutput(now, p.sharing.Arrive(now, r))
	return r.ID, true
}

// awaitResult waits for the admission of a statement until its deadline.
func (p *endpointPool) awaitResult(id uint64, w *waiter) admissionResult {
	select {
	case r := <-w.result:
		return r
	default:
	}
	timer := time.NewTimer(time.Until(w.deadline))
	defer timer.Stop()
	select {
	case r := <-w.result:
		return r
	case <-timer.C:
		return p.expire(id, w)
	}
}

// expire removes a statement whose deadline passed, unless it has just started.
func (p *endpointPool) expire(id uint64, w *waiter) admissionResult {
	p.mu.Lock()
	if p.sharing.Cancel(time.Now(), id) {
		delete(p.waiters, id)
		w.result <- admissionResult{err: core.NewError(core.CodeOverloaded, "no slot of %s became free before the deadline", p.name).WithRetry(minResponseTimeout)}
	}
	p.mu.Unlock()
	return <-w.result
}

// assignConnection reserves a connection for a statement that is about to
// start. The lock must be held.
func (p *endpointPool) assignConnection(now time.Time, r admit.Request) bool {
	w := p.waiters[r.ID]
	n, ok := p.connections.Acquire(now, w.work)
	if !ok {
		return false
	}
	w.connection = p.byNumber[n]
	return true
}

// releaseSlot releases the slot of a transaction between two statements.
func (p *endpointPool) releaseSlot(c *endpoint.Conn) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	pc := p.inUse[c]
	p.connections.SetDeadline(now, pc.number, pool.WorkTransaction, time.Time{})
	request := pc.request
	pc.request = 0
	p.applyOutput(now, p.sharing.Finish(now, request))
}

// release returns a connection with its slot; one that is not clean is closed.
func (p *endpointPool) release(c *endpoint.Conn, clean bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	pc := p.inUse[c]
	if pc == nil {
		return
	}
	delete(p.inUse, c)
	result := pool.Outcome{Clean: clean && c.HasNothingToRead() && !p.closed, NeedsReset: c.Altered}
	actions := p.connections.Release(now, pc.number, result)
	if len(actions) == 1 && actions[0].Kind == pool.ActionReset {
		go p.resetConnection(pc)
		return
	}
	request := pc.request
	pc.request = 0
	p.applyActions(actions)
	p.applyOutput(now, p.sharing.Finish(now, request))
}

// close rejects the waiting statements and closes the connections that are not
// in use; the others are closed when they are released.
func (p *endpointPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.rejectWaiting(time.Now(), core.NewError(core.CodeNoConnection, "%s is no longer in use", p.name))
	for n, pc := range p.byNumber {
		if p.inUse[pc.conn] == nil {
			p.closeConnection(n)
		}
	}
	if p.timer != nil {
		p.timer.Stop()
	}
}

// connectionLimit returns how many connections may be open.
func (p *endpointPool) connectionLimit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections.Limit(time.Now())
}

// inFlight returns how many statements run or wait.
func (p *endpointPool) inFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sharing.Running() + p.sharing.Waiting()
}

func (p *endpointPool) dump() ConnectionsDump {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return ConnectionsDump{
		Share:    p.connections.Limit(now),
		Open:     p.connections.Size(),
		Busy:     len(p.inUse),
		Idle:     p.connections.Count(pool.StateIdle),
		Suspect:  p.connections.Count(pool.StateSuspect),
		Running:  p.sharing.Running(),
		Waiting:  p.sharing.Waiting(),
		Own:      p.sharing.OwnSlots(now),
		Borrowed: p.sharing.BorrowedSlots(now),
	}
}
