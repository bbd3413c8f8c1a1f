package main

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// link is a path to an address that can be cut. Bytes that arrive during a cut are held up as
// TCP holds them up: they are sent again at growing intervals, and lost if their sender resets
// the connection or, by its TCP_USER_TIMEOUT, gives up.
type link struct {
	target string

	mu     sync.Mutex
	cut    bool
	healed time.Time
	// held is told of the first bytes of a connection that are held up, and delivered when they
	// pass.
	held, delivered func(b []byte, after time.Duration)
}

var (
	// repeats are the times after a segment was sent at which it is sent again, for a retransmission
	// timeout of 200 ms.
	repeats = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second}
	// opens are the times at which the first segment of a connection is sent again.
	opens = []time.Duration{time.Second, 3 * time.Second}
)

func newLink(target string) (*link, string) {
	l := &link{target: target}
	s, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() {
		for {
			c, err := s.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l, s.Addr().String()
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		l.healed = time.Now()
	}
}

// pass waits until something that was sent at sent passes; false if it never does.
func (l *link) pass(sent time.Time, again []time.Duration) bool {
	if !l.isCut() {
		return true
	}
	for _, d := range again {
		time.Sleep(time.Until(sent.Add(d)))
		if !l.isCut() {
			return true
		}
	}
	return false
}

func (l *link) serve(c net.Conn) {
	defer c.Close()
	opened := time.Now()
	if l.isCut() {
		// The sender is not connected yet: nothing passes unless it still waits when its opening
		// segment does.
		if !l.pass(opened, opens) || hasLeft(c) {
			return
		}
	}
	up, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer up.Close()
	go func() {
		b := make([]byte, 1<<16)
		for {
			n, err := up.Read(b)
			if n > 0 && l.pass(time.Now(), repeats) {
				_, _ = c.Write(b[:n])
			}
			if err != nil {
				_ = c.Close()
				return
			}
		}
	}()
	b := make([]byte, 1<<16)
	for {
		n, err := c.Read(b)
		if n > 0 {
			sent := time.Now()
			cut := l.isCut()
			if cut && l.held != nil {
				l.held(b[:n], 0)
			}
			if !l.pass(sent, repeats) {
				return
			}
			if cut {
				if isReset(c) {
					return
				}
				if l.delivered != nil {
					l.delivered(b[:n], time.Since(sent))
				}
			}
			_, _ = up.Write(b[:n])
		}
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			return
		}
	}
}

// isReset reports whether the other side reset a connection.
func isReset(c net.Conn) bool { return errors.Is(peek(c), syscall.ECONNRESET) }

// hasLeft reports whether the other side reset or closed a connection before which it sent
// nothing that is not read yet, or after that.
func hasLeft(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	left := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unixTCPState(fd)
		left = err != nil || info != tcpEstablished
	})
	return left
}

// peek returns the error of reading from a connection, without reading.
func peek(c net.Conn) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	var result error
	_ = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, result = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return result
}

const tcpEstablished = 1

// unixTCPState returns the state of a connection: the first byte of its TCP_INFO.
func unixTCPState(fd uintptr) (byte, error) {
	b, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	return byte(b), err
}
