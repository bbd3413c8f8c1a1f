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
	// take samples and control requests.
	controlConnections = 1
	// doubtAfter is the least time without an answer after which a connection
	// is doubted.
	doubtAfter = 500 * time.Millisecond
	// doubtFactor is how many times the usual service time an answer may take.
	doubtFactor = 4
)

// links are the slots of one endpoint that this instance may use and its
// connections to it.
type links struct {
	instance *Instance
	name     core.Endpoint
	address  netip.AddrPort
	// evidence takes what a failure of a connection shows of the endpoint.
	evidence func(err error)

	mu sync.Mutex
	// sharing decides which statements run; connections decide on what.
	sharing     *admit.Sharing
	connections *pool.Pool
	last        uint64
	// waiters are the statements without a verdict, by request.
	waiters map[uint64]*waiter
	// conns are the open connections by their number in the pool.
	conns map[uint64]*endpoint.Conn
	// uses are the connections in use.
	uses map[*endpoint.Conn]*use
	// asks are the asks of other instances that are held here.
	asks map[askKey]chan<- admit.Grant
	// members and count are what sharing and connections were told last.
	members []core.Instance
	count   int
	timer   *time.Timer
	closed  bool
}

// use is one connection in use.
type use struct {
	// connection is the number in the pool.
	connection uint64
	// request is the statement that holds a slot, zero between the statements
	// of a transaction.
	request uint64
	work    pool.Work
	started time.Time
}

// waiter is one statement that waits to be started.
type waiter struct {
	admission
	// use is set when the statement starts on a connection of its own.
	use     *use
	verdict chan verdict
}

// admission is a statement's request to run.
type admission struct {
	caller   core.Caller
	deadline time.Time
	work     pool.Work
	// held is the connection of the open transaction, or nil.
	held *endpoint.Conn
}

type verdict struct {
	conn *endpoint.Conn
	err  *core.Error
}

func newLinks(in *Instance, name core.Endpoint, e patch.Endpoint) *links {
	l := &links{
		instance:    in,
		name:        name,
		address:     e.Address,
		connections: pool.New(e.Connections, pool.WithControl(controlConnections)),
		waiters:     make(map[uint64]*waiter),
		conns:       make(map[uint64]*endpoint.Conn),
		uses:        make(map[*endpoint.Conn]*use),
		asks:        make(map[askKey]chan<- admit.Grant),
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	l.sharing = admit.NewSharing(name, in.settings.Instance, e.Slots, random, admit.WithSharedConnections(l.connect))
	l.enlist(time.Now())
	return l
}

// configure takes in the endpoint's numbers and the bound of the queue, zero
// for the default.
func (l *links) configure(e patch.Endpoint, queue int) {
	if queue <= 0 {
		queue = admit.DefaultQueue
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.perform(l.connections.Resize(now, e.Connections, l.count))
	l.apply(now, l.sharing.Resize(now, e.Slots, queue))
}

// get waits for a slot and a connection, which are for the caller alone until
// the connection is put back. A connection on which something came in while it
// was idle is closed and never handed out.
func (l *links) get(a admission) (*endpoint.Conn, *core.Error) {
	for {
		c, e := l.admit(a)
		if e != nil || a.held != nil || c.IsQuiet() {
			return c, e
		}
		l.instance.counts.connectionsDirty.Inc(1)
		l.put(c, false)
	}
}

func (l *links) admit(a admission) (*endpoint.Conn, *core.Error) {
	w := &waiter{admission: a, verdict: make(chan verdict, 1)}
	now := time.Now()
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil, core.NewError(core.CodeNoConnection, "%s is no longer in use", l.name)
	}
	l.last++
	id := l.last
	l.waiters[id] = w
	l.apply(now, l.sharing.Arrive(now, admit.Request{ID: id, Caller: a.caller, Deadline: a.deadline, Held: a.held != nil}))
	l.mu.Unlock()
	timer := time.NewTimer(time.Until(a.deadline))
	defer timer.Stop()
	select {
	case v := <-w.verdict:
		return v.conn, v.err
	case <-timer.C:
		return l.expired(id, w)
	}
}

// expired takes back a statement whose deadline passed, unless it has just started.
func (l *links) expired(id uint64, w *waiter) (*endpoint.Conn, *core.Error) {
	l.mu.Lock()
	if l.sharing.Cancel(time.Now(), id) {
		delete(l.waiters, id)
		w.verdict <- verdict{err: core.NewError(core.CodeOverloaded, "%s had no slot in time", l.name).WithRetry(doubtAfter)}
	}
	l.mu.Unlock()
	v := <-w.verdict
	return v.conn, v.err
}

// connect takes a connection for a statement that is about to start; it is
// called under the lock.
func (l *links) connect(now time.Time, r admit.Request) bool {
	w := l.waiters[r.ID]
	n, ok := l.connections.Acquire(now, w.work)
	if !ok {
		return false
	}
	w.use = &use{connection: n, request: r.ID, work: w.work, started: now}
	return true
}

// pause gives back the slot of a transaction between two statements.
func (l *links) pause(c *endpoint.Conn) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.uses[c]
	l.connections.Expect(now, u.connection, pool.WorkTransaction, time.Time{})
	request := u.request
	u.request = 0
	l.apply(now, l.sharing.Finish(now, request))
}

// put gives a connection back with its slot; one that is not clean is closed.
func (l *links) put(c *endpoint.Conn, clean bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.uses[c]
	if u == nil {
		return
	}
	delete(l.uses, c)
	ending := pool.Ending{Clean: clean && c.IsQuiet() && !l.closed, Altered: c.Altered}
	actions := l.connections.Release(now, u.connection, ending)
	if len(actions) == 1 && actions[0].Do == pool.DoReset {
		go l.reset(u, c)
		return
	}
	l.perform(actions)
	l.apply(now, l.sharing.Finish(now, u.request))
}

// close closes the connections that are not in use; the others are closed when
// they are put back. Statements that wait are refused.
func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.refuseWaiting(time.Now(), core.NewError(core.CodeNoConnection, "%s is no longer in use", l.name))
	for n, c := range l.conns {
		if l.uses[c] == nil {
			l.drop(n)
		}
	}
	if l.timer != nil {
		l.timer.Stop()
	}
}

// share returns how many connections may be in use.
func (l *links) share() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connections.Limit(time.Now())
}

// busy returns how many statements run or wait.
func (l *links) busy() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sharing.Running() + l.sharing.Waiting()
}

func (l *links) dump() LinksDump {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return LinksDump{
		Share:    l.connections.Limit(now),
		Open:     l.connections.Open(),
		Busy:     len(l.uses),
		Idle:     l.connections.Count(pool.StateIdle),
		Doubted:  l.connections.Count(pool.StateDoubted),
		Running:  l.sharing.Running(),
		Waiting:  l.sharing.Waiting(),
		Own:      l.sharing.Own(now),
		Borrowed: l.sharing.Borrowed(now),
	}
}
