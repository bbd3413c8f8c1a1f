package proxy

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"anviltack/core"
	"anviltack/core/home"
)

var errNoHome = errors.New("session not accepted")

// newNonHomeSimulation returns a simulation whose instance is not a home instance of the group:
// each endpoint accepts 20 connections, and with that many instances only a few
// connect to it.
func newNonHomeSimulation(t *testing.T) *simulation {
	sim := newSimulation(t)
	for n := 20; ; n++ {
		sim.peers = nil
		for i := 1; i <= n; i++ {
			p := Peer{Name: core.Instance(fmt.Sprint("i", i)), DataCentre: core.DataCentre(fmt.Sprint("dc", i%3)), SessionAddress: netip.MustParseAddrPort("127.0.0.1:1")}
			sim.peers = append(sim.peers, p)
		}
		if !sim.isHome("g") {
			sim.otherGroups = []core.Group{sim.groupNamed("h", true)}
			return sim
		}
	}
}

// groupNamed returns the name of a group with a prefix of which the simulation's instance
// is a home instance or not.
func (s *simulation) groupNamed(prefix core.Group, home bool) core.Group {
	for s.isHome(prefix) != home {
		prefix += "h"
	}
	return prefix
}

// isHome reports whether the simulation's instance is a home instance of a group.
func (s *simulation) isHome(g core.Group) bool {
	var live []home.Instance
	for _, p := range s.peers {
		live = append(live, home.Instance{Name: p.Name, DataCentre: p.DataCentre})
	}
	return slices.Contains(home.Assign(map[core.Group]home.Limits{g: {Connections: 20, Slots: 3}}, live)[g], "i1")
}

// startNonHome starts the instance and waits until it has the list of home instances.
func (s *simulation) startNonHome() {
	s.start()
	s.waitFor(func() bool { return len(s.proxy.placement.Load().homes["g"]) > 0 && s.proxy.IsReady() })
	s.waitFor(func() bool { return s.proxy.placement.Load().groups["g"] == nil })
}

// TestNonHomeInstanceRelaysSessions checks that an instance that is not a home
// instance of the group connects to no endpoint, relays sessions to a home instance in
// its own data centre, and ends them in a planned stop.
func TestNonHomeInstanceRelaysSessions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newNonHomeSimulation(t)
	relayed, stopped := make(chan Peer, 1), make(chan struct{})
	var once sync.Once
	sim.relay = func(to Peer) (*Relay, error) {
		relayed <- to
		return &Relay{
			Run:    func() RelayEnd { <-stopped; return RelayEnd{Cause: RelayStopped} },
			Stop:   func(bool) { once.Do(func() { close(stopped) }) },
			GiveUp: func() {},
		}, nil
	}
	sim.startNonHome()
	c := sim.open("a", "bounded")
	is.Equal(receive(t, relayed, "relayed").DataCentre, core.DataCentre("dc1"))
	sim.mu.Lock()
	for _, f := range sim.fakes {
		is.Equal(f.reports, 0)
	}
	sim.mu.Unlock()
	close(sim.stop)
	receive(t, c.ended, "end of the session")
	is.NoErr(receive(t, sim.done, "end of the instance"))
}

// TestPanicInRelayIsRecorded checks that a panic which ended a relayed session is counted like one
// of a session that is served here.
func TestPanicInRelayIsRecorded(t *testing.T) {
	t.Parallel()
	sim := newNonHomeSimulation(t)
	sim.relay = func(Peer) (*Relay, error) {
		return &Relay{
			Run:  func() RelayEnd { return RelayEnd{Cause: RelayHomeClosed, Panic: "garbled", PanicStack: "stack"} },
			Stop: func(bool) {}, GiveUp: func() {},
		}, nil
	}
	sim.startNonHome()
	receive(t, sim.open("a", "bounded").ended, "end of the session")
	is.New(t).Equal(sim.proxy.counts.sessionPanics.Count(), int64(1))
}

// TestMonitoredGroupIsRelayed checks that an instance which is home of no group relays the
// sessions of the group that it watches.
func TestMonitoredGroupIsRelayed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newNonHomeSimulation(t)
	sim.otherGroups = nil
	relayed := make(chan Peer, 1)
	sim.relay = func(to Peer) (*Relay, error) {
		relayed <- to
		return &Relay{Run: func() RelayEnd { return RelayEnd{Cause: RelayCallerLeft} }, Stop: func(bool) {}, GiveUp: func() {}}, nil
	}
	sim.start()
	sim.waitFor(func() bool {
		return sim.proxy.placement.Load().groups["g"] != nil && sim.proxy.placement.Load().monitored == "g"
	})
	receive(t, sim.open("a", "bounded").ended, "end of the session")
	is.True(receive(t, relayed, "relayed").Name != "i1")
}

