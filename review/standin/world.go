package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// World holds what a run is made of, and what was sent, answered and run.
type World struct {
	store     *Store
	groups    map[string]*Group
	instances []*Instance
	recordMu  sync.Mutex
	record    *bufio.Writer
	dir       string
	start     time.Time

	mu    sync.Mutex
	stmts map[string]*Stmt
	// commits counts the commits of each written text, and stale those at a replaced primary.
	commits  map[string]int
	oldAt    map[string]string
	promised map[string]string
	acked    map[string]time.Time
	broken   map[string]int
	counts   map[string]int
	verbose  bool
	ended    atomic.Bool
	over     atomic.Bool
	// slowCloud makes promotions slow.
	slowCloud atomic.Bool
	lateStore atomic.Bool
	// storeDown is true while the store is down for all.
	storeDown atomic.Bool
	copies    []Copy
	taken     atomic.Bool
}

// Stmt is a statement as its client sent it.
type Stmt struct {
	sentAt time.Time
	word   string
	item   string
	data   string
	shape  string
	values map[string]string
	tx     string
	group  *Group
	// since is the time before which acknowledged commits must be seen; own are the
	// session's commits.
	since  time.Time
	own    []string
	isRead bool
	sigs   map[string]bool
	rows   map[string]bool
	// stale says which runs lacked a commit; they count if the client gets a success.
	stale []string
}

// note adds a line to the record.
func (w *World) note(format string, a ...any) {
	line := fmt.Sprintf("%8.3f "+format+"\n", append([]any{time.Since(w.start).Seconds()}, a...)...)
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_, _ = w.record.WriteString(line)
}

func (w *World) breach(rule, format string, a ...any) {
	w.mu.Lock()
	w.broken[rule]++
	n := w.broken[rule]
	w.mu.Unlock()
	if n <= 20 {
		w.note("BROKEN "+rule+": "+format, a...)
	}
}

func (w *World) stmt(id string) *Stmt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stmts[id]
}

func (w *World) signed(id, sig string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.stmts[id]; s != nil {
		s.sigs[sig] = true
	}
}

func (w *World) rows(id, row string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.stmts[id]; s != nil {
		s.rows[row] = true
	}
}

// ran checks a read or a write that a backend runs; the group's lock is held.
func (w *World) ran(b *Backend, s *session, id, word, item, data, shape string) {
	st := w.stmt(id)
	w.note("%s (%s in term %d, log %d) runs %s: %s %s %s", b.id, b.role, b.term, len(b.log), id, word, item, data)
	if st == nil {
		w.breach("UNASKED", "%s ran unknown statement %s", b.id, id)
		return
	}
	if st.word != word || st.item != item || st.data != data || st.shape != shape {
		w.breach("PINNED", "%s ran %s %s %s %s as %s, sent as %s %s %s %s", b.id, word, item, data, shape, id, st.word, st.item, st.data, st.shape)
	}
	if !maps.Equal(st.values, s.values) {
		w.breach("PINNED", "%s ran %s with values %v, acknowledged are %v", b.id, id, s.values, st.values)
	}
	switch {
	case st.tx == "" && s.inTx:
		w.breach("PINNED", "%s ran %s inside the transaction of %s", b.id, id, s.owner)
	case st.tx != "" && (!s.inTx || s.owner != "" && s.owner != st.tx):
		w.breach("PINNED", "%s ran %s outside its transaction %s (%s)", b.id, id, st.tx, s.owner)
	case st.tx != "":
		s.owner = st.tx
	}
	if word != "READ" {
		return
	}
	now := time.Now()
	have := b.applied(now)
	holds := func(log []Entry, data string) bool {
		for n := len(log); n > 0; n-- {
			for _, d := range log[n-1].items {
				if d == data {
					return true
				}
			}
		}
		return false
	}
	check := func(data string) {
		if !holds(b.log[:have], data) && holds(b.group.leader.log, data) {
			w.mu.Lock()
			st.stale = append(st.stale, fmt.Sprintf("%s (%s, term %d, %d of %d) ran read %s, sent at %.3f, without %s", b.id, b.role, b.term, have, len(b.group.leader.log), id, st.sentAt.Sub(w.start).Seconds(), data))
			w.mu.Unlock()
		}
	}
	g := b.group
	for n := len(g.acks) - 1; n >= 0; n-- {
		if g.acks[n].at.Before(st.since) {
			check(g.acks[n].data)
			break
		}
	}
	for _, d := range st.own {
		check(d)
	}
}

