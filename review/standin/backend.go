package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Entry is a commit in a log; its number is its place, counted from 1.
type Entry struct {
	term  uint64
	items map[string]string
	// at is when a replica received it, and visible when reads see it.
	visible time.Time
}

// Group is a service: its backends and what links them.
type Group struct {
	name     string
	mu       sync.Mutex
	backends []*Backend
	// leader is the backend that leads the newest term.
	leader  *Backend
	term    uint64
	promote time.Duration
	lag     time.Duration
	world   *World
	// acks are the commits that clients saw acknowledged.
	acks  []ack
	taken atomic.Bool
	// cutOff is a backend that is partitioned from the others and from the store.
	cutOff *Backend
}

type ack struct {
	at   time.Time
	data string
}

// Backend is one server of a group. The group's lock guards its fields.
type Backend struct {
	group   *Group
	id      string
	zone    string
	address string
	born    int64
	role    string
	term    uint64
	fence   uint64
	log     []Entry
	deaf    bool
	up      bool
	state   string
	// leaves is when an old primary steps down by itself.
	leaves   time.Time
	reached  time.Time
	listener net.Listener
	conns    map[net.Conn]bool
	silent   map[net.Conn]bool
	slots    chan struct{}
	queued   atomic.Int32
	work     func() time.Duration
	beats    uint64
	beatAt   time.Time
	// mayBeat is false while the backend doesn't register at the store.
	mayBeat atomic.Bool
	// lose reports whether the answer to a statement that ran is lost: "", "silent", "reset"
	// or "cut".
	lose func(text string) string
}

func (b *Backend) applied(now time.Time) int {
	n := len(b.log)
	if b.role == "primary" {
		return n
	}
	for n > 0 && b.log[n-1].visible.After(now) {
		n--
	}
	return n
}

// replicate moves the leader's log to its replicas every few milliseconds.
func (g *Group) replicate() {
	for range time.Tick(2 * time.Millisecond) {
		g.mu.Lock()
		now := time.Now()
		for _, b := range g.backends {
			if !b.up {
				continue
			}
			if b.role == "primary" && b != g.leader && g.leader.up && g.cutOff != b && g.cutOff != g.leader && !b.leaves.IsZero() {
				// It steps down a second after it can reach the new primary.
				if b.reached.IsZero() {
					b.reached = now
				}
			} else {
				b.reached = time.Time{}
			}
			if !b.reached.IsZero() && now.Sub(b.reached) > time.Second {
				b.role = "replica"
				g.changedRole(b)
			}
			if b.role == "primary" || b.deaf {
				continue
			}
			// A replica follows the leader of the newest term, or before it hears of that one
			// the primary of its own.
			p := g.leader
			if g.cutOff == b || g.cutOff == p {
				continue
			}
			if !p.up || p.role != "primary" || b.fence > p.term || p == b {
				continue
			}
			b.term, b.fence = p.term, 0
			same := 0
			for same < len(b.log) && same < len(p.log) && b.log[same].term == p.log[same].term {
				same++
			}
			b.log = b.log[:same]
			for _, e := range p.log[same:] {
				e.visible = now.Add(time.Duration(float64(g.lag) * (0.5 + rand.Float64())))
				b.log = append(b.log, e)
			}
		}
		g.mu.Unlock()
	}
}

// changedRole writes a server's entry after its role changed; g.mu is held.
func (g *Group) changedRole(b *Backend) { go b.beat() }

// Promote makes a backend the leader of the next term some time later.
func (g *Group) Promote(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.backends {
		if b.id != id {
			continue
		}
		if !b.up {
			return 409
		}
		if b == g.leader && b.role == "primary" {
			return 200
		}
		time.AfterFunc(g.promote, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if !b.up || g.leader == b && b.role == "primary" {
				return
			}
			old := g.leader
			old.leaves = time.Now().Add(time.Second)
			g.term++
			g.leader = b
			b.role, b.term, b.fence, b.leaves = "primary", g.term, 0, time.Time{}
			for _, o := range g.backends {
				if o.fence <= g.term {
					o.fence = 0
				}
			}
			g.world.note("promoted %s in term %d with %d", b.id, g.term, len(b.log))
			g.changedRole(b)
		})
		return 200
	}
	return 409
}

