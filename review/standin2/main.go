package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		stopAll()
		os.Exit(2)
	}
}

var (
	processesMu sync.Mutex
	processes   []*instance
)

// instance is a process of the project.
type instance struct {
	name, ip string
	front    string
	ready    string
	cmd      *exec.Cmd
	done     chan struct{}
	err      error
	log      *os.File
	settings string
	program  string
}

func stopAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" && temporary != "" {
		_ = os.RemoveAll(temporary)
	}
}

// deployment is what all instances have in common.
type deployment struct {
	dir      string
	store    string
	cloud    string
	zones    []string
	ports    [3]int
	memoryMB int
	command  []string
	// bounds and contracts are those of the settings.
	bounds    map[string]any
	contracts []string
}

// newDeployment returns a small deployment and its store.
func newDeployment(memoryMB int) (*deployment, *kvStore) {
	dir, err := os.MkdirTemp("", "review2-")
	check(err)
	temporary = dir
	st := newStore()
	go st.expire()
	d := &deployment{
		dir: dir, zones: []string{"bkk-a", "bkk-b", "nonth-a"}, memoryMB: memoryMB, command: strings.Fields(os.Getenv("RUN")),
		ports:     freePorts(),
		contracts: []string{"base", "drain", "config", "cost", "recover", "sql", "platform"},
		bounds:    map[string]any{"seedLagS": 3, "addressReuseS": 2, "stableWindowMs": 5000, "ackTimeoutMs": 8000, "catchUpS": 6, "drainMs": 10000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 5000, "rollbackSlackMs": 250, "skewBoundMs": 15000, "recoveryS": 15, "fencingRequired": false, "thawSlackMs": 300},
	}
	if len(d.command) == 0 {
		d.command = []string{"target/anviltack", "platform", "--metrics-port=9464"}
	}
	d.store = serveHTTP("127.0.0.1:0", st.handler())
	return d, st
}

// temporary is the folder of settings and logs, which is removed at the end.
var temporary string

// startCloud starts the service that promotes.
func (d *deployment) startCloud(services ...*service) {
	d.cloud = serveHTTP("127.0.0.1:0", cloud(services, func(s, id, holder string, token uint64) {
		note("platform gets POST /promote %s %s from %s with token %d", s, id, holder, token)
	}))
}

// startAll starts n instances and waits until they are ready and know the backends.
func (d *deployment) startAll(n int) []*instance {
	var list []*instance
	for i := range n {
		list = append(list, d.start(i, ""))
	}
	for _, in := range list {
		if !in.awaitReady(10 * time.Second) {
			check(fmt.Errorf("%s is not ready", in.name))
		}
	}
	time.Sleep(4 * time.Second) // the first voters are stored
	return list
}

// freePorts returns a port for callers, one for probes and the first of 16 for instances. The
// addresses of the instances are used by nothing else.
func freePorts() [3]int {
	p := freePort()
	for p > 60000 {
		p = freePort()
	}
	return [3]int{p, p + 1, p + 2}
}

func freePort() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func (d *deployment) start(k int, cloudAddress string) *instance {
	ip := fmt.Sprintf("127.0.9.%d", k+1)
	zone := d.zones[k%len(d.zones)]
	zones := map[string]string{}
	for _, z := range d.zones {
		zones[z] = "th-central"
	}
	in := &instance{name: fmt.Sprintf("edge-%s-%d", zone, k+1), ip: ip, front: fmt.Sprintf("%s:%d", ip, d.ports[0]), ready: fmt.Sprintf("%s:%d", ip, d.ports[1])}
	if cloudAddress == "" {
		cloudAddress = d.cloud
	}
	settings := map[string]any{
		"nodeName": in.name, "role": "instance", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone, "region": "th-central", "zones": zones,
		"listenAddrs": map[string]string{"front": in.front, "ready": in.ready}, "internalPortRange": []int{d.ports[2], d.ports[2] + 15},
		"seedNodes": []string{}, "bootstrap": true, "faultCounted": false,
		"limits":  map[string]any{"cpuShare": 0.8, "cpuCores": 1, "memoryMb": d.memoryMB, "maxFds": 8400, "linkMbps": 2000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entryPoint": "virtual_ip", "heartbeatMs": 1200,
		"contracts":      d.contracts,
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds":         d.bounds,
		"platform":       map[string]any{"address": d.store, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
		"cloudApi":       map[string]any{"address": cloudAddress, "ratePerS": 50.0, "duties": []string{"failover"}, "dutyPerS": 50.0},
	}
	b, _ := json.MarshalIndent(settings, "", "  ")
	in.settings = filepath.Join(d.dir, in.name+".json")
	check(os.WriteFile(in.settings, b, 0o644))
	var err error
	in.log, err = os.Create(filepath.Join(d.dir, in.name+".log"))
	check(err)
	in.program = d.command[0]
	in.run(d.command)
	return in
}

func (in *instance) run(command []string) {
	in.cmd = exec.Command(command[0], command[1:]...)
	in.cmd.Env = append(os.Environ(), "ANVILTACK_NODE_FILE="+in.settings)
	in.cmd.Stdout, in.cmd.Stderr = in.log, in.log
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in.done = make(chan struct{})
	check(in.cmd.Start())
	cmd, done := in.cmd, in.done
	go func() { in.err = cmd.Wait(); close(done) }()
	processesMu.Lock()
	processes = append(processes, in)
	processesMu.Unlock()
}

func (in *instance) exited() bool {
	select {
	case <-in.done:
		return true
	default:
		return false
	}
}

// residentMB is the resident memory of the process.
func (in *instance) residentMB() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(l, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(v)[0])
			return n / 1024
		}
	}
	return 0
}

