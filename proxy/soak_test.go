package proxy

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"anviltack/clock"
	"anviltack/core"
)

var soakFor = flag.Duration("soak", 3*time.Second, "how long TestSoak strikes its group")

// soakNode is an endpoint of the soak's group. Its log holds the ids of committed
// writes.
type soakNode struct {
	info       Endpoint
	primary    bool
	term, held uint64
	log        []soakEntry
	applied    int
	// life counts the starts of the process; connections of an earlier one are gone.
	life int
	dead bool
	// dark swallows everything, deaf receives nothing, stuck applies nothing.
	dark, deaf, stuck bool
	// lose swallows the answer to the next statement of a caller, which runs.
	lose bool
}

type soakEntry struct {
	term uint64
	id   string
}

func (n *soakNode) last() core.Point {
	p := core.Point{Position: uint64(len(n.log))}
	if len(n.log) > 0 {
		p.Term = n.log[len(n.log)-1].term
	}
	return p
}

func (n *soakNode) visible() core.Point {
	p := core.Point{Position: uint64(n.applied)}
	if n.applied > 0 {
		p.Term = n.log[n.applied-1].term
	}
	return p
}

// soakOperation is what a caller asked for, by the id of the statement.
type soakOperation struct {
	begun     time.Time
	freshness Freshness
	// own are the session's acknowledged writes.
	own []string
	// missing is a write that a read should have seen and did not.
	missing string
}

// soak is a group of three endpoints with instances before it and everything that
// callers were told.
type soak struct {
	mu         sync.Mutex
	nodes      []*soakNode
	turns      map[string]VersionedValue
	storeDown  bool
	cut        map[string]bool
	lastToken  uint64
	operations map[string]*soakOperation
	acked      map[string]time.Time
	refused    map[string]bool
	writes     int
	promotions int
	faults     []string
	instances  []*Proxy
}

const soakStaleness = 400 * time.Millisecond

func newSoak(t *testing.T, instances int) *soak {
	t.Helper()
	s := &soak{
		turns: map[string]VersionedValue{}, cut: map[string]bool{}, operations: map[string]*soakOperation{},
		acked: map[string]time.Time{}, refused: map[string]bool{},
	}
	for _, name := range []core.Endpoint{"a", "b", "c"} {
		s.nodes = append(s.nodes, &soakNode{info: Endpoint{Name: name, Group: "g", Slots: 4, Role: core.RoleReplica}, term: 1})
	}
	s.nodes[0].primary = true
	log := logrus.New()
	log.SetOutput(io.Discard)
	var peers []Peer
	for i := range instances {
		peers = append(peers, Peer{Name: core.Instance(fmt.Sprint("i", i))})
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, p := range peers {
		instance := New(Settings{Instance: string(p.Name), GracePeriod: 6 * time.Second}, s.seams(string(p.Name), peers), log.WithField("instance", p.Name))
		s.instances = append(s.instances, instance)
		go func() { _ = instance.Serve(ctx, make(chan struct{})) }()
	}
	go s.replicate(ctx)
	return s
}

// seams are those of one instance.
func (s *soak) seams(instance string, peers []Peer) Dependencies {
	forever := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	return Dependencies{
		Endpoints: Endpoints{Dial: func(_ context.Context, e Endpoint) (*Conn, error) { return s.dial(instance, e.Name) }},
		Directory: Directory{Watch: func(ctx context.Context, offer func([]Endpoint)) error {
			var list []Endpoint
			for _, n := range s.nodes {
				list = append(list, n.info)
			}
			offer(list)
			return forever(ctx)
		}},
		ConfigSource: ConfigSource{Watch: func(ctx context.Context, offer func(*Config)) error {
			c := testConfig(1)
			for d, r := range c.Routes {
				r.Staleness, r.Timeout, r.TargetTime = soakStaleness, time.Second, 500*time.Millisecond
				c.Routes[d] = r
			}
			offer(c)
			return forever(ctx)
		}},
		LeaseStore: LeaseStore{Get: s.get, CompareAndSwap: s.swap, IsHealthy: func() bool { return true }},
		Membership: Membership{Maintain: func(ctx context.Context, offer func([]Peer)) error {
			offer(peers)
			return forever(ctx)
		}},
		Promoter: Promoter{Promote: s.promote},
		Now:      clock.Now,
	}
}

func (s *soak) get(_ context.Context, key string) (VersionedValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeDown {
		return VersionedValue{}, errStoreDown
	}
	return s.turns[key], nil
}

func (s *soak) swap(_ context.Context, key string, revision uint64, value string) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeDown {
		return 0, errStoreDown
	}
	if s.turns[key].Revision != revision {
		return 0, nil
	}
	s.turns[key] = VersionedValue{Revision: revision + 1, Value: value}
	return revision + 1, nil
}