func (b *Backend) beat() {
	g := b.group
	g.mu.Lock()
	if !b.up || !b.mayBeat.Load() || g.cutOff == b || g.world.storeDown.Load() {
		g.mu.Unlock()
		return
	}
	b.beats++
	b.beatAt = time.Now()
	e := map[string]any{
		"service": g.name, "address": b.address, "zone": b.zone, "version": "v1", "capacity": cap(b.slots),
		"state": b.state, "coldRemainingMs": 0, "dbRole": b.role, "sequence": b.beats, "born": b.born,
	}
	g.mu.Unlock()
	g.world.store.Put("servers/"+b.id, e)
}

// start lets the backend accept connections.
func (b *Backend) start() error {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	g := b.group
	g.mu.Lock()
	b.listener, b.up, b.conns, b.silent = l, true, map[net.Conn]bool{}, map[net.Conn]bool{}
	if b.role == "primary" && g.leader != b {
		b.role, b.term = "replica", g.term
	}
	b.fence = 0
	g.mu.Unlock()
	b.beat()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			g.mu.Lock()
			b.conns[c] = true
			full := len(b.conns) > *maxConn
			g.mu.Unlock()
			go b.serve(c, full)
		}
	}()
	return nil
}

// isSilent reports whether a connection has gone silent for good.
func (b *Backend) isSilent(c net.Conn) bool {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	return b.silent[c]
}

// crash ends the backend without a word; its log stays.
func (b *Backend) crash() {
	g := b.group
	g.mu.Lock()
	defer g.mu.Unlock()
	b.up = false
	_ = b.listener.Close()
	for c := range b.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	b.conns = nil
}

// session is the state of one connection to a backend.
type session struct {
	values   map[string]string
	prepared map[string]string
	inTx     bool
	readTx   bool
	failed   bool
	writes   map[string]string
	// owner is the client attempt whose transaction is open.
	owner string
	seen  bool
}

