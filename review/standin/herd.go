package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// herd opens idle sessions at an instance and holds them for a while.
func (w *World) herd(i *Instance, count int, hold time.Duration) {
	var conns []net.Conn
	for n := range count {
		d := net.Dialer{Timeout: 500 * time.Millisecond, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, byte(100+n%4), 1)}}
		c, err := d.Dial("tcp", i.front)
		if err != nil {
			break
		}
		conns = append(conns, c)
		fmt.Fprintf(c, "CONNECT svc0p key0\r\n")
	}
	w.note("herd: %d connections to %s", len(conns), i.name)
	time.Sleep(hold)
	for _, c := range conns {
		c.Close()
	}
	w.note("herd: closed")
}

// try opens a session and runs a read, and returns how long that took.
func (w *World) try(i *Instance) (time.Duration, string) {
	at := time.Now()
	c, err := net.DialTimeout("tcp", i.front, 2*time.Second)
	if err != nil {
		return time.Since(at), err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "CONNECT svc0p key0\r\n")
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	if err != nil {
		return time.Since(at), err.Error()
	}
	return time.Since(at), strings.TrimSpace(line)
}
