package main

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

var (
	program  = flag.String("program", "target/anviltack", "program of the system")
	record   = flag.String("record", "record.txt", "file for what was seen")
	seed     = flag.Uint64("seed", 1, "seed")
	length   = flag.Duration("time", 60*time.Second, "length of the run")
	trouble  = flag.Bool("trouble", true, "whether to disturb")
	clients  = flag.Int("clients", 60, "sessions")
	maxConn  = flag.Int("maxconn", 60, "connections to a server")
	number   = flag.Int("instances", 3, "instances")
	scenario = flag.String("scenario", "soak", "soak, split, restart or survivor")
	old      = flag.String("old", "", "program of every second instance, if not empty")
	rule     = flag.String("rule", "", "rule that makes the exit code 1; any if empty")
	kinds    = flag.String("kinds", "", "kinds of disruptions of the soak")
	keep     = flag.Bool("keep", false, "keep the folder with the logs")
)

func main() {
	flag.Parse()
	f, err := os.Create(*record)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		os.Exit(2)
	}
	w := &World{
		store: newStore(), groups: map[string]*Group{}, record: bufio.NewWriterSize(f, 1<<20), dir: dir, start: time.Now(), stmts: map[string]*Stmt{},
		commits: map[string]int{}, oldAt: map[string]string{}, promised: map[string]string{}, acked: map[string]time.Time{},
		broken: map[string]int{}, counts: map[string]int{},
	}
	r := rand.New(rand.NewPCG(*seed, 1))
	zones := []string{"a", "b", "c"}
	groups := 2
	if *scenario != "soak" {
		groups = 1
	}
	for n := range groups {
		g := &Group{name: fmt.Sprintf("svc%d", n), term: 1, promote: 300 * time.Millisecond, lag: 20 * time.Millisecond, world: w}
		w.groups[g.name] = g
		for k, z := range zones {
			b := newBackend(g, z, r)
			b.term, b.role = 1, "replica"
			if k == n {
				b.role, g.leader = "primary", b
			}
			g.backends = append(g.backends, b)
		}
	}
	var routes []Route
	var routeList []map[string]any
	var services []map[string]any
	for n := range groups {
		g := w.groups[fmt.Sprintf("svc%d", n)]
		services = append(services, map[string]any{"name": g.name, "maxConnections": *maxConn, "syncReplicas": 0})
		for _, k := range []Route{{kind: "primary"}, {kind: "bounded_staleness", stale: 1500 * time.Millisecond}, {kind: "read_your_writes", stale: 2500 * time.Millisecond}} {
			k.group, k.host = g.name, g.name+k.kind[:1]
			routes = append(routes, k)
			routeList = append(routeList, map[string]any{"host": k.host, "service": g.name, "routeType": k.kind, "timeoutMs": 1000, "targetLatencyMs": 400, "maxStalenessMs": k.stale.Milliseconds(), "priority": 1})
		}
		go g.replicate()
		for _, b := range g.backends {
			b.mayBeat.Store(true)
			if err := b.start(); err != nil {
				fmt.Println(err)
				os.Exit(2)
			}
			go func() {
				for {
					time.Sleep(1200 * time.Millisecond)
					b.beat()
				}
			}()
		}
	}
	w.store.Put("op/config", map[string]any{"version": 7, "routes": routeList, "services": services, "limits": map[string]any{"txIdleMs": 3000}})
	for n := range *number {
		w.addInstance(zones[n%len(zones)], zones)
	}
	for _, i := range w.instances {
		if *scenario == "split" {
			for _, b := range w.groups["svc0"].backends {
				i.links[b.id] = newLink(func() string { return b.address })
			}
		}
		i.run()
	}
	go w.probe()
	w.store.late = func() time.Duration {
		if w.lateStore.Load() && rand.IntN(3) == 0 {
			return time.Duration(1000+rand.IntN(5000)) * time.Millisecond
		}
		return 0
	}
	go func() {
		for range time.Tick(time.Second) {
			w.mu.Lock()
			w.copies = append(w.copies, w.store.Copy())
			w.mu.Unlock()
		}
	}()
	time.Sleep(3 * time.Second)
	for n := range *clients {
		go w.client(rand.New(rand.NewPCG(*seed, uint64(100+n))), routes)
	}
	switch {
	case !*trouble:
	case *scenario == "split":
		go w.split(w.groups["svc0"])
	case *scenario == "survivor":
		go w.survivor(w.groups["svc0"])
	case *scenario == "restart":
		go w.restart(w.groups["svc0"])
	default:
		go w.soak(rand.New(rand.NewPCG(*seed, 2)))
	}
	time.Sleep(*length)
	w.ended.Store(true)
	time.Sleep(2 * time.Second)
	w.over.Store(true)
	for _, i := range w.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
	}
	code := w.verdict()
	w.recordMu.Lock()
	_ = w.record.Flush()
	os.Exit(code)
}

func (w *World) verdict() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for d, code := range w.promised {
		if w.commits[d] > 0 {
			w.broken["REFUSED"]++
			w.note("BROKEN REFUSED: %s was answered with %s, and committed", d, code)
		}
	}
	lost := 0
	for _, g := range w.groups {
		have := map[string]bool{}
		for _, e := range g.leader.log {
			for _, d := range e.items {
				have[d] = true
			}
		}
		for _, a := range g.acks {
			if !have[a.data] {
				lost++
				w.note("not in the log of the newest primary: %s, acknowledged at %v", a.data, a.at.Sub(w.start))
			}
		}
	}
	w.note("counts %v", w.counts)
	w.note("acknowledged %d, lost %d", len(w.acked), lost)
	w.note("broken %v", w.broken)
	fmt.Println("broken:", w.broken, "acknowledged:", len(w.acked), "of these lost:", lost)
	if !*keep {
		_ = os.RemoveAll(w.dir)
	}
	if *rule == "" && len(w.broken) > 0 || w.broken[*rule] > 0 {
		return 1
	}
	return 0
}

var backendCount int

func newBackend(g *Group, zone string, r *rand.Rand) *Backend {
	backendCount++
	ip := fmt.Sprintf("127.0.%d.2", 30+backendCount%200)
	b := &Backend{
		group: g, id: fmt.Sprintf("i-%08x", r.Uint32()), zone: zone, address: fmt.Sprintf("%s:%d", ip, freePort(ip)), born: time.Now().UnixMilli(),
		state: "ready", slots: make(chan struct{}, 3),
	}
	b.work = func() time.Duration { return time.Duration(1+rand.IntN(8)) * time.Millisecond }
	b.lose = func(string) string { return "" }
	return b
}

func newServerID(r *rand.Rand) string { return fmt.Sprintf("i-%08x", r.Uint32()) }
