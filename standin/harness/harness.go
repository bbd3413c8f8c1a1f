// Package rig runs a group of stand-in endpoints with instances before it in one
// process, for golden files and benchmarks.
package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
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
	"anviltack/settings"
	"anviltack/standin/endpoint"
)

// Patience bounds every wait; no script depends on its length.
const Patience = 20 * time.Second

// probe is the name of the session that finds out whether an instance is ready.
const probe = "probe"

// Password is the password of every caller.
const Password = "secret"

// Rig is one group of endpoints with instances before it.
type Rig struct {
	// Sessions holds the callers' connections by name.
	Sessions map[string]*pgx.Conn
	// Config is the configuration that instances start with.
	Config patch.Config
	// Limits replace those of Config that are above zero; it is read by Start.
	Limits patch.Limits

	t         testing.TB
	endpoints map[string]*process
	instances map[string]*process
	running   sync.WaitGroup

	mu sync.Mutex
	// version numbers the configuration; instances take in each change of it.
	version uint64
	// changed is closed and replaced with each version.
	changed chan struct{}
}

// process is one stand-in or instance that runs in this test.
type process struct {
	address netip.AddrPort
	control netip.AddrPort
	stop    context.CancelFunc
	done    chan struct{}
}

// New returns a rig that ends with the test.
func New(t testing.TB) *Rig {
	r := &Rig{
		t:         t,
		endpoints: make(map[string]*process),
		instances: make(map[string]*process),
		Sessions:  make(map[string]*pgx.Conn),
		changed:   make(chan struct{}),
		version:   1,
	}
	t.Cleanup(r.close)
	return r
}

func (r *Rig) close() {
	for _, s := range r.Sessions {
		_ = s.Close(context.Background())
	}
	for _, p := range r.instances {
		p.stop()
	}
	for _, p := range r.endpoints {
		p.stop()
	}
	r.running.Wait()
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck // The address is free from here on.
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func (r *Rig) spawn(p *process, run func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.done = make(chan struct{})
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		defer close(p.done)
		_ = run(ctx)
	}()
}

// Start runs three endpoints, the first as primary, and the instances.
func (r *Rig) Start(instances int, lag time.Duration) {
	names := []string{"e1", "e2", "e3"}
	for _, n := range names {
		r.endpoints[n] = &process{address: freeAddress(r.t), control: freeAddress(r.t)}
	}
	members := make(map[core.Endpoint]patch.Endpoint)
	for i, n := range names {
		p := r.endpoints[n]
		var peers []netip.AddrPort
		for _, other := range names {
			if other != n {
				peers = append(peers, r.endpoints[other].control)
			}
		}
		options := []endpoint.Option{endpoint.WithPeers(peers...), endpoint.WithLag(lag)}
		if i == 0 {
			options = append(options, endpoint.WithPrimary())
		}
		r.spawn(p, endpoint.New(p.address, p.control, options...).Run)
		members[core.Endpoint(n)] = patch.Endpoint{Address: p.address, DataCentre: "bkk-a", Slots: 3, Connections: 20}
	}
	verifier, err := caller.Verifier(Password, []byte("0123456789abcdef"))
	if err != nil {
		r.t.Fatal(err)
	}
	r.Config = patch.Config{
		Groups: map[core.Group]patch.Group{"g": {Endpoints: members}},
		Databases: map[core.Database]patch.Database{"index": {Group: "g", Kinds: map[core.Kind]patch.Kind{
			"series":   {Age: patch.Duration(time.Hour)},
			"snapshot": {Age: patch.Duration(200 * time.Millisecond)},
		}}},
		Callers: map[core.Caller]patch.Caller{
			"valuer":  {Secret: verifier, Databases: []core.Database{"index"}},
			"analyst": {Secret: verifier, Databases: []core.Database{"index"}},
		},
		Limits: patch.Limits{Deadline: patch.Duration(Patience), TransactionIdle: patch.Duration(Patience), Queue: 100},
	}
	if r.Limits.TransactionIdle > 0 {
		r.Config.Limits.TransactionIdle = r.Limits.TransactionIdle
	}
	for i := range instances {
		r.StartInstance(fmt.Sprintf("i%d", i+1))
	}
}