// TestSessionWaitsForFirstEndpoints checks that a session that comes to a process that has
// just started, before the first list of endpoints, is served and not rejected.
func TestSessionWaitsForFirstEndpoints(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.endpointsHeld = make(chan struct{})
	sim.start()
	sim.waitFor(func() bool { return sim.proxy.placement.Load().groups["g"] != nil })
	c := sim.open("a", "bounded")
	time.AfterFunc(placementTimeout/10, func() { close(sim.endpointsHeld) })
	is.NoErr(c.send(Statement{ID: "1", Kind: KindRead}).Err)
}

// TestNonHomeInstanceServesWithoutHomes checks that an instance serves a group itself
// while no home instance accepts the session, after it has tried different home
// instances.
func TestNonHomeInstanceServesWithoutHomes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newNonHomeSimulation(t)
	var mu sync.Mutex
	var attempted []core.Instance
	sim.relay = func(to Peer) (*Relay, error) {
		mu.Lock()
		defer mu.Unlock()
		attempted = append(attempted, to.Name)
		return nil, errNoHome
	}
	sim.startNonHome()
	c := sim.open("a", "bounded")
	a := c.send(Statement{ID: "1", Kind: KindRead})
	is.NoErr(a.Err)
	is.True(a.Proof != "")
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(attempted), maxRelayAttempts)
	slices.Sort(attempted)
	is.Equal(len(slices.Compact(attempted)), maxRelayAttempts)
}

// TestRelayedSessionIsNotRelayedAgain checks that a relayed session is served here
// even if this instance is not a home instance of the group.
func TestRelayedSessionIsNotRelayedAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newNonHomeSimulation(t)
	sim.relay = func(Peer) (*Relay, error) { panic("session relayed twice") }
	sim.startNonHome()
	c := sim.openRelayed("a", "bounded")
	is.NoErr(c.send(Statement{ID: "1", Kind: KindRead}).Err)
	close(sim.stop)
	sim.waitFor(func() bool { return !sim.proxy.IsReady() })
	refused := sim.openRelayed("b", "bounded")
	is.Equal(asError(receive(t, refused.answers, "answer").Err).Code, core.CodeDraining)
}

// TestStatementsWaitForTheVersion checks that no statement is answered under a
// configuration older than a version that another instance announced, unless that
// version does not arrive in time.
func TestStatementsWaitForTheVersion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	c := sim.open("a", "bounded")
	is.NoErr(c.send(Statement{ID: "1", Kind: KindRead}).Err)
	newer := testConfig(5)
	delete(newer.Routes, "bounded")
	sim.proxy.observeVersion(5)
	go func() { sim.offerConfig(newer) }()
	is.Equal(asError(c.send(Statement{ID: "2", Kind: KindRead}).Err).Code, core.CodeUnknownDatabase)
	sim.proxy.observeVersion(9)
	s := sim.open("b", "session")
	is.NoErr(s.send(Statement{ID: "3", Kind: KindRead}).Err)
	is.Equal(sim.proxy.newestVersion(), uint64(9))
}

// TestCallerLeavesBeforeReady guards against a session that stays open at the home instance
// because its caller left before it was told that the session has started.
func TestCallerLeavesBeforeReady(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	hasRun := false
	caller := &Caller{Ready: func() error { return errDisconnected }}
	sim.proxy.runRelay(caller, "g", Peer{}, &Relay{Run: func() RelayEnd {
		hasRun = true
		return RelayEnd{Cause: RelayCallerLeft}
	}})
	is.True(hasRun) // Run closes the connection to the home instance
	is.Equal(sim.proxy.sessionCount(), 0)
}

// TestVersionsInQuickSuccession guards against a statement that waits without a bound while
// other instances announce one version after another, of which none arrives.
func TestVersionsInQuickSuccession(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	c := sim.open("a", "bounded")
	is.NoErr(c.send(Statement{ID: "1", Kind: KindRead}).Err)
	sim.proxy.observeVersion(5)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for v := uint64(6); v < 26; v++ {
			time.Sleep(minimumVersionTimeout / 6)
			sim.proxy.observeVersion(v)
		}
	}()
	startedAt := time.Now()
	is.NoErr(c.send(Statement{ID: "2", Kind: KindRead}).Err)
	is.True(time.Since(startedAt) < 2*minimumVersionTimeout)
	<-done
}