// awaitReady waits until the instance answers its probe, and goes on probing once a second.
func (in *instance) awaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		r, err := client.Get("http://" + in.ready + "/v1/readiness")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == 200 {
			go func() {
				for range time.Tick(time.Second) {
					if r, err := client.Get("http://" + in.ready + "/v1/readiness"); err == nil {
						_ = r.Body.Close()
					}
				}
			}()
			return true
		}
	}
	return false
}

// client is a caller's session.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

func dialClient(address, database, key string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	cl := &client{conn: c, r: bufio.NewReaderSize(c, 1<<16)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "CONNECT %s %s\r\n", database, key)
	l, err := cl.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(l, "READY") {
		_ = c.Close()
		return nil, fmt.Errorf("connect: %q %v", l, err)
	}
	_ = c.SetDeadline(time.Time{})
	return cl, nil
}

type answer struct {
	rows     int
	bytes    int
	first    string
	complete string
	err      string
	state    string
}

func (c *client) query(id, text string, limit time.Duration) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	return c.read()
}

func (c *client) read() (answer, error) {
	var a answer
	for {
		l, err := c.r.ReadString('\n')
		if err != nil {
			return a, err
		}
		l = strings.TrimSuffix(l, "\r\n")
		word, rest, _ := strings.Cut(l, " ")
		switch word {
		case "ROW":
			if a.rows == 0 {
				a.first = rest
			}
			a.rows++
			a.bytes += len(rest)
		case "COMPLETE":
			a.complete = rest
		case "ERROR":
			a.err = rest
		case "READY":
			a.state = rest
			return a, nil
		}
	}
}

// configuration returns the operator's configuration.
func configuration(version int, services []string, timeout int) map[string]any {
	var routes, list []map[string]any
	for _, s := range services {
		routes = append(routes,
			map[string]any{"name": "r-" + s + "p", "host": s + "primary", "prefix": "/", "routeType": "primary", "timeoutMs": timeout, "targetLatencyMs": 200, "priority": 1, "service": s, "maxAttempts": 2},
			map[string]any{"name": "r-" + s + "b", "host": s + "bounded", "prefix": "/", "routeType": "bounded_staleness", "timeoutMs": 3000, "targetLatencyMs": 800, "priority": 2, "service": s, "maxAttempts": 2, "maxStalenessMs": 1500},
			map[string]any{"name": "r-" + s + "o", "host": s + "own", "prefix": "/", "routeType": "read_your_writes", "timeoutMs": timeout, "targetLatencyMs": 400, "priority": 2, "service": s, "maxAttempts": 2, "maxStalenessMs": 2500})
		list = append(list, map[string]any{"name": s, "healthCheckPath": "/health", "maxConnections": 60, "protocol": "h1", "tls": false, "syncReplicas": 0})
	}
	return map[string]any{"version": version, "routes": routes, "services": list, "limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000}}
}

var cases map[string]func(trouble bool) int

func main() {
	cases = map[string]func(trouble bool) int{"tenant": runTenant, "slow": runSlow, "token": runToken, "restart": runRestart}
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE")
		os.Exit(2)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		os.Exit(2)
	}
	openRecord()
	time.AfterFunc(110*time.Second, func() { check(errors.New("the case took too long")) })
	code := run(os.Getenv("TROUBLE") != "0")
	stopAll()
	os.Exit(code)
}
