package endpoint

import (
	"errors"
	"syscall"
)

// IsQuiet reports whether nothing waits to be read on a connection that is not
// in use: no answer of an earlier statement, no answer that belongs to another
// connection, and no end of the connection.
func (c *Conn) IsQuiet() bool {
	if c.broken != nil || c.frontend.ReadBufferLen() > 0 {
		return false
	}
	socket, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var peeked [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}