func (w *World) ranCommit(id, owner string) {
	st := w.stmt(id)
	if st == nil {
		w.breach("UNASKED", "commit with unknown id %s", id)
	} else if owner != "" && st.tx != owner {
		w.breach("PINNED", "commit %s of %s in the transaction of %s", id, st.tx, owner)
	}
}

// committed records a commit; the group's lock is held.
func (w *World) committed(b *Backend, items map[string]string) {
	w.note("%s commits %d.%d: %v", b.id, b.term, len(b.log), items)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range items {
		n := 0
		for _, e := range b.log {
			for _, x := range e.items {
				if x == d {
					n++
				}
			}
		}
		if n > 1 {
			w.broken["TWICE"]++
			w.note("BROKEN TWICE: %s at %s", d, b.id)
		}
		w.commits[d]++
		if b != b.group.leader {
			w.oldAt[d] = fmt.Sprintf("%s term %d", b.id, b.term)
		}
	}
}

// Instance is one process of the system.
type Instance struct {
	world    *World
	n        int
	name     string
	zone     string
	front    string
	ready    string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	inUse    atomic.Bool
	missed   int
	cut      atomic.Bool
	// links are the proxies through which it reaches servers, by their IDs.
	links    map[string]*link
	logs     *os.File
	expected atomic.Bool
	taken    atomic.Bool
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fmt.Println("could not listen:", err)
		os.Exit(2)
	}
	return l
}

func (w *World) addInstance(zone string, zones []string) *Instance {
	i := &Instance{world: w, n: len(w.instances), name: fmt.Sprintf("edge-%s-%d", zone, len(w.instances)), zone: zone, links: map[string]*link{}}
	ip := fmt.Sprintf("127.0.%d.1", 10+i.n)
	store, cloud := listen("127.0.0.1"), listen("127.0.0.1")
	h := w.store.handler()
	go http.Serve(store, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.storeDown.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if i.cut.Load() {
			time.Sleep(3 * time.Second)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(rw, r.WithContext(context.WithValue(r.Context(), viewKey{}, i.view)))
	}))
	go http.Serve(cloud, w.cloud())
	i.front, i.ready = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
	internal := freePort(ip)
	zoneMap := map[string]string{}
	for _, z := range zones {
		zoneMap[z] = "region"
	}
	settings := map[string]any{
		"nodeName": i.name, "role": "instance", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone, "region": "region",
		"zones": zoneMap, "listenAddrs": map[string]string{"front": i.front, "ready": i.ready}, "internalPortRange": []int{internal, internal + 15},
		"seedNodes": []string{}, "bootstrap": true, "heartbeatMs": 1200,
		"limits":  map[string]any{"cpuShare": 0.8, "cpuCores": 1, "memoryMb": 414, "maxFds": 6300, "linkMbps": 1500.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entryPoint": "virtual_ip",
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sql", "platform"},
		"bounds": map[string]any{
			"stableWindowMs": 4000, "drainMs": 7000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250,
			"skewBoundMs": 12000, "recoveryS": 12, "fencingRequired": false, "thawSlackMs": 300,
		},
		"platform": map[string]any{"address": store.Addr().String(), "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
		"cloudApi": map[string]any{"address": cloud.Addr().String(), "ratePerS": 50.0, "duties": []string{"failover"}, "dutyPerS": 50.0},
	}
	text, _ := json.MarshalIndent(settings, "", " ")
	i.settings = filepath.Join(w.dir, i.name+".json")
	_ = os.WriteFile(i.settings, text, 0o644)
	i.logs, _ = os.Create(filepath.Join(w.dir, i.name+".log"))
	w.instances = append(w.instances, i)
	return i
}

// run starts the process and starts it again whenever it ends.
func (i *Instance) run() {
	program := *program
	if *old != "" && i.n%2 == 1 {
		program = *old
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	cmd := exec.Command(program, "platform", "--metrics-port=9464") // as in deploy/system.toml
	cmd.Env = append(os.Environ(), "ANVILTACK_NODE_FILE="+i.settings)
	cmd.Stdout, cmd.Stderr = i.logs, i.logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fmt.Println("could not start:", err)
		os.Exit(2)
	}
	i.cmd, i.exited = cmd, make(chan struct{})
	exited := i.exited
	go func() {
		err := cmd.Wait()
		if !i.expected.Swap(false) && !i.world.over.Load() {
			i.world.breach("EXIT", "%s ended by itself: %v", i.name, err)
		}
		close(exited)
	}()
}

func (i *Instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(s)
	}
}

