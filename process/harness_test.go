package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	// Makes cached results of these tests depend on the program.
	_ "anviltack/cli"
	"anviltack/core"
	"anviltack/core/patch"
	"anviltack/io/caller"
	"anviltack/io/operator"
	"anviltack/standin/endpoint"
	"anviltack/standin/loopback"
	"anviltack/standin/platform"
)

// timeout bounds every wait; no test depends on its value.
const timeout = 30 * time.Second

const (
	token    = "operator-token"
	password = "secret"
)

// binary is the path of the program under test.
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

// harness runs a platform and one group of endpoints in the test, and instances as
// separate processes.
type harness struct {
	t               testing.TB
	platform        netip.AddrPort
	platformControl netip.AddrPort
	endpoints       map[core.Endpoint]patch.Endpoint
	controls        map[core.Endpoint]netip.AddrPort
	instances       map[string]*instance
	version         uint64
	// connections is the maximum number of connections to each endpoint.
	connections int
}

// instance is one process of the program under test.
type instance struct {
	name      string
	callers   netip.AddrPort
	operators netip.AddrPort
	peers     netip.AddrPort
	command   *exec.Cmd
	log       string
	// ended is closed when the process has exited; status is its exit status.
	ended  chan struct{}
	status int
}

func newHarness(t testing.TB) *harness {
	h := &harness{
		t: t, platform: freeAddress(t), platformControl: freeAddress(t),
		endpoints: make(map[core.Endpoint]patch.Endpoint),
		controls:  make(map[core.Endpoint]netip.AddrPort),
		instances: make(map[string]*instance), connections: 40,
	}
	h.runStandin(platform.New(h.platform, h.platformControl).Run)
	return h
}

// runStandin runs a stand-in in this process until the test ends.
func (h *harness) runStandin(serve func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = serve(ctx)
	}()
	h.t.Cleanup(func() {
		stop()
		<-done
	})
}

// startEndpoints starts three endpoints, e1 as primary.
func (h *harness) startEndpoints(more ...endpoint.Option) {
	names := []core.Endpoint{"e1", "e2", "e3"}
	for _, n := range names {
		h.endpoints[n] = patch.Endpoint{Address: freeAddress(h.t), DataCentre: "a", Slots: 3, Connections: h.connections}
		h.controls[n] = freeAddress(h.t)
	}
	for i, n := range names {
		var peers []netip.AddrPort
		for _, other := range names {
			if other != n {
				peers = append(peers, h.controls[other])
			}
		}
		options := append([]endpoint.Option{endpoint.WithPeers(peers...), endpoint.WithMaxConnections(h.connections)}, more...)
		if i == 0 {
			options = append(options, endpoint.WithPrimary())
		}
		h.runStandin(endpoint.New(h.endpoints[n].Address, h.controls[n], options...).Run)
	}
}

// firstPatch returns a patch with a complete configuration.
func (h *harness) firstPatch() json.RawMessage {
	verifier, err := caller.Verifier(password, []byte("0123456789abcdef"))
	if err != nil {
		h.t.Fatal(err)
	}
	c := patch.Config{
		Groups:    map[core.Group]patch.Group{},
		Databases: map[core.Database]patch.Database{},
		Callers:   map[core.Caller]patch.Caller{},
		Limits:    patch.Limits{Deadline: patch.Duration(timeout), TransactionIdle: patch.Duration(timeout), Queue: 100},
	}
	if len(h.endpoints) > 0 {
		c.Groups["g"] = patch.Group{Endpoints: h.endpoints}
		c.Databases["index"] = patch.Database{Group: "g", Kinds: map[core.Kind]patch.Kind{"series": {Age: patch.Duration(time.Hour)}}}
		c.Callers["valuer"] = patch.Caller{Secret: verifier, Databases: []core.Database{"index"}}
	}
	b, err := json.Marshal(c)
	if err != nil {
		h.t.Fatal(err)
	}
	return b
}