func (b *Backend) serve(c net.Conn, full bool) {
	g := b.group
	defer func() {
		_ = c.Close()
		g.mu.Lock()
		delete(b.conns, c)
		g.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(line)
	if full {
		fmt.Fprintf(c, "ERROR MAXCONN too many\r\n")
		return
	}
	if len(f) < 3 || f[0] != "CONNECT" || f[1] != g.name || len(f) > 3 && f[3] != b.id {
		fmt.Fprintf(c, "ERROR MOVED not here\r\n")
		return
	}
	if !b.slot() {
		return
	}
	time.Sleep(12 * time.Millisecond)
	<-b.slots
	if _, err := fmt.Fprintf(c, "READY I %s\r\n", b.position()); err != nil {
		return
	}
	s := &session{values: map[string]string{}, prepared: map[string]string{}}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSuffix(line, "\r\n")
		if line == "BYE" {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		id, text, _ := strings.Cut(rest, " ")
		if word != "QUERY" {
			return
		}
		if b.isSilent(c) {
			time.Sleep(20 * time.Second)
			return
		}
		answer := b.run(s, id, text)
		state := "I"
		if s.inTx {
			state = "T"
		}
		if s.failed {
			state = "E"
		}
		answer += fmt.Sprintf("READY %s %s\r\n", state, b.position())
		if id != "-" {
			switch b.lose(text) {
			case "silent":
				time.Sleep(4 * time.Second)
				return
			case "reset":
				if t, ok := c.(*net.TCPConn); ok {
					_ = t.SetLinger(0)
				}
				return
			case "cut":
				_, _ = c.Write([]byte(answer[:len(answer)/2]))
				return
			}
		}
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

func (b *Backend) slot() bool {
	if b.queued.Add(1) > 24 {
		b.queued.Add(-1)
		return false
	}
	b.slots <- struct{}{}
	b.queued.Add(-1)
	return true
}

func (b *Backend) position() string {
	g := b.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprintf("%d.%d", b.term, b.applied(time.Now()))
}

var signatures atomic.Uint64

func (b *Backend) status() string {
	g := b.group
	g.mu.Lock()
	defer g.mu.Unlock()
	n := len(b.log)
	return fmt.Sprintf("ROW %s %d %d.%d %d %d %d %d\r\nCOMPLETE -\r\n", b.role, b.term, b.term, n, b.fence,
		int(g.lag.Milliseconds()), len(b.slots), len(b.conns))
}

// run runs one statement and returns its answer without READY.
func (b *Backend) run(s *session, id, text string) string {
	g := b.group
	after := ""
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	if s.failed && word != "COMMIT" && word != "ROLLBACK" {
		return "ERROR MALFORMED failed\r\n"
	}
	fail := func(code string) string {
		if s.inTx {
			s.failed = true
		}
		return "ERROR " + code + " " + b.id + "\r\n"
	}
	complete := func() string {
		sig := fmt.Sprintf("%x.%s", signatures.Add(1), b.id)
		g.world.signed(id, sig)
		return "COMPLETE " + sig + "\r\n"
	}
	switch word {
	case "STATUS":
		if !b.slot() {
			return "ERROR BUSY full\r\n"
		}
		defer func() { <-b.slots }()
		return b.status()
	case "PAUSE", "STEPDOWN":
		t, _ := strconv.ParseUint(rest, 10, 64)
		g.mu.Lock()
		if word == "PAUSE" && t > g.term && b.role == "replica" {
			b.fence = max(b.fence, t)
		}
		if word == "STEPDOWN" && b.role == "primary" && b.term < t {
			b.role = "replica"
			b.fence = max(b.fence, t)
			if t <= g.term {
				b.fence = 0
			}
			g.changedRole(b)
		}
		g.mu.Unlock()
		return b.status()
	case "RESUME":
		g.mu.Lock()
		b.fence = 0
		g.mu.Unlock()
		return b.status()
	case "RESET":
		s.values, s.prepared = map[string]string{}, map[string]string{}
		return "COMPLETE -\r\n"
	case "SET":
		n, v, _ := strings.Cut(rest, " ")
		s.values[n] = v
		return "COMPLETE -\r\n"
	case "PREPARE":
		n, v, _ := strings.Cut(rest, " ")
		s.prepared[n] = v
		return "COMPLETE -\r\n"
	case "DEALLOC":
		delete(s.prepared, rest)
		return "COMPLETE -\r\n"
	case "ROLLBACK":
		s.inTx, s.failed, s.writes = false, false, nil
		return "COMPLETE -\r\n"
	}
	if !b.slot() {
		return "ERROR BUSY full\r\n"
	}
	defer func() { <-b.slots }()
	lacks := func() bool {
		if after == "" {
			return false
		}
		t, n, _ := strings.Cut(after, ".")
		term, _ := strconv.ParseUint(t, 10, 64)
		num, _ := strconv.Atoi(n)
		return b.term < term || b.applied(time.Now()) < num
	}
	if word == "BEGIN" {
		g.mu.Lock()
		defer g.mu.Unlock()
		if rest != "READ" && b.role != "primary" {
			return "ERROR READONLY " + b.id + "\r\n"
		}
		if lacks() {
			return "ERROR LAGGING " + b.id + "\r\n"
		}
		s.inTx, s.readTx, s.writes, s.owner, s.seen = true, rest == "READ", map[string]string{}, "", false
		return "COMPLETE -\r\n"
	}
	time.Sleep(b.work())
	g.mu.Lock()
	defer g.mu.Unlock()
	if !b.up {
		return fail("FAILED")
	}
	if s.inTx && !s.readTx && b.role != "primary" && !(word == "COMMIT" && len(s.writes) == 0) {
		return fail("READONLY")
	}
	if word == "COMMIT" {
		if !s.inTx {
			return "ERROR MALFORMED no transaction\r\n"
		}
		w, failed := s.writes, s.failed
		s.inTx, s.failed, s.writes = false, false, nil
		if failed {
			return "ERROR FAILED rolled back\r\n"
		}
		g.world.ranCommit(id, s.owner)
		if len(w) > 0 {
			b.append(w)
		}
		return complete()
	}
	shape := ""
	if word == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		p, ok := s.prepared[name]
		if !ok {
			return fail("NOTFOUND")
		}
		access, sh, _ := strings.Cut(p, " ")
		word, rest, shape = access, args, sh
	}
	item, data, _ := strings.Cut(rest, " ")
	if word == "WRITE" && b.role != "primary" {
		return fail("READONLY")
	}
	if lacks() {
		return fail("LAGGING")
	}
	g.world.ran(b, s, id, word, item, data, shape)
	switch word {
	case "READ":
		row := ""
		for n := b.applied(time.Now()); n > 0 && row == ""; n-- {
			row = b.log[n-1].items[item]
		}
		if v, ok := s.writes[item]; ok {
			row = v
		}
		g.world.rows(id, row)
		return "ROW " + row + "\r\n" + complete()
	case "WRITE":
		if s.inTx {
			s.writes[item] = data
		} else {
			b.append(map[string]string{item: data})
		}
		return complete()
	}
	return "ERROR MALFORMED what\r\n"
}

// append commits; the group's lock is held.
func (b *Backend) append(w map[string]string) {
	b.log = append(b.log, Entry{term: b.term, items: w})
	b.group.world.committed(b, w)
}