func (w *World) cloud() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(rw http.ResponseWriter, r *http.Request) {
		var b struct{ Service, ID string }
		_ = json.NewDecoder(r.Body).Decode(&b)
		w.note("promote %s %s by %s token %s", b.Service, b.ID, r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"))
		time.Sleep(4 * time.Millisecond)
		if w.slowCloud.Load() {
			time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
		}
		rw.WriteHeader(w.groups[b.Service].Promote(b.ID))
	})
	return mux
}

// probe asks the instances whether they are ready, once a second.
func (w *World) probe() {
	client := http.Client{Timeout: 800 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for range time.Tick(time.Second) {
		for _, i := range w.instances {
			go func() {
				r, err := client.Get("http://" + i.ready + "/v1/readiness")
				ok := err == nil && r.StatusCode == 200
				if err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					r.Body.Close()
				}
				i.mu.Lock()
				if ok {
					i.missed = 0
					i.inUse.Store(true)
				} else if i.missed++; i.missed >= 2 {
					i.inUse.Store(false)
				}
				i.mu.Unlock()
			}()
		}
	}
}

func (w *World) pick(r *rand.Rand) *Instance {
	var list []*Instance
	for _, i := range w.instances {
		if i.inUse.Load() {
			list = append(list, i)
		}
	}
	if len(list) == 0 {
		return w.instances[r.IntN(len(w.instances))]
	}
	return list[r.IntN(len(list))]
}

// Route is a route of the configuration.
type Route struct {
	host  string
	kind  string
	group string
	stale time.Duration
}

// client is one session of a client.
type client struct {
	w        *World
	r        *rand.Rand
	route    Route
	conn     net.Conn
	in       *bufio.Reader
	values   map[string]string
	prepared map[string]string
	own      []string
	where    string
}

type reply struct {
	rows  []string
	sig   string
	code  string
	state string
	err   error
}

var promises = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MOVED": true, "MAXCONN": true}

func (c *client) ask(id, text string) reply {
	_ = c.conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return reply{err: err}
	}
	var a reply
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			a.err = err
			return a
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.sig = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		default:
			a.err = fmt.Errorf("message %q", line)
			return a
		}
	}
}

var ids atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", ids.Add(1)*0x9e3779b97f4a7c15) }

