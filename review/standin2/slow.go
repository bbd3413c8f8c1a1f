package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	slowMemoryMB = 536
	slowReaders  = 100
	slowRows     = 4
	slowRounds   = 3
	// slowRest is how long a slow reader reads nothing.
	slowRest = 6500 * time.Millisecond
)

// runSlow has callers of two instances read their answers slowly while the platform watches the
// memory of the processes, and restarts those that it ends.
func runSlow(trouble bool) int {
	d, st := newDeployment(slowMemoryMB)
	st.Put("op/config", configuration(3, []string{"orders"}, 1000))
	db := newService(st, "orders", d.zones, 20, nil)
	row := strings.Repeat("x", 1<<20-64)
	db.rows = func(item string) []string {
		if item != "large" {
			return []string{"v-" + item}
		}
		list := make([]string, slowRows)
		for i := range list {
			list[i] = row
		}
		return list
	}
	d.startCloud(db)
	list := d.startAll(4)
	machines := []*watched{{in: list[0]}, {in: list[1]}}
	var all sync.WaitGroup
	for _, m := range machines {
		all.Go(func() { m.play(d, trouble) })
	}
	all.Wait()
	often := 0
	for _, m := range machines {
		note("%s: the process ended %d times; most memory %d MB of %d MB; %d statements of bystanders were never answered", m.in.name, m.ends, m.peak, slowMemoryMB, m.unanswered)
		if m.ends >= slowRounds {
			often++
		}
	}
	return verdict(often >= 2, "processes of %d of 4 machines ended by themselves %d times or more", often, slowRounds)
}

// watched is an instance whose memory the platform watches.
type watched struct {
	in *instance

	mu         sync.Mutex
	peak, ends int
	unanswered int
}

func (m *watched) play(d *deployment, trouble bool) {
	for round := range slowRounds {
		done := make(chan struct{})
		go m.watch(done)
		m.round(round, trouble)
		close(done)
		if m.in.exited() {
			m.in.run(d.command)
			if !m.in.awaitReady(10 * time.Second) {
				note("%s is not ready again", m.in.name)
				return
			}
			time.Sleep(2 * time.Second)
		}
	}
}

// watch is the platform: it ends a process that exceeds its memory.
func (m *watched) watch(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-m.in.done:
			m.mu.Lock()
			m.ends++
			m.mu.Unlock()
			return
		case <-time.After(10 * time.Millisecond):
		}
		mb := m.in.residentMB()
		m.mu.Lock()
		m.peak = max(m.peak, mb)
		m.mu.Unlock()
		if mb > slowMemoryMB {
			note("platform: %s has %d MB, its limit is %d MB: it is killed", m.in.name, mb, slowMemoryMB)
			_ = m.in.cmd.Process.Signal(syscall.SIGKILL)
			<-m.in.done
		}
	}
}

// round opens the sessions of slow readers, and one of a bystander.
func (m *watched) round(round int, trouble bool) {
	bystander, err := dialClient(m.in.front, "ordersown", "u0")
	if err != nil {
		note("%s: the bystander cannot connect: %v", m.in.name, err)
		return
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			id := fmt.Sprintf("other-%s-%d-%d", m.in.name, round, n)
			if _, err := bystander.query(id, "READ small", 5*time.Second); err != nil {
				note("bystander sent %s \"READ small\"; its connection ended without an answer: %v", id, err)
				m.mu.Lock()
				m.unanswered++
				m.mu.Unlock()
				return
			}
		}
	}()
	counts := map[string]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range slowReaders {
		c, err := dialClient(m.in.front, "ordersbounded", fmt.Sprintf("u%d", i+1))
		if err != nil {
			break // the process has ended
		}
		if trouble {
			_ = c.conn.(*net.TCPConn).SetReadBuffer(16 << 10)
		}
		all.Go(func() {
			_ = c.conn.SetDeadline(time.Now().Add(20 * time.Second))
			_, _ = fmt.Fprintf(c.conn, "QUERY large-%s-%d-%d READ large\r\n", m.in.name, round, i)
			if trouble {
				time.Sleep(slowRest)
				_ = c.conn.(*net.TCPConn).SetReadBuffer(4 << 20)
			}
			a, err := c.read()
			_ = c.conn.Close()
			mu.Lock()
			defer mu.Unlock()
			word, _, _ := strings.Cut(a.err, " ")
			counts[fmt.Sprintf("%d rows, error %q, connection ended: %v", a.rows, word, err != nil)]++
		})
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
	close(stop)
	<-ended
	for text, n := range counts {
		note("%s: %d callers sent READ large and got %s", m.in.name, n, text)
	}
}
