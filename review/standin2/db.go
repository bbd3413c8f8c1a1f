package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// write is a committed write.
type write struct {
	id, item, data string
}

type entry struct {
	term, number uint64
	writes       []write
}

// service is a database: a group of backends with one log each.
type service struct {
	mu       sync.Mutex
	name     string
	store    *kvStore
	backends []*backend
	// lag is how late replicas apply what they receive.
	lag  time.Duration
	work time.Duration
	// rows, if set, answers a READ.
	rows func(item string) []string
	ran  map[string]int
	// observe is told of each statement of a caller that runs, and for whom.
	observe func(id, text, who string)
}

type backend struct {
	s        *service
	id       string
	zone     string
	address  string
	listener net.Listener
	primary  bool
	term     uint64
	held     uint64
	paused   bool
	entries  []entry
	// applied is how many entries reads see.
	applied  int
	slots    chan struct{}
	conns    map[net.Conn]bool
	up       bool
	sequence uint64
	draining bool
	// deaf is true while the backend receives nothing.
	deaf bool
	// born is the start of the process, a Unix time in milliseconds.
	born int64
}

const slotCount = 5

func newService(store *kvStore, name string, zones []string, base int, observe func(id, text, who string)) *service {
	s := &service{name: name, store: store, lag: 8 * time.Millisecond, work: 3 * time.Millisecond, ran: map[string]int{}, observe: observe}
	for i, z := range zones {
		b := &backend{s: s, id: fmt.Sprintf("i-%s%d", name, i), zone: z, primary: i == 0, term: 1, slots: make(chan struct{}, slotCount), conns: map[net.Conn]bool{}, up: true, born: time.Now().UnixMilli()}
		b.listen(fmt.Sprintf("127.0.%d.%d:0", base, i+1))
		s.backends = append(s.backends, b)
		go b.beat()
	}
	return s
}

func (b *backend) listen(address string) {
	l, err := net.Listen("tcp", address)
	check(err)
	b.listener, b.address = l, l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
}

func (b *backend) write() {
	b.s.mu.Lock()
	b.sequence++
	role := "replica"
	if b.primary {
		role = "primary"
	}
	state := "ready"
	if b.draining {
		state = "draining"
	}
	v := map[string]any{"service": b.s.name, "address": b.address, "zone": b.zone, "version": "v1", "capacity": slotCount, "state": state, "coldRemainingMs": 0, "dbRole": role, "sequence": b.sequence, "born": b.born}
	up := b.up
	b.s.mu.Unlock()
	if up {
		b.s.store.Put("servers/"+b.id, v)
	}
}

func (b *backend) beat() {
	for {
		b.write()
		time.Sleep(1200 * time.Millisecond)
	}
}

func (b *backend) position() string {
	if len(b.entries) == 0 && b.term == 0 {
		return "-"
	}
	if len(b.entries) == 0 {
		return fmt.Sprintf("%d.0", b.term)
	}
	e := b.entries[len(b.entries)-1]
	return fmt.Sprintf("%d.%d", e.term, e.number)
}

func (b *backend) visible() string {
	if b.primary {
		return b.position()
	}
	if b.applied == 0 {
		return b.position()
	}
	e := b.entries[b.applied-1]
	return fmt.Sprintf("%d.%d", e.term, e.number)
}

func parsePosition(s string) (t, n uint64) {
	a, c, _ := strings.Cut(s, ".")
	t, _ = strconv.ParseUint(a, 10, 64)
	n, _ = strconv.ParseUint(c, 10, 64)
	return t, n
}

func (b *backend) covers(p string) bool {
	if b.visible() == "-" {
		return false
	}
	t, n := parsePosition(p)
	vt, vn := parsePosition(b.visible())
	return vt > t && vn >= n || vt == t && vn >= n
}

// commit appends to the primary's log and sends it to the replicas; b.s.mu is held.
func (b *backend) commit(writes []write) {
	number := uint64(1)
	if n := len(b.entries); n > 0 {
		number = b.entries[n-1].number + 1
	}
	e := entry{term: b.term, number: number, writes: writes}
	b.entries = append(b.entries, e)
	b.applied = len(b.entries)
	for _, o := range b.s.backends {
		if o == b || !o.up || o.paused || o.deaf || o.primary || o.term != b.term || len(o.entries) != len(b.entries)-1 {
			continue
		}
		o.entries = append(o.entries, e)
		n := len(o.entries)
		time.AfterFunc(b.s.lag, func() {
			b.s.mu.Lock()
			defer b.s.mu.Unlock()
			if o.applied < n && n <= len(o.entries) {
				o.applied = n
			}
		})
	}
}

