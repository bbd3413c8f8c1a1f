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

// userPrefix starts the user names of instances that tell their data centre.
const userPrefix = "anviltack-"

// Sizes of a connection's distance.
const (
	chunkBytes = 16 << 10
	chunksKept = 256
)

// link is a connection that may be as long as the way between two data centres.
type link struct {
	net.Conn
	// far delays both ways, or is nil; it is set before the first statement.
	far atomic.Pointer[distance]
}

// chunk is a piece of one way's bytes with the time when it arrives.
type chunk struct {
	bytes []byte
	due   time.Time
	err   error
}

// distance delays both ways of a connection by a fixed time.
type distance struct {
	conn     net.Conn
	oneWay   time.Duration
	in       chan chunk
	out      chan chunk
	rest     []byte
	once     sync.Once
	finished chan struct{}
}

func newDistance(conn net.Conn, oneWay time.Duration) *distance {
	d := &distance{
		conn:     conn,
		oneWay:   oneWay,
		in:       make(chan chunk, chunksKept),
		out:      make(chan chunk, chunksKept),
		finished: make(chan struct{}),
	}
	go d.receive()
	go d.send()
	return d
}

func (d *distance) receive() {
	for {
		b := make([]byte, chunkBytes)
		n, err := d.conn.Read(b)
		select {
		case d.in <- chunk{bytes: b[:n], due: time.Now().Add(d.oneWay), err: err}:
		case <-d.finished:
			return
		}
		if err != nil {
			return
		}
	}
}

func (d *distance) send() {
	for {
		select {
		case c := <-d.out:
			sleepUntil(c.due)
			if _, err := d.conn.Write(c.bytes); err != nil {
				return
			}
		case <-d.finished:
			return
		}
	}
}

func (d *distance) read(b []byte) (int, error) {
	if len(d.rest) == 0 {
		select {
		case c := <-d.in:
			if c.err != nil {
				return 0, c.err
			}
			sleepUntil(c.due)
			d.rest = c.bytes
		case <-d.finished:
			return 0, net.ErrClosed
		}
	}
	n := copy(b, d.rest)
	d.rest = d.rest[n:]
	return n, nil
}

func (d *distance) write(b []byte) (int, error) {
	c := chunk{bytes: append([]byte(nil), b...), due: time.Now().Add(d.oneWay)}
	select {
	case d.out <- c:
		return len(b), nil
	case <-d.finished:
		return 0, net.ErrClosed
	}
}

// Read reads what has arrived.
func (l *link) Read(b []byte) (int, error) {
	if far := l.far.Load(); far != nil {
		return far.read(b)
	}
	return l.Conn.Read(b)
}

// Write sends bytes on their way.
func (l *link) Write(b []byte) (int, error) {
	if far := l.far.Load(); far != nil {
		return far.write(b)
	}
	return l.Conn.Write(b)
}

// Close closes the connection; what is on its way is lost.
func (l *link) Close() error {
	if far := l.far.Load(); far != nil {
		far.once.Do(func() { close(far.finished) })
	}
	return l.Conn.Close()
}

// dataCentreOf returns the data centre that a user name tells, or nothing.
func dataCentreOf(user string) core.DataCentre {
	name, told := strings.CutPrefix(user, userPrefix)
	if !told {
		return ""
	}
	return core.DataCentre(name)
}

// setDataCentre makes the link as long as the way from a data centre.
func (l *link) setDataCentre(e *Endpoint, from core.DataCentre) {
	if from != "" && e.dataCentre != "" && from != e.dataCentre {
		l.far.Store(newDistance(l.Conn, e.delay))
	}
}

// reach waits while the endpoint is cut off from the session's data centre; it
// fails when the session ends meanwhile.
func (s *session) reach(ctx context.Context) error {
	e := s.endpoint
	for {
		e.mu.Lock()
		away := slices.Contains(e.faults.away, s.dataCentre)
		changed := e.changed
		e.mu.Unlock()
		if !away {
			return e.frozen.wait(ctx)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
