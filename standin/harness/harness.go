// Package harness runs a group of stand-in endpoints and instances that serve
// it in one process, for golden files and benchmarks.
package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/sirupsen/logrus"

	"anviltack/core"
	"anviltack/core/patch"
	"anviltack/instance"
	"anviltack/io/caller"
	"anviltack/io/operator"
	"anviltack/settings"
	"anviltack/standin/endpoint"
	"anviltack/standin/loopback"
)

// Timeout bounds every wait; no script depends on its length.
const Timeout = 20 * time.Second

// probeSession is the name of the session that checks whether an instance is
// ready.
const probeSession = "probe"

// Password is the password of every caller.
const Password = "secret"

// Harness is one group of endpoints and the instances that serve it.
type Harness struct {
	// Sessions holds the callers' connections by name.
	Sessions map[string]*pgx.Conn
	// Config is the configuration that instances start with.
	Config patch.Config
	// Limits overrides the limits that Start writes to Config. Only a
	// TransactionIdle above zero has an effect.
	Limits patch.Limits

	t         testing.TB
	endpoints map[string]*participant
	instances map[string]*participant
	running   sync.WaitGroup

	mu sync.Mutex
	// version numbers the configuration; instances adopt each change of it.
	version uint64
	// changed is closed and replaced with each version.
	changed chan struct{}
}

// participant is one endpoint or instance; it runs in goroutines of the test.
type participant struct {
	address netip.AddrPort
	control netip.AddrPort
	stop    context.CancelFunc
	done    chan struct{}
}

// New returns a harness that stops with the test.
func New(t testing.TB) *Harness {
	h := &Harness{
		t:         t,
		endpoints: make(map[string]*participant),
		instances: make(map[string]*participant),
		Sessions:  make(map[string]*pgx.Conn),
		changed:   make(chan struct{}),
		version:   1,
	}
	t.Cleanup(h.close)
	return h
}