// fault keeps a broken promise; the lock is held.
func (s *soak) fault(format string, args ...any) {
	if len(s.faults) < 20 {
		s.faults = append(s.faults, fmt.Sprintf(format, args...))
	}
}

func (s *soak) node(name core.Endpoint) *soakNode {
	i := slices.IndexFunc(s.nodes, func(n *soakNode) bool { return n.info.Name == name })
	return s.nodes[i]
}

// promote makes an endpoint lead the next term a while later.
func (s *soak) promote(_ context.Context, _ core.Group, e core.Endpoint, token uint64) error {
	s.mu.Lock()
	if token <= s.lastToken {
		s.fault("promotion with token %d after %d", token, s.lastToken)
	}
	s.lastToken = token
	s.mu.Unlock()
	time.AfterFunc(time.Duration(100+rand.IntN(300))*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if n := s.node(e); !n.dead && !n.primary {
			s.lead(n)
		}
	})
	return nil
}

// lead makes a node the primary of the next term; the lock is held.
func (s *soak) lead(n *soakNode) {
	s.promotions++
	for _, o := range s.nodes {
		n.term = max(n.term, o.term)
	}
	n.term++
	n.primary, n.held = true, 0
	for id := range s.acked {
		if !n.holds(id, len(n.log)) {
			s.fault("write %s, which was acknowledged, is lost in term %d", id, n.term)
		}
	}
	for _, o := range s.nodes {
		if o != n && !o.primary && !o.dead {
			o.term, o.held = n.term, 0
		}
	}
}

func (n *soakNode) holds(id string, position int) bool {
	return slices.ContainsFunc(n.log[:position], func(e soakEntry) bool { return e.id == id })
}

// replicate sends the log of each primary to the endpoints that take it.
func (s *soak) replicate(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(2 * time.Millisecond)
		s.mu.Lock()
		for _, p := range s.nodes {
			for _, o := range s.nodes {
				if p.primary && !p.dead && o != p && o.takes(p) {
					o.primary, o.term, o.log = false, p.term, slices.Clone(p.log)
					o.applied = min(o.applied, len(o.log))
				}
			}
		}
		for _, n := range s.nodes {
			if !n.stuck {
				n.applied = len(n.log)
			}
		}
		s.mu.Unlock()
	}
}

// takes reports whether a node follows a primary.
func (n *soakNode) takes(p *soakNode) bool {
	return !n.dead && !n.deaf && n.held <= p.term && (n.term < p.term || n.term == p.term && !n.primary)
}

// soakConn is a connection to a node.
type soakConn struct {
	soak *soak
	node *soakNode
	name string
	life int
	// owner is the session whose transaction is open, and pending its writes.
	owner   string
	pending []string
}

var errReset = errors.New("connection reset")

// openOwner owns a transaction in which no caller's statement ran yet.
const openOwner = "open"

func (s *soak) dial(instance string, e core.Endpoint) (*Conn, error) {
	s.mu.Lock()
	n := s.node(e)
	c := &soakConn{soak: s, node: n, name: instance + " " + string(e), life: n.life}
	s.mu.Unlock()
	if err := c.reach(unreachableTimeout); err != nil {
		return nil, err
	}
	s.mu.Unlock()
	return &Conn{
		Exchange: c.exchange, Status: c.status, CheckPrimary: c.witness, Fence: c.fence,
		IsOpen: c.isOpen, Close: func() {},
	}, nil
}