// promote makes a backend the primary of the next term.
func (s *service) promote(id string) int {
	s.mu.Lock()
	var target *backend
	term := uint64(0)
	for _, b := range s.backends {
		term = max(term, b.term)
		if b.id == id && b.up {
			target = b
		}
	}
	if target == nil {
		s.mu.Unlock()
		return 409
	}
	if target.primary && target.term == term {
		s.mu.Unlock()
		return 200
	}
	s.mu.Unlock()
	time.AfterFunc(300*time.Millisecond, func() {
		s.mu.Lock()
		target.term, target.primary, target.paused, target.held = term+1, true, false, 0
		target.applied = len(target.entries)
		for _, o := range s.backends {
			if o == target || !o.up {
				continue
			}
			o.paused, o.held, o.term = false, 0, term+1
			o.primary = false
			o.entries = append([]entry(nil), target.entries...)
			o.applied = len(o.entries)
		}
		s.mu.Unlock()
		for _, b := range s.backends {
			b.write()
		}
	})
	return 200
}

// crash ends a backend's process.
func (b *backend) crash() {
	b.s.mu.Lock()
	b.up = false
	_ = b.listener.Close()
	for c := range b.conns {
		_ = c.Close()
	}
	b.s.mu.Unlock()
	time.AfterFunc(3600*time.Millisecond, func() {
		b.s.mu.Lock()
		up := b.up
		b.s.mu.Unlock()
		if !up {
			b.s.store.Remove("servers/" + b.id)
		}
	})
}

// restart starts the process of a backend that crashed. It comes back with its log, as a
// replica if another backend was promoted.
func (b *backend) restart() {
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	for _, o := range b.s.backends {
		if o != b && o.up && o.primary && o.term > b.term {
			b.primary, b.term = false, o.term
			b.entries = append([]entry(nil), o.entries...)
			b.applied = len(b.entries)
		}
	}
	b.paused, b.held, b.up = false, 0, true
	b.listen(b.address)
	go b.write()
}

// forget starts the process of a backend that crashed again, under its id and at its address, with
// nothing of before. It has the log of the primary again after catchUp.
func (b *backend) forget(catchUp time.Duration) {
	b.s.mu.Lock()
	b.term, b.entries, b.applied, b.paused, b.held = 0, nil, 0, false, 0
	b.born, b.sequence, b.up = time.Now().UnixMilli(), 0, true
	b.listen(b.address)
	b.s.mu.Unlock()
	b.write()
	time.AfterFunc(catchUp, b.catchUp)
}

// hear ends the time in which the backend receives nothing.
func (b *backend) hear() {
	b.s.mu.Lock()
	b.deaf = false
	b.s.mu.Unlock()
	b.catchUp()
}

// catchUp copies the log of the primary.
func (b *backend) catchUp() {
	p := b.s.primaryBackend()
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	if p == nil || p == b || b.deaf || b.paused || !b.up {
		return
	}
	b.term, b.entries = p.term, append([]entry(nil), p.entries...)
	b.applied = len(b.entries)
}

// valueLocked returns the data of an item in what reads at the backend see, and the number of
// entries that they see.
func (b *backend) valueLocked(item string) (string, int) {
	n := b.applied
	if b.primary {
		n = len(b.entries)
	}
	n = min(n, len(b.entries))
	for i := n - 1; i >= 0; i-- {
		for _, w := range b.entries[i].writes {
			if w.item == item {
				return w.data, n
			}
		}
	}
	return "none", n
}

// primaryBackend returns the backend that leads.
func (s *service) primaryBackend() *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	var p *backend
	for _, b := range s.backends {
		if b.up && b.primary && (p == nil || p.term < b.term) {
			p = b
		}
	}
	return p
}

type dbSession struct {
	values   map[string]string
	prepared map[string][2]string
	state    string
	readOnly bool
	// who is the caller that the connection was opened for.
	who    string
	writes []write
}

func (b *backend) serve(c net.Conn) {
	b.s.mu.Lock()
	b.conns[c] = true
	b.s.mu.Unlock()
	defer func() {
		_ = c.Close()
		b.s.mu.Lock()
		delete(b.conns, c)
		b.s.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c, 1<<16)
	w := bufio.NewWriterSize(c, 1<<16)
	hello, err := r.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(hello)
	if len(f) < 3 || f[0] != "CONNECT" || f[1] != b.s.name || len(f) > 3 && f[3] != b.id {
		fmt.Fprintf(w, "ERROR MOVED x\r\n")
		_ = w.Flush()
		return
	}
	s := &dbSession{values: map[string]string{}, prepared: map[string][2]string{}, state: "I", who: f[2]}
	b.s.mu.Lock()
	fmt.Fprintf(w, "READY I %s\r\n", b.visible())
	b.s.mu.Unlock()
	_ = w.Flush()
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSuffix(line, "\r\n")
		word, rest, _ := strings.Cut(line, " ")
		if word == "BYE" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		rows, sig, code := b.run(s, id, text)
		for _, row := range rows {
			_, _ = w.WriteString("ROW ")
			_, _ = w.WriteString(row)
			_, _ = w.WriteString("\r\n")
		}
		if code != "" {
			if s.state == "T" && code != "BUSY" {
				s.state = "E"
			}
			fmt.Fprintf(w, "ERROR %s x\r\n", code)
		} else {
			fmt.Fprintf(w, "COMPLETE %s\r\n", sig)
		}
		b.s.mu.Lock()
		fmt.Fprintf(w, "READY %s %s\r\n", s.state, b.visible())
		b.s.mu.Unlock()
		if r.Buffered() == 0 {
			if w.Flush() != nil {
				return
			}
		}
	}
}