// StartInstance runs one more instance.
func (r *Rig) StartInstance(name string) {
	p := &process{address: freeAddress(r.t), control: freeAddress(r.t)}
	text := fmt.Sprintf(`{"instance": %q, "data_centre": "bkk-a", "callers": %q, "operators": %q, "peers": %q,
		"platform": ["127.0.0.1:1"], "token": "operator-token"}`, name, p.address, p.control, freeAddress(r.t))
	s, err := settings.Parse([]byte(text))
	if err != nil {
		r.t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	in := instance.New(s, instance.WithLog(log), instance.WithWatch(r.watch))
	r.instances[name] = p
	r.spawn(p, in.Serve)
	r.Until("instance "+name+" takes callers", func() bool { return r.Connect(probe, "valuer", name, nil) == nil })
	_ = r.Sessions[probe].Close(context.Background())
	delete(r.Sessions, probe)
}

// Configure puts a configuration into force on every instance.
func (r *Rig) Configure(c patch.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Config = c
	r.version++
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Rig) watch(ctx context.Context, after uint64) (uint64, *patch.Config, error) {
	for {
		r.mu.Lock()
		version, config, changed := r.version, r.Config, r.changed
		r.mu.Unlock()
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

// Until waits for a condition.
func (r *Rig) Until(what string, met func() bool) {
	r.t.Helper()
	for end := time.Now().Add(Patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if met() {
			return
		}
	}
	r.t.Fatalf("not met: %s", what)
}

// Connect opens a caller's session.
func (r *Rig) Connect(name, user, instance string, parameters map[string]string) error {
	c, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/index?sslmode=disable", user, Password, r.instances[instance].address))
	if err != nil {
		r.t.Fatal(err)
	}
	for n, v := range parameters {
		c.RuntimeParams[n] = v
	}
	ctx, cancel := context.WithTimeout(context.Background(), Patience)
	defer cancel()
	conn, err := pgx.ConnectConfig(ctx, c)
	if err != nil {
		return err
	}
	r.Sessions[name] = conn
	return nil
}

// Fault sets a switch of an endpoint.
func (r *Rig) Fault(name, body string) {
	p := r.endpoints[name]
	for other, o := range r.endpoints {
		body = strings.ReplaceAll(body, "$"+other, o.control.String())
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+p.control.String()+"/fault", bytes.NewBufferString(body))
	if err != nil {
		r.t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		r.t.Fatal(err)
	}
	_ = answer.Body.Close()
	if answer.StatusCode/100 != 2 {
		r.t.Fatalf("fault refused: %s", answer.Status)
	}
}

// Get reads an endpoint's control page.
func (r *Rig) Get(name, page string, into any) error {
	answer, err := http.Get("http://" + r.endpoints[name].control.String() + page)
	if err != nil {
		return err
	}
	defer answer.Body.Close() //nolint:errcheck // Only read from.
	return json.NewDecoder(answer.Body).Decode(into)
}

// Primary returns the endpoint of the highest term that calls itself primary.
func (r *Rig) Primary() string {
	found := ""
	var term uint64
	for name := range r.endpoints {
		var s endpoint.Stats
		if r.Get(name, "/stats", &s) == nil && s.Status.Role == core.RolePrimary && s.Status.Term > term {
			found, term = name, s.Status.Term
		}
	}
	return found
}

// KillEndpoint ends an endpoint at once.
func (r *Rig) KillEndpoint(name string) {
	p := r.endpoints[name]
	p.stop()
	<-p.done
	delete(r.endpoints, name)
}

// KillInstance ends an instance.
func (r *Rig) KillInstance(name string) {
	p := r.instances[name]
	p.stop()
	<-p.done
}

// Endpoints returns the names of the endpoints that run.
func (r *Rig) Endpoints() []string {
	var names []string
	for name := range r.endpoints {
		names = append(names, name)
	}
	return names
}

// Address returns where an endpoint takes statements.
func (r *Rig) Address(endpoint string) netip.AddrPort { return r.endpoints[endpoint].address }

// Callers returns where an instance takes callers.
func (r *Rig) Callers(instance string) netip.AddrPort { return r.instances[instance].address }

// SetTest makes later failures belong to a subtest.
func (r *Rig) SetTest(t testing.TB) { r.t = t }