func (c *soakConn) isOpen() bool {
	c.soak.mu.Lock()
	defer c.soak.mu.Unlock()
	return !c.node.dead && c.life == c.node.life
}

// reach takes the lock if the node can be reached, and fails as a network does if not.
func (c *soakConn) reach(limit time.Duration) error {
	time.Sleep(time.Duration(rand.IntN(1500)) * time.Microsecond)
	c.soak.mu.Lock()
	switch {
	case c.node.dark || c.soak.cut[c.name]:
		c.soak.mu.Unlock()
		time.Sleep(min(limit, unreachableTimeout))
		return errTimeout
	case c.node.dead:
		c.soak.mu.Unlock()
		return syscall.ECONNREFUSED
	case c.life != c.node.life:
		c.soak.mu.Unlock()
		return errReset
	}
	return nil
}

func (c *soakConn) report() Report {
	n := c.node
	role := core.RoleReplica
	if n.primary {
		role = core.RolePrimary
	}
	return Report{Status: core.Status{Role: role, Term: n.term, Fence: max(n.term, n.held), Received: uint64(len(n.log)), Applied: uint64(n.applied), Last: n.last()}}
}

func (c *soakConn) status(limit time.Duration) (Report, error) {
	if err := c.reach(limit); err != nil {
		return Report{}, err
	}
	defer c.soak.mu.Unlock()
	return c.report(), nil
}

func (c *soakConn) witness(limit time.Duration) (core.Point, error) {
	if err := c.reach(limit); err != nil {
		return core.Point{}, err
	}
	defer c.soak.mu.Unlock()
	if !c.node.primary {
		return core.Point{}, &EndpointError{Fault: FaultReadOnly}
	}
	return c.node.last(), nil
}

func (c *soakConn) fence(limit time.Duration, term uint64, _ core.Role) (Report, error) {
	if err := c.reach(limit); err != nil {
		return Report{}, err
	}
	defer c.soak.mu.Unlock()
	if c.node.primary && term > c.node.term {
		c.node.primary = false
	}
	c.node.held = max(c.node.held, term)
	return c.report(), nil
}

func (c *soakConn) exchange(limit time.Duration, statements []Statement) ([]Answer, error) {
	if err := c.reach(limit); err != nil {
		return nil, err
	}
	defer c.soak.mu.Unlock()
	var answers []Answer
	for _, st := range statements {
		a := c.run(st)
		if st.ID != "" && c.node.lose {
			c.node.lose = false
			return answers, errTimeout
		}
		answers = append(answers, a)
	}
	return answers, nil
}

// run carries out one statement; the lock is held.
func (c *soakConn) run(st Statement) Answer {
	n := c.node
	session, _, _ := strings.Cut(st.ID, ".")
	if st.ID != "" && c.owner == openOwner {
		c.owner = session
	}
	if st.ID != "" && c.owner != "" && c.owner != session {
		c.soak.fault("statement %s ran in the transaction of %s", st.ID, c.owner)
	}
	refuse := func(f Fault) Answer {
		return Answer{Err: &EndpointError{Fault: f}, State: c.state(), Point: n.visible()}
	}
	if n.visible().Less(st.After) {
		return refuse(FaultLagging)
	}
	switch st.Kind {
	case KindBegin:
		if !st.ReadOnly && !n.primary {
			return refuse(FaultReadOnly)
		}
		c.owner, c.pending = openOwner, nil
	case KindRollback:
		c.owner, c.pending = "", nil
	case KindRead:
		c.soak.check(st.ID, n)
	case KindWrite:
		if !n.primary {
			return refuse(FaultReadOnly)
		}
		if c.owner == "" {
			n.commit(st.ID)
			break
		}
		c.pending = append(c.pending, st.ID)
	case KindCommit:
		if len(c.pending) > 0 && !n.primary {
			return refuse(FaultReadOnly)
		}
		n.commit(c.pending...)
		c.owner, c.pending = "", nil
	}
	return Answer{Rows: []string{st.ID}, Proof: st.ID + " by " + string(n.info.Name), State: c.state(), Point: n.visible()}
}

func (c *soakConn) state() State {
	if c.owner != "" {
		return StateTransaction
	}
	return StateIdle
}