func (b *backend) statusRow() []string {
	role := "replica"
	if b.primary {
		role = "primary"
	}
	return []string{fmt.Sprintf("%s %d %s %d %d %d %d", role, b.term, b.position(), b.held, b.s.lag.Milliseconds(), len(b.slots), len(b.conns))}
}

func (b *backend) run(s *dbSession, id, text string) (rows []string, sig, code string) {
	after := ""
	if a, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, text, _ = strings.Cut(a, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	if s.state == "E" && word != "COMMIT" && word != "ROLLBACK" {
		return nil, "", "MALFORMED"
	}
	if after != "" && !b.covers(after) {
		return nil, "", "LAGGING"
	}
	access, item, data := "", "", ""
	switch word {
	case "STATUS":
		return b.statusRow(), "-", ""
	case "PAUSE":
		t, _ := strconv.ParseUint(rest, 10, 64)
		if !b.primary && t > b.term {
			b.paused, b.held = true, max(b.held, t)
		}
		return b.statusRow(), "-", ""
	case "STEPDOWN":
		t, _ := strconv.ParseUint(rest, 10, 64)
		if b.primary && b.term < t {
			b.primary = false
		}
		return b.statusRow(), "-", ""
	case "RESET":
		s.values, s.prepared = map[string]string{}, map[string][2]string{}
		return nil, "-", ""
	case "SET":
		n, v, _ := strings.Cut(rest, " ")
		s.values[n] = v
		return nil, "-", ""
	case "PREPARE":
		n, r, _ := strings.Cut(rest, " ")
		a, shape, _ := strings.Cut(r, " ")
		s.prepared[n] = [2]string{a, shape}
		return nil, "-", ""
	case "DEALLOC":
		if _, ok := s.prepared[rest]; !ok {
			return nil, "", "NOTFOUND"
		}
		delete(s.prepared, rest)
		return nil, "-", ""
	case "BEGIN":
		s.readOnly = rest == "READ"
		if !s.readOnly && !b.primary {
			return nil, "", "READONLY"
		}
		s.state, s.writes = "T", nil
		return nil, "-", ""
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		return nil, "-", ""
	case "COMMIT":
		failed := s.state == "E"
		s.state = "I"
		if failed {
			return nil, "", "ABORTED"
		}
		if len(s.writes) > 0 {
			if !b.primary {
				return nil, "", "READONLY"
			}
			b.commit(s.writes)
			s.writes = nil
		}
		b.ranLocked(s, id, text)
		return nil, "sig." + b.id + "." + id, ""
	case "READ", "WRITE":
		access = word
		item, data, _ = strings.Cut(rest, " ")
	case "EXECUTE":
		n, r, _ := strings.Cut(rest, " ")
		p, ok := s.prepared[n]
		if !ok {
			return nil, "", "NOTFOUND"
		}
		access = p[0]
		item, data, _ = strings.Cut(r, " ")
	default:
		return nil, "", "MALFORMED"
	}
	if access == "WRITE" && !b.primary {
		return nil, "", "READONLY"
	}
	if len(b.slots) == cap(b.slots) {
		return nil, "", "BUSY"
	}
	b.slots <- struct{}{}
	b.s.mu.Unlock()
	time.Sleep(b.s.work)
	b.s.mu.Lock()
	<-b.slots
	b.ranLocked(s, id, text)
	if access == "WRITE" {
		if !b.primary {
			return nil, "", "READONLY"
		}
		if s.state == "T" {
			s.writes = append(s.writes, write{id, item, data})
		} else {
			b.commit([]write{{id, item, data}})
		}
		return nil, "sig." + b.id + "." + id, ""
	}
	if b.s.rows != nil {
		rows = b.s.rows(item)
	} else {
		v, _ := b.valueLocked(item)
		rows = []string{v}
	}
	return rows, "sig." + b.id + "." + id, ""
}

// cloud is the service that promotes.
func cloud(services []*service, seen func(service, id, holder string, token uint64)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(w http.ResponseWriter, r *http.Request) {
		var in struct{ Service, ID string }
		_ = json.NewDecoder(r.Body).Decode(&in)
		token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
		seen(in.Service, in.ID, r.Header.Get("Duty-Holder"), token)
		for _, s := range services {
			if s.name == in.Service {
				w.WriteHeader(s.promote(in.ID))
				return
			}
		}
		w.WriteHeader(404)
	})
	return mux
}

func (b *backend) ranLocked(s *dbSession, id, text string) {
	b.s.ran[id]++
	if b.s.observe != nil {
		b.s.observe(id, text, s.who)
	}
}
