package endpoint

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacknowledgedTimeout is how long sent bytes may go without an
	// acknowledgement of the other end's kernel before the connection fails. A
	// statement that runs for long is acknowledged and does not count.
	unacknowledgedTimeout = 2 * time.Second
	// keepAlivePeriod and keepAliveCount find an idle connection that something
	// between the two ends lost track of.
	keepAlivePeriod = time.Second
	keepAliveCount  = 3
)

// dialer opens connections that fail by themselves when they go silent.
var dialer = net.Dialer{
	Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	},
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveCount},
}