func (n *soakNode) commit(ids ...string) {
	for _, id := range ids {
		n.log = append(n.log, soakEntry{n.term, id})
	}
	n.applied = len(n.log)
}

// check keeps which acknowledged write a read misses at a node; the lock is held.
func (s *soak) check(id string, n *soakNode) {
	o := s.operations[id]
	if o == nil {
		s.fault("statement %s, which nobody asked for, ran", id)
		return
	}
	before := o.begun
	if o.freshness != FreshnessNewest {
		before = before.Add(-soakStaleness)
	}
	for write, at := range s.acked {
		if at.Before(before) && !n.holds(write, n.applied) {
			o.missing = write
		}
	}
	for _, write := range o.own {
		if o.freshness == FreshnessSession && !n.holds(write, n.applied) {
			o.missing = write
		}
	}
}

// soakCaller is one caller with a session at an instance.
type soakCaller struct {
	soak      *soak
	random    *rand.Rand
	name      string
	freshness Freshness
	number    int
	own       []string
	session   *testCaller
}

// serve opens sessions one after the other until ctx ends.
func (s *soak) serve(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(uint64(number), 7))
	for round := 0; ctx.Err() == nil; round++ {
		freshness := []Freshness{FreshnessNewest, FreshnessBounded, FreshnessSession}[random.IntN(3)]
		w := &simulation{proxy: s.instances[random.IntN(len(s.instances))], callers: map[string]*testCaller{}}
		c := &soakCaller{soak: s, random: random, name: fmt.Sprintf("c%d-%d", number, round), freshness: freshness}
		c.session = w.open(c.name, core.Database(freshness))
		for range 20 {
			if ctx.Err() != nil || !c.operate() {
				break
			}
			time.Sleep(time.Duration(random.IntN(8)) * time.Millisecond)
		}
		close(c.session.statements)
		<-c.session.ended
	}
}

// operate carries out one operation and reports whether the session goes on.
func (c *soakCaller) operate() bool {
	switch c.random.IntN(4) {
	case 0:
		id := c.ask(KindWrite)
		a := c.send(id, KindWrite)
		c.settle(a, id)
		return !errors.Is(a.Err, errDisconnected)
	case 1:
		return c.transact()
	default:
		id := c.ask(KindRead)
		a := c.send(id, KindRead)
		c.judge(id, a)
		return !errors.Is(a.Err, errDisconnected)
	}
}

// transact writes twice in a transaction.
func (c *soakCaller) transact() bool {
	if a := c.send(c.ask(KindBegin), KindBegin); a.Err != nil {
		return !errors.Is(a.Err, errDisconnected)
	}
	var ids []string
	for range 2 {
		id := c.ask(KindWrite)
		ids = append(ids, id)
		if a := c.send(id, KindWrite); a.Err != nil {
			c.settle(a, ids...)
			return false
		}
	}
	a := c.send(c.ask(KindCommit), KindCommit)
	c.settle(a, ids...)
	return !errors.Is(a.Err, errDisconnected)
}

// ask notes a statement before it is sent.
func (c *soakCaller) ask(Kind) string {
	c.number++
	id := c.name + "." + strconv.Itoa(c.number)
	c.soak.mu.Lock()
	defer c.soak.mu.Unlock()
	c.soak.operations[id] = &soakOperation{begun: clock.Now(), freshness: c.freshness, own: slices.Clone(c.own)}
	return id
}

func (c *soakCaller) send(id string, kind Kind) Answer {
	return c.session.send(Statement{ID: id, Kind: kind})
}

// settle keeps what the caller was told of writes.
func (c *soakCaller) settle(a Answer, ids ...string) {
	c.soak.mu.Lock()
	defer c.soak.mu.Unlock()
	for _, id := range ids {
		switch {
		case a.Err == nil:
			c.soak.writes++
			c.soak.acked[id] = clock.Now()
			c.own = append(c.own, id)
		case errors.Is(a.Err, errDisconnected), asError(a.Err).Code == core.CodeOutcomeUnknown:
		default:
			c.soak.refused[id] = true
		}
	}
}

