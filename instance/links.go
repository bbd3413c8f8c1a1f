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
	conns map[uint64]*link
	// uses are the connections in use.
	uses map[*endpoint.Conn]*link
	// asks are the asks of other instances that are held here.
	asks map[askKey]chan<- admit.Grant
	// members and count are what sharing and connections were told last.
	members []core.Instance
	count   int
	timer   *time.Timer
	closed  bool
}

// link is one open connection.
type link struct {
	conn *endpoint.Conn
	// number is the connection's number in the pool.
	number uint64
	// request is the statement that holds a slot, zero between the statements
	// of a transaction and while the connection is idle.
	request uint64
}

// waiter is one statement that waits to be started.
type waiter struct {
	admission
	// link is set when the statement starts on a connection of its own.
	link    *link
	verdict chan verdict
}

// waiters are reused, because every statement needs one.
var waiters = sync.Pool{New: func() any { return &waiter{verdict: make(chan verdict, 1)} }}

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
		evidence:    func(error) {},
		connections: pool.New(e.Connections, pool.WithControlConnections(controlConnections)),
		waiters:     make(map[uint64]*waiter),
		conns:       make(map[uint64]*link),
		uses:        make(map[*endpoint.Conn]*link),
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
		queue = admit.DefaultQueueLimit
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.perform(l.connections.Resize(now, e.Connections, l.count))
	l.apply(now, l.sharing.Resize(now, e.Slots, queue))
}

// maxSpoiled bounds the connections that one statement finds spoiled; more of
// them mean that the endpoint is at fault.
const maxSpoiled = 8

// get waits for a slot and a connection, which are for the caller alone until
// the connection is put back. A connection on which something came in while it
// was idle is closed and never handed out.
func (l *links) get(a admission) (*endpoint.Conn, *core.Error) {
	for range maxSpoiled {
		c, e := l.admit(a)
		if e != nil || a.held != nil || c.HasNothingToRead() {
			return c, e
		}
		l.instance.counters.connectionsSpoiled.Inc(1)
		l.put(c, false)
	}
	return nil, core.NewError(core.CodeNoConnection, "connections to %s carry answers that nobody asked for", l.name).WithRetry(connectPause)
}

func (l *links) admit(a admission) (*endpoint.Conn, *core.Error) {
	w := waiters.Get().(*waiter)
	w.admission, w.link = a, nil
	id, ok := l.arrive(w)
	if !ok {
		return nil, core.NewError(core.CodeNoConnection, "%s is no longer in use", l.name)
	}
	v := l.await(id, w)
	waiters.Put(w)
	return v.conn, v.err
}

// arrive hands a statement to the gate; it returns false when the endpoint is no
// longer in use.
func (l *links) arrive(w *waiter) (uint64, bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, false
	}
	l.last++
	l.waiters[l.last] = w
	r := admit.Request{ID: l.last, Caller: w.caller, Deadline: w.deadline, InTransaction: w.held != nil}
	l.apply(now, l.sharing.Arrive(now, r))
	return r.ID, true
}

// await returns the verdict on a statement, at its deadline at the latest.
func (l *links) await(id uint64, w *waiter) verdict {
	select {
	case v := <-w.verdict:
		return v
	default:
	}
	timer := time.NewTimer(time.Until(w.deadline))
	defer timer.Stop()
	select {
	case v := <-w.verdict:
		return v
	case <-timer.C:
		return l.expired(id, w)
	}
}

// expired takes back a statement whose deadline passed, unless it has just started.
func (l *links) expired(id uint64, w *waiter) verdict {
	l.mu.Lock()
	if l.sharing.Cancel(time.Now(), id) {
		delete(l.waiters, id)
		w.verdict <- verdict{err: core.NewError(core.CodeOverloaded, "%s had no slot in time", l.name).WithRetry(doubtAfter)}
	}
	l.mu.Unlock()
	return <-w.verdict
}

// connect takes a connection for a statement that is about to start; it is
// called under the lock.
func (l *links) connect(now time.Time, r admit.Request) bool {
	w := l.waiters[r.ID]
	n, ok := l.connections.Acquire(now, w.work)
	if !ok {
		return false
	}
	w.link = l.conns[n]
	return true
}

// pause gives back the slot of a transaction between two statements.
func (l *links) pause(c *endpoint.Conn) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.uses[c]
	l.connections.SetDeadline(now, u.number, pool.WorkTransaction, time.Time{})
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
	ending := pool.Outcome{Clean: clean && c.HasNothingToRead() && !l.closed, NeedsReset: c.Altered}
	actions := l.connections.Release(now, u.number, ending)
	if len(actions) == 1 && actions[0].Kind == pool.ActionReset {
		go l.reset(u)
		return
	}
	request := u.request
	u.request = 0
	l.perform(actions)
	l.apply(now, l.sharing.Finish(now, request))
}

// close closes the connections that are not in use; the others are closed when
// they are put back. Statements that wait are refused.
func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.refuseWaiting(time.Now(), core.NewError(core.CodeNoConnection, "%s is no longer in use", l.name))
	for n, c := range l.conns {
		if l.uses[c.conn] == nil {
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

func (l *links) dump() ConnectionsDump {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return ConnectionsDump{
		Share:    l.connections.Limit(now),
		Open:     l.connections.Size(),
		Busy:     len(l.uses),
		Idle:     l.connections.Count(pool.StateIdle),
		Suspect:  l.connections.Count(pool.StateSuspect),
		Running:  l.sharing.Running(),
		Waiting:  l.sharing.Waiting(),
		Own:      l.sharing.OwnSlots(now),
		Borrowed: l.sharing.BorrowedSlots(now),
	}
}