func (c *client) send(st *Stmt, text string) (string, reply) {
	id := newID()
	st.sigs, st.rows = map[string]bool{}, map[string]bool{}
	c.w.mu.Lock()
	c.w.stmts[id] = st
	c.w.mu.Unlock()
	c.w.note("sent %s to %s on %s: %s", id, c.where, c.route.host, text)
	a := c.ask(id, text)
	c.w.note("answered %s: rows %v, signature %q, error %q, state %q, end %v", id, a.rows, a.sig, a.code, a.state, a.err)
	c.w.mu.Lock()
	key := st.word + " " + a.code
	if a.err != nil && a.code != "" {
		key += " and close"
	} else if a.err != nil {
		key = st.word + " no answer"
	}
	c.w.counts[key]++
	ok := a.code == "" && a.sig != "" && (a.err == nil || a.state != "")
	bad := ok && st.word != "BEGIN" && st.word != "ROLLBACK" && st.word != "SET" && st.word != "PREPARE" && !st.sigs[a.sig]
	if ok && st.word == "READ" {
		bad = bad || len(a.rows) != 1 || !st.rows[a.rows[0]]
	}
	stale := st.stale
	c.w.mu.Unlock()
	if ok && len(stale) > 0 && strings.Contains(stale[len(stale)-1], a.sig[strings.Index(a.sig, ".")+1:]) {
		c.w.breach("STALE", "%s answered read by %s", c.where, stale[len(stale)-1])
	}
	if bad {
		c.w.breach("MIXED", "%s answered %v %s to %s", c.where, a.rows, a.sig, id)
	}
	return id, a
}

func (c *client) stmt(word, item, data, tx string, since time.Time) *Stmt {
	st := &Stmt{sentAt: time.Now(), word: word, item: item, data: data, tx: tx, group: c.w.groups[c.route.group], values: maps.Clone(c.values), since: since, isRead: word == "READ"}
	if c.route.kind == "read_your_writes" || c.route.kind == "primary" {
		st.own = c.own[max(0, len(c.own)-3):]
	}
	return st
}

// text returns a statement's text, sometimes as that of a prepared statement.
func (c *client) text(st *Stmt) (string, bool) {
	if c.r.IntN(4) == 0 {
		name := "s" + string(rune('1'+c.r.IntN(3)))
		shape := fmt.Sprintf("q%d", c.r.IntN(5))
		if c.prepared[name] != st.word+" "+shape {
			p := &Stmt{sentAt: time.Now(), word: "PREPARE", values: c.values, group: st.group}
			if _, a := c.send(p, fmt.Sprintf("PREPARE %s %s %s", name, st.word, shape)); a.err != nil || a.code != "" {
				return "", false
			}
			c.prepared[name] = st.word + " " + shape
		}
		st.shape = shape
		return strings.TrimSpace(fmt.Sprintf("EXECUTE %s %s %s", name, st.item, st.data)), true
	}
	return strings.TrimSpace(fmt.Sprintf("%s %s %s", st.word, st.item, st.data)), true
}

func (c *client) ackWrites(data []string) {
	g := c.w.groups[c.route.group]
	g.mu.Lock()
	now := time.Now()
	for _, d := range data {
		g.acks = append(g.acks, ack{now, d})
	}
	g.mu.Unlock()
	c.own = append(c.own, data...)
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	for _, d := range data {
		c.w.acked[d] = now
		if c.w.commits[d] == 0 {
			c.w.broken["MIXED"]++
			c.w.note("BROKEN MIXED: %s acknowledged, never committed", d)
		}
		if o := c.w.oldAt[d]; o != "" {
			c.w.broken["ONE"]++
			c.w.note("BROKEN ONE: %s committed at replaced primary %s and acknowledged", d, o)
		}
	}
}

func (c *client) promise(data []string, code string) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	for _, d := range data {
		c.w.promised[d] = code
	}
}

var writes atomic.Uint64

