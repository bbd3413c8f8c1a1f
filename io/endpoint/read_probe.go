package endpoint

import (
	"errors"
	"net"
	"syscall"
)

// readProbe checks whether a socket has something to read, without reading it.
type readProbe struct {
	raw syscall.RawConn
	// peek is allocated once, because the check runs for every statement.
	peek       func(fd uintptr)
	buffer     [1]byte
	wouldBlock bool
}

func newReadProbe(c net.Conn) *readProbe {
	p := &readProbe{}
	p.peek = func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), p.buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		p.wouldBlock = errors.Is(err, syscall.EAGAIN)
	}
	if socket, ok := c.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			p.raw = raw
		}
	}
	return p
}

// HasNothingToRead reports whether a connection that is not in use has neither received
// data nor been closed by the endpoint. Unread data may be a late response to an earlier
// statement or a response that belongs to another connection.
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
