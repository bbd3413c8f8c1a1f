package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	// The import makes the test run again when the program changes.
	_ "anviltack/cli"
	"anviltack/core"
	"anviltack/core/patch"
	"anviltack/io/caller"
	"anviltack/io/operator"
	"anviltack/standin/endpoint"
	"anviltack/standin/platform"
)

// patience bounds every wait; no test depends on its length.
const patience = 30 * time.Second

const (
	token    = "operator-token"
	password = "secret"
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "anviltack")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "anviltack")
	build := exec.Command("go", "build", "-o", binary, "anviltack")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// site is a platform, one group of endpoints and instances.
type site struct {
	t         testing.TB
	platform  netip.AddrPort
	control   netip.AddrPort
	endpoints map[core.Endpoint]patch.Endpoint
	controls  map[core.Endpoint]netip.AddrPort
	instances map[string]*instance
	version   uint64
	// connections is how many connections each endpoint accepts.
	connections int
}

// instance is one process.
type instance struct {
	name      string
	callers   netip.AddrPort
	operators netip.AddrPort
	peers     netip.AddrPort
	command   *exec.Cmd
	log       string
	// ended is closed when the process is gone; status is its exit status.
	ended  chan struct{}
	status int
}

func newSite(t testing.TB) *site {
	s := &site{
		t: t, platform: freeAddress(t), control: freeAddress(t),
		endpoints: make(map[core.Endpoint]patch.Endpoint),
		controls:  make(map[core.Endpoint]netip.AddrPort),
		instances: make(map[string]*instance), connections: 40,
	}
	s.run(platform.New(s.platform, s.control).Run)
	return s
}

// run runs a stand-in until the test ends.
func (s *site) run(serve func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = serve(ctx)
	}()
	s.t.Cleanup(func() {
		stop()
		<-done
	})
}

// startEndpoints runs three endpoints, e1 as primary.
func (s *site) startEndpoints(more ...endpoint.Option) {
	names := []core.Endpoint{"e1", "e2", "e3"}
	for _, n := range names {
		s.endpoints[n] = patch.Endpoint{Address: freeAddress(s.t), DataCentre: "a", Slots: 3, Connections: s.connections}
		s.controls[n] = freeAddress(s.t)
	}
	for i, n := range names {
		var peers []netip.AddrPort
		for _, other := range names {
			if other != n {
				peers = append(peers, s.controls[other])
			}
		}
		options := append([]endpoint.Option{endpoint.WithPeers(peers...), endpoint.WithMaxConnections(s.connections)}, more...)
		if i == 0 {
			options = append(options, endpoint.WithPrimary())
		}
		s.run(endpoint.New(s.endpoints[n].Address, s.controls[n], options...).Run)
	}
}

// firstPatch is a whole configuration.
func (s *site) firstPatch() json.RawMessage {
	verifier, err := caller.Verifier(password, []byte("0123456789abcdef"))
	if err != nil {
		s.t.Fatal(err)
	}
	c := patch.Config{
		Groups:    map[core.Group]patch.Group{},
		Databases: map[core.Database]patch.Database{},
		Callers:   map[core.Caller]patch.Caller{},
		Limits:    patch.Limits{Deadline: patch.Duration(patience), TransactionIdle: patch.Duration(patience), Queue: 100},
	}
	if len(s.endpoints) > 0 {
		c.Groups["g"] = patch.Group{Endpoints: s.endpoints}
		c.Databases["index"] = patch.Database{Group: "g", Kinds: map[core.Kind]patch.Kind{"series": {Age: patch.Duration(time.Hour)}}}
		c.Callers["valuer"] = patch.Caller{Secret: verifier, Databases: []core.Database{"index"}}
	}
	b, err := json.Marshal(c)
	if err != nil {
		s.t.Fatal(err)
	}
	return b
}

