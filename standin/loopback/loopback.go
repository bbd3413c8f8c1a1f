// Package loopback reserves addresses for stand-ins and tests.
package loopback

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
)

var (
	mu sync.Mutex
	// reserved are the ports that this process was given; none is given twice.
	reserved = make(map[uint16]bool)
)

// host is an address of this process's own, so that no port of it is taken by another process
// between its reservation and its use.
func host() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + pid>>16&0x7f), byte(pid >> 8), byte(1 + pid&0xff%254)})
}

// Reserve returns a loopback address with an unused port.
func Reserve() (netip.AddrPort, error) {
	mu.Lock()
	defer mu.Unlock()
	for {
		l, err := net.Listen("tcp", netip.AddrPortFrom(host(), 0).String())
		if err != nil {
			return netip.AddrPort{}, fmt.Errorf("loopback: could not reserve an address: %w", err)
		}
		address := l.Addr().(*net.TCPAddr).AddrPort()
		_ = l.Close()
		if !reserved[address.Port()] {
			reserved[address.Port()] = true
			return address, nil
		}
	}
}
