package endpoint

import (
	"errors"
	"net"
	"syscall"
)

// readProbe looks for bytes that wait on a connection without reading them.
type readProbe struct {
	raw syscall.RawConn
	// peek is kept because every statement looks.
	peek   func(fd uintptr)
	buffer [1]byte
	wouldBlock bool
}

func newReadProbe(c net.Conn) *readProbe {
	q := &readProbe{}
	q.peek = func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), q.buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		q.wouldBlock = errors.Is(err, syscall.EAGAIN)
	}
	if socket, ok := c.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			q.raw = raw
		}
	}
	return q
}

// HasNothingToRead reports whether nothing waits to be read on a connection that is not
// in use: no answer of an earlier statement, no answer that belongs to another
// connection, and no end of the connection.
func (c *Conn) HasNothingToRead() bool {
	if c.firstErr != nil || c.frontend.ReadBufferLen() > 0 {
		return false
	}
	if c.probe.raw == nil {
		return true
	}
	c.probe.wouldBlock = false
	err := c.probe.raw.Control(c.probe.peek)
	return err == nil && c.probe.wouldBlock
}
