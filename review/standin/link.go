package main

import (
	"encoding/json"
	"net"
	"strings"
	"sync"
	"time"
)

// link is a proxy between an instance and a server. While it is cut it forwards nothing, in
// either direction; connections that were held up for longer than linkTimeout end.
type link struct {
	mu      sync.Mutex
	address string
	isCut   bool
	cutAt   time.Time
	healed  chan struct{}
}

// linkTimeout is how long unacknowledged data may be under way: after 3 s the servers drop a
// connection whose remote end is unreachable.
const linkTimeout = 3 * time.Second

func newLink(target func() string) *link {
	l := &link{healed: make(chan struct{})}
	close(l.healed)
	socket := listen("127.0.0.1")
	l.address = socket.Addr().String()
	go func() {
		for {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			go l.serve(c, target())
		}
	}()
	return l
}

func (l *link) set(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isCut == isCut {
		return
	}
	l.isCut, l.cutAt = isCut, time.Now()
	if isCut {
		l.healed = make(chan struct{})
	} else {
		close(l.healed)
	}
}

// pass waits until the link is whole and reports whether the data arrives in time.
func (l *link) pass() bool {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	select {
	case <-healed:
		return true
	case <-time.After(linkTimeout):
		return false
	}
}

func (l *link) serve(c net.Conn, target string) {
	defer c.Close()
	if !l.pass() {
		return
	}
	s, err := net.Dial("tcp", target)
	if err != nil {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // refused
		}
		return
	}
	defer s.Close()
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		b := make([]byte, 32<<10)
		for {
			n, err := from.Read(b)
			if !l.pass() {
				return
			}
			if n > 0 {
				if _, err := to.Write(b[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go forward(s, c)
	go forward(c, s)
	<-done
}

// view replaces a server's address by that of the instance's link to it.
func (i *Instance) view(item storeItem) storeItem {
	id, ok := strings.CutPrefix(item.Key, "servers/")
	l := i.links[id]
	if !ok || l == nil {
		return item
	}
	var entry map[string]any
	if json.Unmarshal(item.Value, &entry) != nil {
		return item
	}
	entry["address"] = l.address
	item.Value, _ = json.Marshal(entry)
	return item
}
