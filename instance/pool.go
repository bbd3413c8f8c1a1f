package instance

import (
	"context"
	"errors"
	"time"

	"anviltack/core"
	"anviltack/core/pool"
	"anviltack/io/endpoint"
)

const (
	// stateTooManyConnections is the SQLSTATE of an endpoint at its cap.
	stateTooManyConnections = "53300"
	// connectPause is the advice to a caller while no connection can be opened.
	connectPause = 200 * time.Millisecond
)

// perform carries out actions on connections; the lock is held.
func (l *links) perform(actions []pool.Action) {
	for _, a := range actions {
		u := l.conns[a.Connection]
		switch a.Kind {
		case pool.ActionOpen:
			go l.open(a.Connection)
		case pool.ActionTest:
			go l.test(u)
		case pool.ActionMove:
			l.instance.counters.readsMoved.Inc(1)
			u.conn.Interrupt()
		case pool.ActionClose:
			l.drop(a.Connection)
		case pool.ActionReset:
			// put starts the reset itself, because it holds the slot.
		}
	}
}

// drop closes a connection.
func (l *links) drop(n uint64) {
	if u := l.conns[n]; u != nil {
		delete(l.conns, n)
		go u.conn.Close()
	}
}

// open opens a connection.
func (l *links) open(n uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), l.instance.settings.Connect)
	defer cancel()
	c, err := endpoint.Dial(ctx, l.name, l.address, l.instance.login())
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.openFailed(now, n, err)
		return
	}
	l.conns[n] = &link{conn: c, number: n}
	actions := l.connections.Opened(now, n)
	if l.closed {
		actions = []pool.Action{{Kind: pool.ActionClose, Connection: n}}
	}
	l.perform(actions)
	l.apply(now, l.sharing.Tick(now))
}

// openFailed takes in a failed opening. While there is no connection at all,
// statements that wait are refused at once.
func (l *links) openFailed(now time.Time, n uint64, err error) {
	var s *endpoint.ServerError
	tooMany := errors.As(err, &s) && s.State == stateTooManyConnections
	l.connections.OpenFailed(now, n, tooMany)
	go l.evidence(err)
	if len(l.conns) > 0 {
		return
	}
	reason := "could not connect to %s"
	if tooMany {
		reason = "%s takes no more connections"
	}
	l.refuseWaiting(now, core.NewError(core.CodeNoConnection, reason, l.name).WithRetry(connectPause))
}

// test asks an idle connection for the endpoint's status.
func (l *links) test(u *link) {
	_, err := u.conn.Status(time.Now().Add(l.instance.settings.Answer))
	l.tested(u, err == nil)
}

// reset discards the session state of a connection; the statement that left it
// holds its slot until then.
func (l *links) reset(u *link) {
	err := u.conn.Reset(time.Now().Add(l.instance.settings.Answer))
	l.tested(u, err == nil)
}

// tested takes in the result of a test or a reset.
func (l *links) tested(u *link, ok bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	request := u.request
	u.request = 0
	l.perform(l.connections.Tested(now, u.number, ok && !l.closed))
	l.apply(now, l.sharing.Finish(now, request))
}