// startInstance starts an instance as a separate process.
func (h *harness) startInstance(name, dataCentre string, more ...string) *instance {
	p := &instance{
		name: name, callers: freeAddress(h.t), operators: freeAddress(h.t), peers: freeAddress(h.t),
		ended: make(chan struct{}),
	}
	h.instances[name] = p
	dir := h.t.TempDir()
	p.log = filepath.Join(dir, "log")
	settings := fmt.Sprintf(`{"instance": %q, "data_centre": %q, "callers": %q, "operators": %q, "peers": %q,
		"platform": [%q], "token": %q%s}`, name, dataCentre, p.callers, p.operators, p.peers, h.platform, token, strings.Join(more, ""))
	file := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		h.t.Fatal(err)
	}
	out, err := os.Create(p.log)
	if err != nil {
		h.t.Fatal(err)
	}
	p.command = exec.Command(binary, "serve", file)
	p.command.Stderr = out
	if err := p.command.Start(); err != nil {
		h.t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait()
		_ = out.Close()
		p.status = p.command.ProcessState.ExitCode()
		close(p.ended)
	}()
	h.t.Cleanup(func() { h.kill(p) })
	return p
}

// kill sends SIGKILL to an instance and waits until it has exited.
func (h *harness) kill(p *instance) {
	_ = p.command.Process.Kill()
	<-p.ended
}

func (p *instance) client() operator.Client {
	return operator.Client{Addresses: []netip.AddrPort{p.operators}, Token: token, HTTP: http.DefaultClient}
}

func (p *instance) fetchStatus() (operator.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var got operator.Status
	err := p.client().Get(ctx, "/status", &got)
	return got, err
}

// submit submits a patch through one instance.
func (h *harness) submit(p *instance, body json.RawMessage) {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r := patch.Request{ID: fmt.Sprint("patch-", h.version+1), Base: h.version, Who: "test", Why: "test", Patch: body}
	a, err := p.client().Submit(ctx, r)
	if err != nil {
		h.t.Fatal(err)
	}
	h.version = a.Version
}

// awaitVersion waits until every running instance has adopted the newest version.
func (h *harness) awaitVersion() {
	h.t.Helper()
	for _, p := range h.instances {
		if p.isRunning() {
			h.waitFor(fmt.Sprintf("version %d on %s", h.version, p.name), func() bool {
				got, err := p.fetchStatus()
				return err == nil && got.Version == h.version
			})
		}
	}
}

// awaitInstances waits until every running instance sees n live instances.
func (h *harness) awaitInstances(n int) {
	h.t.Helper()
	for _, p := range h.instances {
		if p.isRunning() {
			h.waitFor(fmt.Sprintf("%d live instances on %s", n, p.name), func() bool { return p.liveInstances() == n })
		}
	}
}

// liveInstances returns the number of live instances that the instance sees.
func (p *instance) liveInstances() int {
	got, _ := p.fetchStatus()
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

// waitFor waits until a condition is met.
func (h *harness) waitFor(what string, met func() bool) {
	h.t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if met() {
			return
		}
	}
	for _, p := range h.instances {
		text, _ := os.ReadFile(p.log)
		h.t.Logf("log of %s:\n%s", p.name, text)
	}
	h.t.Fatalf("condition not met in time: %s", what)
}

// setPlatformFaults sets the faults of the platform.
func (h *harness) setPlatformFaults(body string) {
	h.t.Helper()
	r, err := http.NewRequest(http.MethodPut, "http://"+h.platformControl.String()+"/fault", bytes.NewReader([]byte(body)))
	if err != nil {
		h.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		h.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// platformCalls returns the number of calls of each kind that the platform
// received.
func (h *harness) platformCalls() map[string]int {
	h.t.Helper()
	response, err := http.Get("http://" + h.platformControl.String() + "/stats")
	if err != nil {
		h.t.Fatal(err)
	}
	defer response.Body.Close() //nolint:errcheck // The body is only read.
	var stats platform.Stats
	if err := json.NewDecoder(response.Body).Decode(&stats); err != nil {
		h.t.Fatal(err)
	}
	return stats.Calls
}

// freeAddress returns an unused loopback address.
func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	address, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return address
}