// TestConfigurationAloneIsNotReady checks that an instance that got a configuration
// from another instance, but no list of instances or endpoints yet, is not ready and
// does not report a database as unknown.
func TestConfigurationAloneIsNotReady(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.peers = nil
	sim.start()
	sim.waitFor(func() bool { return sim.proxy.configVersion() > 0 })
	is.True(!sim.proxy.IsReady())
	c := sim.open("a", "bounded")
	is.Equal(asError(receive(t, c.answers, "answer").Err).Code, core.CodeNoPrimary)
}

// TestLostGroupIsRelayed checks that a home instance that does not reach its group while it
// reaches another one relays new sessions to another home instance.
func TestLostGroupIsRelayed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.peers = []Peer{{Name: "i1", SessionAddress: netip.MustParseAddrPort("127.0.0.1:1")}, {Name: "i2", SessionAddress: netip.MustParseAddrPort("127.0.0.1:2")}}
	sim.otherGroups = []core.Group{"other"}
	relayed := make(chan Peer, 1)
	sim.relay = func(to Peer) (*Relay, error) {
		relayed <- to
		return &Relay{Run: func() RelayEnd { return RelayEnd{Cause: RelayCallerLeft} }, Stop: func(bool) {}, GiveUp: func() {}}, nil
	}
	sim.startAndWait()
	sim.setField(sim.find("r"), "dark", "yes")
	sim.setField(sim.find("p"), "dark", "yes")
	sim.waitFor(func() bool { return sim.proxy.isLost("g") })
	is.True(sim.proxy.IsReady())
	receive(t, sim.open("a", "bounded").ended, "end of the session")
	is.Equal(receive(t, relayed, "relayed").Name, core.Instance("i2"))
	sim.setField(sim.find("r"), "dark", "no")
	sim.waitFor(func() bool { return !sim.proxy.isLost("g") })
	is.NoErr(sim.open("b", "bounded").send(Statement{ID: "1", Kind: KindRead}).Err)
}

// TestLostHomeServesNoRelayedSessions checks that a home instance that does not reach a
// group ends sessions of it that others relay at once and accepts no new ones, so that
// those instances try another home instance.
func TestLostHomeServesNoRelayedSessions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	relayed, local := sim.openRelayed("a", "bounded"), sim.open("b", "bounded")
	is.NoErr(relayed.send(Statement{ID: "1", Kind: KindRead}).Err)
	is.NoErr(local.send(Statement{ID: "2", Kind: KindRead}).Err)
	for _, name := range []core.Endpoint{"p", "r", "s"} {
		sim.setField(sim.find(name), "dark", "yes")
	}
	receive(t, relayed.ended, "end of the session")
	select {
	case <-local.ended:
		t.Error("a session of a caller ended with the relayed one")
	default:
	}
	refused := sim.openRelayed("c", "bounded")
	is.Equal(asError(receive(t, refused.answers, "answer").Err).Code, core.CodeNoPrimary)
	receive(t, local.ended, "end of the session")
}

// TestIsolationOutlastsNewGroups checks that an instance without a group of its own notices
// that it is isolated without callers, and stays so when it connects to one more group,
// because no home instance of that answers.
func TestIsolationOutlastsNewGroups(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newNonHomeSimulation(t)
	sim.relay = func(Peer) (*Relay, error) { return nil, errNoHome }
	sim.otherGroups = nil
	sim.start()
	sim.waitFor(func() bool { return sim.proxy.placement.Load().monitored == "g" && sim.proxy.IsReady() })
	other := sim.groupNamed("h", false)
	c := testConfig(2)
	c.Groups[other] = GroupSettings{MaxConnections: 20}
	r := c.Routes["bounded"]
	r.Group = other
	c.Routes["other"] = r
	sim.offerConfig(c)
	for _, name := range []core.Endpoint{"p", "r", "s"} {
		sim.setField(sim.find(name), "dark", "yes")
	}
	// These sessions come before the instance is isolated.
	for n := range 3 {
		is.True(sim.open(fmt.Sprint("a", n), "other").send(Statement{ID: fmt.Sprint("a", n), Kind: KindRead}).Err != nil)
	}
	sim.waitFor(func() bool { return !sim.proxy.IsReady() })
	for n := range 20 {
		is.True(asError(sim.open(fmt.Sprint("b", n), "other").send(Statement{ID: fmt.Sprint(n), Kind: KindRead}).Err).Code != 0)
		is.True(!sim.proxy.IsReady())
		time.Sleep(10 * time.Millisecond)
	}
}