// start runs an instance as a process.
func (s *site) start(name, dataCentre string, more ...string) *instance {
	p := &instance{
		name: name, callers: freeAddress(s.t), operators: freeAddress(s.t), peers: freeAddress(s.t),
		ended: make(chan struct{}),
	}
	s.instances[name] = p
	dir := s.t.TempDir()
	p.log = filepath.Join(dir, "log")
	settings := fmt.Sprintf(`{"instance": %q, "data_centre": %q, "callers": %q, "operators": %q, "peers": %q,
		"platform": [%q], "token": %q%s}`, name, dataCentre, p.callers, p.operators, p.peers, s.platform, token, strings.Join(more, ""))
	file := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
	out, err := os.Create(p.log)
	if err != nil {
		s.t.Fatal(err)
	}
	p.command = exec.Command(binary, "serve", file)
	p.command.Stderr = out
	if err := p.command.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait()
		_ = out.Close()
		p.status = p.command.ProcessState.ExitCode()
		close(p.ended)
	}()
	s.t.Cleanup(func() { s.kill(p) })
	return p
}

// kill ends a process without warning.
func (s *site) kill(p *instance) {
	_ = p.command.Process.Kill()
	<-p.ended
}

func (p *instance) client() operator.Client {
	return operator.Client{Addresses: []netip.AddrPort{p.operators}, Token: token, HTTP: http.DefaultClient}
}

func (p *instance) statusOf() (operator.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var got operator.Status
	err := p.client().Get(ctx, "/status", &got)
	return got, err
}

// submit brings a patch in through one instance.
func (s *site) submit(p *instance, body json.RawMessage) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r := patch.Request{ID: fmt.Sprint("patch-", s.version+1), Base: s.version, Who: "test", Why: "test", Patch: body}
	a, err := p.client().Submit(ctx, r)
	if err != nil {
		s.t.Fatal(err)
	}
	s.version = a.Version
}

// awaitVersion waits until every running instance has the newest version in force.
func (s *site) awaitVersion() {
	s.t.Helper()
	for _, p := range s.instances {
		if p.isRunning() {
			s.until(fmt.Sprintf("version %d on %s", s.version, p.name), func() bool {
				got, err := p.statusOf()
				return err == nil && got.Version == s.version
			})
		}
	}
}

// awaitMembers waits until every running instance knows n live instances.
func (s *site) awaitMembers(n int) {
	s.t.Helper()
	for _, p := range s.instances {
		if p.isRunning() {
			s.until(fmt.Sprintf("%d live members on %s", n, p.name), func() bool { return p.live() == n })
		}
	}
}

func (p *instance) live() int {
	got, _ := p.statusOf()
	n := 0
	for _, m := range got.Instances {
		if m.State == "live" {
			n++
		}
	}
	return n
}

func (p *instance) isRunning() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (s *site) until(what string, met func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if met() {
			return
		}
	}
	for _, p := range s.instances {
		text, _ := os.ReadFile(p.log)
		s.t.Logf("log of %s:\n%s", p.name, text)
	}
	s.t.Fatalf("not met: %s", what)
}

// fault sets the platform's faults.
func (s *site) fault(body string) {
	s.t.Helper()
	r, err := http.NewRequest(http.MethodPut, "http://"+s.control.String()+"/fault", bytes.NewReader([]byte(body)))
	if err != nil {
		s.t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = answer.Body.Close()
}

// calls returns how many calls of each kind the platform got.
func (s *site) calls() map[string]int {
	s.t.Helper()
	answer, err := http.Get("http://" + s.control.String() + "/stats")
	if err != nil {
		s.t.Fatal(err)
	}
	defer answer.Body.Close() //nolint:errcheck // Nothing is left to read.
	var stats platform.Stats
	if err := json.NewDecoder(answer.Body).Decode(&stats); err != nil {
		s.t.Fatal(err)
	}
	return stats.Calls
}

// Ports of the tests' servers; systems take those of outgoing connections from a
// range above.
const (
	firstPort = 18000
	lastPort  = 32000
)

// nextPort is tried next; it starts anywhere, so that test runs side by side
// seldom meet.
var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(lastPort - firstPort)) }

// freeAddress returns a loopback address that nobody listens on and that was not
// returned lately.
func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	for range lastPort - firstPort {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+nextPort.Add(1)%(lastPort-firstPort)))
		if l, err := net.Listen("tcp", address.String()); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free address")
	return netip.AddrPort{}
}