// judge checks the answer to a read.
func (c *soakCaller) judge(id string, a Answer) {
	c.soak.mu.Lock()
	defer c.soak.mu.Unlock()
	if a.Err != nil {
		return
	}
	if !strings.HasPrefix(a.Proof, id+" by ") || !slices.Equal(a.Rows, []string{id}) {
		c.soak.fault("read %s was answered with %v %q", id, a.Rows, a.Proof)
	}
	if o := c.soak.operations[id]; o.missing != "" {
		c.soak.fault("%s read %s missed write %s", o.freshness, id, o.missing)
	}
}

// strike applies one random fault for a while.
func (s *soak) strike(random *rand.Rand) {
	s.mu.Lock()
	n := s.nodes[random.IntN(len(s.nodes))]
	if random.IntN(2) == 0 {
		for _, o := range s.nodes {
			if o.primary {
				n = o
			}
		}
	}
	chosen := random.IntN(len(s.instances))
	kind := random.IntN(9)
	s.set(kind, n, chosen, true)
	s.mu.Unlock()
	time.Sleep(time.Duration(100+random.IntN(2500)) * time.Millisecond)
	s.mu.Lock()
	s.set(kind, n, chosen, false)
	s.mu.Unlock()
	time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
}

// set begins or ends a fault of a node and, where one is concerned, a chosen instance;
// the lock is held.
func (s *soak) set(kind int, n *soakNode, chosen int, on bool) {
	switch kind {
	case 0, 1:
		if n.dead && !on {
			s.restart(n)
		}
		n.dead = on
	case 2:
		n.dark = on
	case 3:
		n.deaf = on
	case 4:
		n.stuck = on
	case 5:
		s.storeDown = on
	case 6:
		s.cutOff(n, s.instances[chosen], on)
		n.lose = on
	default:
		// Only one instance reaches the node, which hears of no other primary.
		n.deaf = on
		for i, p := range s.instances {
			if i != chosen {
				s.cutOff(n, p, on)
			}
		}
	}
}

func (s *soak) cutOff(n *soakNode, p *Proxy, on bool) {
	s.cut[p.settings.Instance+" "+string(n.info.Name)] = on
}

// restart starts a node again: it holds no fence, and follows if another was promoted.
func (s *soak) restart(n *soakNode) {
	n.life++
	n.held = 0
	for _, o := range s.nodes {
		if o.term > n.term {
			n.primary = false
		}
	}
}

// finish checks the log of the last primary once everything is well again.
func (s *soak) finish() {
	w := &simulation{proxy: s.instances[0], callers: map[string]*testCaller{}}
	c := &soakCaller{soak: s, name: "end", freshness: FreshnessNewest, session: w.open("end", "newest")}
	w.waitFor(func() bool {
		id := c.ask(KindWrite)
		a := c.send(id, KindWrite)
		c.settle(a, id)
		return a.Err == nil
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	var last *soakNode
	for _, n := range s.nodes {
		if n.primary && (last == nil || n.term > last.term) {
			last = n
		}
	}
	seen := map[string]bool{}
	for _, e := range last.log {
		if seen[e.id] {
			s.fault("write %s took effect twice", e.id)
		}
		seen[e.id] = true
		if s.refused[e.id] {
			s.fault("write %s was refused and took effect", e.id)
		}
	}
	for id := range s.acked {
		if !seen[id] {
			s.fault("write %s was acknowledged and is lost", id)
		}
	}
}

// TestSoak strikes a group before three instances with crashes, silence, cuts, lag,
// lost answers and store outages while callers read and write, and checks that reads
// are as fresh as promised, acknowledged writes survive, nothing refused takes effect,
// nothing takes effect twice and transactions do not mix.
func TestSoak(t *testing.T) {
	t.Parallel()
	s := newSoak(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() { s.serve(ctx, i) })
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), 1))
	for end := clock.Now().Add(*soakFor); clock.Now().Before(end); {
		s.strike(random)
	}
	cancel()
	callers.Wait()
	s.finish()
	t.Logf("%d writes acknowledged, %d refused, %d promotions", s.writes, len(s.refused), s.promotions)
	for _, f := range s.faults {
		t.Error(f)
	}
}