// TestReturnToHomes checks that an instance which serves a group because no home instance
// accepted a session relays again once one does, though its callers use the group all the
// time, and ends the sessions that it served meanwhile.
func TestReturnToHomes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newNonHomeSimulation(t)
	var accepting atomic.Bool
	relayed := make(chan struct{}, 1)
	sim.relay = func(Peer) (*Relay, error) {
		if !accepting.Load() {
			return nil, errNoHome
		}
		select {
		case relayed <- struct{}{}:
		default:
		}
		return &Relay{Run: func() RelayEnd { return RelayEnd{Cause: RelayCallerLeft} }, Stop: func(bool) {}, GiveUp: func() {}}, nil
	}
	sim.startNonHome()
	c := sim.open("a", "bounded")
	is.NoErr(c.send(Statement{ID: "a", Kind: KindRead}).Err)
	accepting.Store(true)
	n := 0
	sim.waitFor(func() bool {
		n++
		sim.open(fmt.Sprint("b", n), "bounded").send(Statement{ID: fmt.Sprint("b", n), Kind: KindRead})
		return len(relayed) > 0
	})
	receive(t, c.ended, "end of the session that was served here")
}

// TestSlowHomeIsPassedOver checks that the session after one that a home instance accepted
// slowly goes to another home instance, and that the slow one gets sessions again.
func TestSlowHomeIsPassedOver(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newNonHomeSimulation(t)
	relayed := make(chan Peer, 1)
	var delay atomic.Int64
	sim.relay = func(to Peer) (*Relay, error) {
		time.Sleep(time.Duration(delay.Load()))
		relayed <- to
		return &Relay{Run: func() RelayEnd { return RelayEnd{Cause: RelayCallerLeft} }, Stop: func(bool) {}, GiveUp: func() {}}, nil
	}
	sim.startNonHome()
	open := func(n int) core.Instance {
		sim.open(fmt.Sprint("a", n), "bounded")
		return receive(t, relayed, "relayed").Name
	}
	for n := range 5 {
		open(n)
	}
	delay.Store(int64(200 * time.Millisecond))
	slow := open(5)
	delay.Store(0)
	sim.waitFor(func() bool { return sim.proxy.counts.homesSlow.Count() > 0 })
	for n := range 5 {
		is.True(open(6+n) != slow)
	}
	for n := 11; open(n) != slow; n++ {
		time.Sleep(20 * time.Millisecond)
	}
	sim.waitFor(func() bool { return sim.proxy.counts.homesSlow.Count() >= 2 })
	is.True(sim.proxy.counts.homesMoved.Count() > 0)
}

// TestUnansweredError checks what a caller is told about a relayed statement that the home
// instance did not answer: a refusal is true, and only what may have been committed has an
// unknown outcome.
func TestUnansweredError(t *testing.T) {
	is := is.New(t)
	const notRun, mayHaveRun = false, true
	for _, c := range []struct {
		kind       Kind
		state      State
		mayHaveRun bool
		want       core.Code
	}{
		{KindWrite, StateIdle, mayHaveRun, core.CodeOutcomeUnknown},
		{KindExecute, StateIdle, mayHaveRun, core.CodeOutcomeUnknown},
		{KindRead, StateIdle, mayHaveRun, core.CodeReadFailed},
		{KindBegin, StateIdle, mayHaveRun, core.CodeNoConnection},
		{KindSet, StateIdle, mayHaveRun, core.CodeNoConnection},
		{KindCommit, StateIdle, mayHaveRun, core.CodeNoConnection},
		{KindWrite, StateIdle, notRun, core.CodeDraining},
		{KindRead, StateIdle, notRun, core.CodeDraining},
		{KindCommit, StateTransaction, mayHaveRun, core.CodeOutcomeUnknown},
		{KindCommit, StateTransaction, notRun, core.CodeTransactionLost},
		{KindCommit, StateFailed, mayHaveRun, core.CodeTransactionLost},
		{KindWrite, StateTransaction, mayHaveRun, core.CodeTransactionLost},
		{KindExecute, StateTransaction, notRun, core.CodeTransactionLost},
		{KindRollback, StateTransaction, mayHaveRun, core.CodeTransactionLost},
	} {
		e := UnansweredError(Statement{Kind: c.kind}, c.state, c.mayHaveRun)
		is.Equal(e.Code, c.want)                                                        // code
		is.Equal(e.RetryAfter > 0, e.Code != core.CodeOutcomeUnknown)                   // when to come back
		is.True(!c.mayHaveRun || e.Code != core.CodeDraining)                           // a statement that may have run is not said not to have
		is.Equal(e.Code.IsNotRun(), !c.mayHaveRun || e.Code != core.CodeOutcomeUnknown) // promise
	}
}
