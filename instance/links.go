package instance

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"anviltack/core"
	"anviltack/core/patch"
	"anviltack/io/endpoint"
)

// assumedInstances is how many instances share an endpoint's connections.
const assumedInstances = 5

// stateTooManyConnections is the SQLSTATE of an endpoint at its cap.
const stateTooManyConnections = "53300"

// links are the connections of this instance to one endpoint.
type links struct {
	instance *Instance
	name     core.Endpoint
	address  netip.AddrPort
	// evidence takes what a failure of a connection shows of the endpoint.
	evidence func(err error)
	// tokens holds one token for each connection that may be in use.
	tokens chan struct{}

	mu     sync.Mutex
	idle   []*endpoint.Conn
	closed bool
}

func newLinks(in *Instance, name core.Endpoint, e patch.Endpoint) *links {
	share := max(e.Connections/assumedInstances-1, 1)
	l := &links{
		instance: in, name: name, address: e.Address,
		evidence: func(error) {}, tokens: make(chan struct{}, share),
	}
	for range share {
		l.tokens <- struct{}{}
	}
	return l
}

// get returns a connection that is for the caller alone until it is put back.
func (l *links) get(deadline time.Time) (*endpoint.Conn, *core.Error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-l.tokens:
	case <-timer.C:
		return nil, core.NewError(core.CodeOverloaded, "no connection to %s became free in time", l.name)
	}
	if c := l.pop(); c != nil {
		return c, nil
	}
	c, err := l.dial(deadline)
	if err != nil {
		l.tokens <- struct{}{}
		return nil, err
	}
	return c, nil
}

func (l *links) pop() *endpoint.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.idle)
	if n == 0 {
		return nil
	}
	c := l.idle[n-1]
	l.idle = l.idle[:n-1]
	return c
}

func (l *links) dial(deadline time.Time) (*endpoint.Conn, *core.Error) {
	limit := time.Now().Add(l.instance.settings.Connect)
	if deadline.Before(limit) {
		limit = deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	c, err := endpoint.Dial(ctx, l.name, l.address, l.instance.login())
	if err == nil {
		return c, nil
	}
	l.evidence(err)
	var s *endpoint.ServerError
	if errors.As(err, &s) && s.State == stateTooManyConnections {
		return nil, core.NewError(core.CodeNoConnection, "%s takes no more connections", l.name)
	}
	return nil, core.NewError(core.CodeNoConnection, "could not connect to %s", l.name)
}

// put gives a connection back; one that is not clean is closed.
func (l *links) put(c *endpoint.Conn, clean bool) {
	l.mu.Lock()
	if clean && c.Err() == nil && !l.closed {
		l.idle = append(l.idle, c)
	} else {
		c.Close()
	}
	l.mu.Unlock()
	l.tokens <- struct{}{}
}

// close closes the idle connections; those in use are closed when put back.
func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, c := range l.idle {
		c.Close()
	}
	l.idle = nil
}

// share returns how many connections may be in use.
func (l *links) share() int { return cap(l.tokens) }

// busy returns how many connections are in use.
func (l *links) busy() int { return cap(l.tokens) - len(l.tokens) }