func (h *Harness) close() {
	for _, s := range h.Sessions {
		_ = s.Close(context.Background())
	}
	for _, p := range h.instances {
		p.stop()
	}
	for _, p := range h.endpoints {
		p.stop()
	}
	h.running.Wait()
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

func (h *Harness) spawn(p *participant, run func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.done = make(chan struct{})
	h.running.Add(1)
	go func() {
		defer h.running.Done()
		defer close(p.done)
		if err := run(ctx); err != nil && ctx.Err() == nil {
			h.t.Errorf("the participant at %s ended: %v", p.address, err)
		}
	}()
}

// Start runs three endpoints, the first as primary, and the instances.
func (h *Harness) Start(instances int, lag time.Duration) {
	names := []string{"e1", "e2", "e3"}
	for _, n := range names {
		h.endpoints[n] = &participant{address: freeAddress(h.t), control: freeAddress(h.t)}
	}
	members := make(map[core.Endpoint]patch.Endpoint)
	for i, n := range names {
		p := h.endpoints[n]
		var peers []netip.AddrPort
		for _, other := range names {
			if other != n {
				peers = append(peers, h.endpoints[other].control)
			}
		}
		options := []endpoint.Option{endpoint.WithPeers(peers...), endpoint.WithLag(lag)}
		if i == 0 {
			options = append(options, endpoint.WithPrimary())
		}
		h.spawn(p, endpoint.New(p.address, p.control, options...).Run)
		members[core.Endpoint(n)] = patch.Endpoint{Address: p.address, DataCentre: "bkk-a", Slots: 3, Connections: 20}
	}
	verifier, err := caller.Verifier(Password, []byte("0123456789abcdef"))
	if err != nil {
		h.t.Fatal(err)
	}
	h.Config = patch.Config{
		Groups: map[core.Group]patch.Group{"g": {Endpoints: members}},
		Databases: map[core.Database]patch.Database{"index": {Group: "g", Kinds: map[core.Kind]patch.Kind{
			"series":   {Age: patch.Duration(time.Hour)},
			"snapshot": {Age: patch.Duration(200 * time.Millisecond)},
		}}},
		Callers: map[core.Caller]patch.Caller{
			"valuer":  {Secret: verifier, Databases: []core.Database{"index"}},
			"analyst": {Secret: verifier, Databases: []core.Database{"index"}},
		},
		Limits: patch.Limits{Deadline: patch.Duration(Timeout), TransactionIdle: patch.Duration(Timeout), Queue: 100},
	}
	if h.Limits.TransactionIdle > 0 {
		h.Config.Limits.TransactionIdle = h.Limits.TransactionIdle
	}
	for i := range instances {
		h.StartInstance(fmt.Sprintf("i%d", i+1))
	}
}

// StartInstance runs one more instance and waits until it accepts callers.
func (h *Harness) StartInstance(name string) {
	p := &participant{address: freeAddress(h.t), control: freeAddress(h.t)}
	text := fmt.Sprintf(`{"instance": %q, "data_centre": "bkk-a", "callers": %q, "operators": %q, "peers": %q,
		"platform": ["127.0.0.1:1"], "token": "operator-token"}`, name, p.address, p.control, freeAddress(h.t))
	s, err := settings.Parse([]byte(text))
	if err != nil {
		h.t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	in := instance.New(s, instance.WithLog(log), instance.WithWatch(h.watch))
	h.instances[name] = p
	h.spawn(p, in.Serve)
	h.WaitFor("instance "+name+" accepts callers", func() bool { return h.Connect(probeSession, "valuer", name, nil) == nil })
	_ = h.Sessions[probeSession].Close(context.Background())
	delete(h.Sessions, probeSession)
}

// Configure applies a configuration to every instance.
func (h *Harness) Configure(c patch.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Config = c
	h.version++
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *Harness) watch(ctx context.Context, after uint64) (uint64, *patch.Config, error) {
	for {
		h.mu.Lock()
		version, config, changed := h.version, h.Config, h.changed
		h.mu.Unlock()
		if version > after {
			return version, &config, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		}
	}
}

// WaitFor waits until a condition is met.
func (h *Harness) WaitFor(what string, met func() bool) {
	h.t.Helper()
	for end := time.Now().Add(Timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if met() {
			return
		}
	}
	h.t.Fatalf("condition not met in time: %s", what)
}

// Connect opens a caller's session.
func (h *Harness) Connect(name, user, instance string, parameters map[string]string) error {
	c, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/index?sslmode=disable", user, Password, h.instances[instance].address))
	if err != nil {
		h.t.Fatal(err)
	}
	for n, v := range parameters {
		c.RuntimeParams[n] = v
	}
	ctx, cancel := context.WithTimeout(context.Background(), Timeout)
	defer cancel()
	conn, err := pgx.ConnectConfig(ctx, c)
	if err != nil {
		return err
	}
	h.Sessions[name] = conn
	return nil
}

// InjectFault sends a fault to an endpoint; "$NAME" in the body becomes the
// control address of that endpoint.
func (h *Harness) InjectFault(name, body string) {
	p := h.endpoints[name]
	for other, o := range h.endpoints {
		body = strings.ReplaceAll(body, "$"+other, o.control.String())
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+p.control.String()+"/fault", bytes.NewBufferString(body))
	if err != nil {
		h.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		h.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		h.t.Fatalf("fault rejected: %s", response.Status)
	}
}

// GetControl decodes the response to a path of an endpoint's control address.
func (h *Harness) GetControl(name, path string, into any) error {
	response, err := http.Get("http://" + h.endpoints[name].control.String() + path)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // Only read from.
	return json.NewDecoder(response.Body).Decode(into)
}

// Primary returns the endpoint of the highest term that reports that it is
// primary.
func (h *Harness) Primary() string {
	found := ""
	var term uint64
	for name := range h.endpoints {
		var s endpoint.Stats
		if h.GetControl(name, "/stats", &s) == nil && s.Status.Role == core.RolePrimary && s.Status.Term > term {
			found, term = name, s.Status.Term
		}
	}
	return found
}

// KillEndpoint stops an endpoint at once.
func (h *Harness) KillEndpoint(name string) {
	p := h.endpoints[name]
	p.stop()
	<-p.done
	delete(h.endpoints, name)
}

// KillInstance stops an instance.
func (h *Harness) KillInstance(name string) {
	p := h.instances[name]
	p.stop()
	<-p.done
}

// Endpoints returns the names of the running endpoints.
func (h *Harness) Endpoints() []string {
	var names []string
	for name := range h.endpoints {
		names = append(names, name)
	}
	return names
}

// BusyConnections returns the number of endpoint connections on which an instance runs
// statements or holds transactions.
func (h *Harness) BusyConnections(name string) int {
	ctx, cancel := context.WithTimeout(context.Background(), Timeout)
	defer cancel()
	client := operator.Client{Addresses: []netip.AddrPort{h.instances[name].control}, Token: "operator-token", HTTP: http.DefaultClient}
	var dump struct {
		Groups []struct {
			Members []struct{ Links struct{ Busy int } }
		}
	}
	if err := client.Get(ctx, "/dump", &dump); err != nil {
		return 0
	}
	n := 0
	for _, g := range dump.Groups {
		for _, m := range g.Members {
			n += m.Links.Busy
		}
	}
	return n
}

// EndpointAddress returns the address at which an endpoint serves statements.
func (h *Harness) EndpointAddress(endpoint string) netip.AddrPort {
	return h.endpoints[endpoint].address
}

// CallerAddress returns the address at which an instance serves callers.
func (h *Harness) CallerAddress(instance string) netip.AddrPort { return h.instances[instance].address }

// SetTest sets the test, usually a subtest, that later failures are reported to.
func (h *Harness) SetTest(t testing.TB) { h.t = t }
