package proxy

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"

	"anviltack/core"
	"anviltack/core/home"
)

var errNoHome = errors.New("not taken")

// newGuest returns a world whose instance is no home of the group: the endpoints take
// 20 connections from so many instances that few of them connect.
func newGuest() *simulation {
	w := newSimulation(nil)
	for n := 20; ; n++ {
		w.peers = nil
		var live []home.Instance
		for i := 1; i <= n; i++ {
			p := Peer{Name: core.Instance(fmt.Sprint("i", i)), DataCentre: core.DataCentre(fmt.Sprint("dc", i%3)), SessionAddress: netip.MustParseAddrPort("127.0.0.1:1")}
			w.peers = append(w.peers, p)
			live = append(live, home.Instance{Name: p.Name, DataCentre: p.DataCentre})
		}
		if !slices.Contains(home.Choose("g", live, 20), "i1") {
			return w
		}
	}
}

// startGuest starts the instance and waits until it knows the homes.
func (s *simulation) startGuest() {
	s.start()
	s.waitFor(func() bool { return len((*s.proxy.homes.Load())["g"]) > 0 && s.proxy.IsReady() })
	s.waitFor(func() bool { return (*s.proxy.groups.Load())["g"] == nil })
}

// TestGuestHandsSessionsOn connects to no endpoint and opens sessions at a home in
// its own data centre, and ends them in a planned stop.
func TestGuestHandsSessionsOn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newGuest()
	taken, stopped := make(chan Peer, 1), make(chan struct{})
	var once sync.Once
	w.relay = func(to Peer) (*Relay, error) {
		taken <- to
		return &Relay{
			Run:  func() string { <-stopped; return "" },
			Stop: func(bool) { once.Do(func() { close(stopped) }) },
		}, nil
	}
	w.startGuest()
	c := w.open("a", "bounded")
	is.Equal((<-taken).DataCentre, core.DataCentre("dc1"))
	w.mu.Lock()
	for _, f := range w.fakes {
		is.Equal(f.reports, 0)
	}
	w.mu.Unlock()
	close(w.stop)
	<-c.ended
	is.NoErr(<-w.done)
}

// TestGuestServesWithoutHomes serves a group itself while no home takes sessions, and
// offers the next session to homes that were not tried lately.
func TestGuestServesWithoutHomes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newGuest()
	var mu sync.Mutex
	var asked []core.Instance
	w.relay = func(to Peer) (*Relay, error) {
		mu.Lock()
		defer mu.Unlock()
		asked = append(asked, to.Name)
		return nil, errNoHome
	}
	w.startGuest()
	c := w.open("a", "bounded")
	a := c.send(Statement{ID: "1", Kind: KindRead})
	is.NoErr(a.Err)
	is.True(a.Proof != "")
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(asked), relayTries)
	slices.Sort(asked)
	is.Equal(len(slices.Compact(asked)), relayTries)
}

// TestHandedOnSessionStaysHere does not hand a session on a second time, whatever
// this instance takes for its home.
func TestHandedOnSessionStaysHere(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newGuest()
	w.relay = func(Peer) (*Relay, error) { panic("handed on twice") }
	w.startGuest()
	c := w.openRelayed("a", "bounded")
	is.NoErr(c.send(Statement{ID: "1", Kind: KindRead}).Err)
	close(w.stop)
	w.waitFor(func() bool { return !w.proxy.IsReady() })
	refused := w.openRelayed("b", "bounded")
	is.Equal(asError((<-refused.answers).Err).Code, core.CodeDraining)
}

// TestStatementsWaitForTheVersion answers no statement by a configuration older than
// another instance told of, unless it does not come.
func TestStatementsWaitForTheVersion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newSimulation(nil)
	w.startAndWait()
	c := w.open("a", "bounded")
	is.NoErr(c.send(Statement{ID: "1", Kind: KindRead}).Err)
	newer := testConfig(5)
	delete(newer.Routes, "bounded")
	w.proxy.observeVersion(5)
	go func() { w.offerConfig(newer) }()
	is.Equal(asError(c.send(Statement{ID: "2", Kind: KindRead}).Err).Code, core.CodeUnknownDatabase)
	w.proxy.observeVersion(9)
	s := w.open("b", "session")
	is.NoErr(s.send(Statement{ID: "3", Kind: KindRead}).Err)
	is.Equal(w.proxy.newestVersion(), uint64(9))
}

// TestConfigurationAloneIsNotReady takes no sessions, and does not call a database
// unknown, while an instance has a configuration from another one and no list of
// instances or endpoints.
func TestConfigurationAloneIsNotReady(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newSimulation(nil)
	w.peers = nil
	w.start()
	w.waitFor(func() bool { return w.proxy.configVersion() > 0 })
	is.True(!w.proxy.IsReady())
	c := w.open("a", "bounded")
	is.Equal(asError((<-c.answers).Err).Code, core.CodeNoPrimary)
}
