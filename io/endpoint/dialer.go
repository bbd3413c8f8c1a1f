package endpoint

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacknowledgedTimeout is how long sent bytes may remain unacknowledged before
	// the connection fails. The endpoint's kernel acknowledges them, so a statement
	// that runs for long does not count.
	unacknowledgedTimeout = 2 * time.Second
	// keepAlivePeriod and keepAliveCount detect an idle connection whose state was lost
	// between the two hosts, for example in a firewall.
	keepAlivePeriod = time.Second
	keepAliveCount  = 3
)

// dialer opens connections that fail if the endpoint's host does not respond any more.
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