// operation runs one operation and reports whether the session goes on.
func (c *client) operation() bool {
	r := c.r
	item := fmt.Sprintf("k%d", r.IntN(50))
	began := time.Now()
	since := began.Add(-c.route.stale)
	switch n := r.IntN(20); {
	case n == 0:
		name, v := fmt.Sprintf("v%d", r.IntN(3)), fmt.Sprint(r.IntN(5))
		st := &Stmt{sentAt: began, word: "SET", values: c.values, group: c.w.groups[c.route.group]}
		_, a := c.send(st, "SET "+name+" "+v)
		if a.err != nil || a.code != "" {
			return false
		}
		c.values[name] = v
		return true
	case n < 11 || c.route.kind == "bounded_staleness" && n < 17:
		st := c.stmt("READ", item, "", "", since)
		text, ok := c.text(st)
		if !ok {
			return false
		}
		st.sentAt = time.Now()
		st.since = st.sentAt.Add(-c.route.stale)
		_, a := c.send(st, text)
		return a.err == nil && a.state == "I"
	case n < 15:
		d := fmt.Sprintf("d%d", writes.Add(1))
		st := c.stmt("WRITE", item, d, "", since)
		text, ok := c.text(st)
		if !ok {
			return false
		}
		_, a := c.send(st, text)
		switch {
		case a.code == "" && a.sig != "":
			c.ackWrites([]string{d})
		case promises[a.code]:
			c.promise([]string{d}, a.code)
		}
		return a.err == nil && a.state == "I"
	}
	return c.transaction(since)
}

func (c *client) transaction(since time.Time) bool {
	r := c.r
	tx := newID()
	readOnly := c.route.kind == "bounded_staleness" || r.IntN(3) == 0
	begin := "BEGIN"
	if readOnly {
		begin = "BEGIN READ"
	}
	st := c.stmt("BEGIN", "", "", tx, since)
	if _, a := c.send(st, begin); a.err != nil || a.code != "" {
		return a.err == nil && a.state == "I"
	}
	var data []string
	used := map[string]bool{}
	for range 1 + r.IntN(4) {
		if r.IntN(40) == 0 {
			return false // leaves in the middle
		}
		time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
		item := fmt.Sprintf("k%d", r.IntN(50))
		st := c.stmt("READ", item, "", tx, since)
		if !readOnly && !used[item] && r.IntN(2) == 0 {
			used[item] = true
			d := fmt.Sprintf("d%d", writes.Add(1))
			st = c.stmt("WRITE", item, d, tx, since)
			data = append(data, d)
		}
		_, a := c.send(st, strings.TrimSpace(fmt.Sprintf("%s %s %s", st.word, st.item, st.data)))
		if promises[a.code] {
			c.promise(data, a.code)
		}
		if a.err != nil {
			return false
		}
		if a.state == "I" {
			return true
		}
		if a.code != "" {
			break
		}
	}
	end := "COMMIT"
	if r.IntN(8) == 0 {
		end = "ROLLBACK"
	}
	_, a := c.send(c.stmt(end, "", "", tx, since), end)
	switch {
	case end == "COMMIT" && a.code == "" && a.sig != "":
		c.ackWrites(data)
	case end == "COMMIT" && promises[a.code], end == "ROLLBACK" && a.code == "" && a.sig != "":
		c.promise(data, end+" "+a.code)
	}
	return a.err == nil && a.state == "I"
}

func (w *World) client(r *rand.Rand, routes []Route) {
	for !w.ended.Load() {
		w.session(r, routes[r.IntN(len(routes))])
		time.Sleep(time.Duration(20+r.IntN(100)) * time.Millisecond)
	}
}

func (w *World) session(r *rand.Rand, route Route) {
	i := w.pick(r)
	conn, err := net.DialTimeout("tcp", i.front, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	c := &client{w: w, r: r, route: route, conn: conn, in: bufio.NewReader(conn), values: map[string]string{}, prepared: map[string]string{}, where: i.name}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "CONNECT %s key%d\r\n", route.host, r.IntN(3))
	line, err := c.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		return
	}
	for n := 3 + r.IntN(60); n > 0 && !w.ended.Load(); n-- {
		if !c.operation() {
			return
		}
		time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
	}
	fmt.Fprintf(conn, "BYE\r\n")
}
