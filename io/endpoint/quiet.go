package endpoint

import (
	"errors"
	"syscall"
)

// IsQuiet reports whether nothing came in that was not asked for: neither a late
// or crossed answer nor the end of the connection. It is for a connection with
// no answer outstanding and does not wait.
func (c *Conn) IsQuiet() bool {
	if c.broken != nil || c.frontend.ReadBufferLen() > 0 {
		return false
	}
	raw, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	socket, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var peek [1]byte
	err = socket.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}
