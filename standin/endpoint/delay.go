package endpoint

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"anviltack/core"
)

// userPrefix starts the user names of instances that state their data centre.
const userPrefix = "anviltack-"

// Sizes of the buffers of a delayLine.
const (
	chunkBytes = 16 << 10
	maxChunks  = 256
)

// delayedConn is a connection that may have the delay of another data centre.
type delayedConn struct {
	net.Conn
	// delay delays both directions, or is nil; it is set before the first
	// statement.
	delay atomic.Pointer[delayLine]
}

// chunk is a part of the bytes of one direction and the time at which it
// arrives.
type chunk struct {
	bytes []byte
	due   time.Time
	err   error
}

// delayLine delays both directions of a connection by a fixed time.
type delayLine struct {
	conn      net.Conn
	oneWay    time.Duration
	in        chan chunk
	out       chan chunk
	unread    []byte
	closeOnce sync.Once
	closed    chan struct{}
}

func newDelayLine(conn net.Conn, oneWay time.Duration) *delayLine {
	d := &delayLine{
		conn:   conn,
		oneWay: oneWay,
		in:     make(chan chunk, maxChunks),
		out:    make(chan chunk, maxChunks),
		closed: make(chan struct{}),
	}
	go d.receive()
	go d.send()
	return d
}

func (d *delayLine) receive() {
	for {
		b := make([]byte, chunkBytes)
		n, err := d.conn.Read(b)
		select {
		case d.in <- chunk{bytes: b[:n], due: time.Now().Add(d.oneWay), err: err}:
		case <-d.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

func (d *delayLine) send() {
	for {
		select {
		case c := <-d.out:
			sleepUntil(c.due)
			if _, err := d.conn.Write(c.bytes); err != nil {
				return
			}
		case <-d.closed:
			return
		}
	}
}

func (d *delayLine) read(b []byte) (int, error) {
	if len(d.unread) == 0 {
		select {
		case c := <-d.in:
			if c.err != nil {
				return 0, c.err
			}
			sleepUntil(c.due)
			d.unread = c.bytes
		case <-d.closed:
			return 0, net.ErrClosed
		}
	}
	n := copy(b, d.unread)
	d.unread = d.unread[n:]
	return n, nil
}

func (d *delayLine) write(b []byte) (int, error) {
	c := chunk{bytes: append([]byte(nil), b...), due: time.Now().Add(d.oneWay)}
	select {
	case d.out <- c:
		return len(b), nil
	case <-d.closed:
		return 0, net.ErrClosed
	}
}

// Read returns bytes that have arrived after the delay.
func (c *delayedConn) Read(b []byte) (int, error) {
	if delay := c.delay.Load(); delay != nil {
		return delay.read(b)
	}
	return c.Conn.Read(b)
}

// Write sends bytes after the delay.
func (c *delayedConn) Write(b []byte) (int, error) {
	if delay := c.delay.Load(); delay != nil {
		return delay.write(b)
	}
	return c.Conn.Write(b)
}

// Close closes the connection; bytes that are still delayed are lost.
func (c *delayedConn) Close() error {
	if delay := c.delay.Load(); delay != nil {
		delay.closeOnce.Do(func() { close(delay.closed) })
	}
	return c.Conn.Close()
}

// dataCentreOf returns the data centre that a user name states, or "" if it
// states none.
func dataCentreOf(user string) core.DataCentre {
	name, found := strings.CutPrefix(user, userPrefix)
	if !found {
		return ""
	}
	return core.DataCentre(name)
}

// startDelay delays the connection from now on if it comes from another data
// centre.
func (c *delayedConn) startDelay(e *Endpoint, from core.DataCentre) {
	if from != "" && e.dataCentre != "" && from != e.dataCentre {
		c.delay.Store(newDelayLine(c.Conn, e.networkDelay))
	}
}

// waitReachable blocks while the session's data centre is partitioned from the
// endpoint or the endpoint is suspended. It returns an error when the session
// ends first.
func (s *session) waitReachable(ctx context.Context) error {
	e := s.endpoint
	for {
		e.mu.Lock()
		partitioned := slices.Contains(e.faults.unreachableDataCentres, s.dataCentre)
		changed := e.changed
		e.mu.Unlock()
		if !partitioned {
			return e.suspended.wait(ctx)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
