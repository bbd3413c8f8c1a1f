package proxy

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"anviltack/core"
)

// newTestEndpoint returns endpoint p of a simulation whose instance does not run, so that
// nothing else uses the endpoint.
func newTestEndpoint(t *testing.T, connections int) (*simulation, *endpoint) {
	sim := newSimulation(t)
	e := newEndpoint(newGroupControl(sim.proxy.control, "g"), sim.find("p").info)
	e.setShare(2*connections, 1)
	return sim, e
}

// TestRefusedSampleIsResponse checks that an endpoint does not count as silent after it
// answered a sample with an error, as it does while its slots are full.
func TestRefusedSampleIsResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim, e := newTestEndpoint(t, 1)
	_, _, err := e.request(false, func(*Conn) (Report, error) {
		e.mu.Lock()
		e.unansweredSince = sim.proxy.now().Add(-time.Second)
		e.mu.Unlock()
		return Report{}, &EndpointError{Kind: ErrorKindBusy}
	})
	is.Equal(errorKindOf(err), ErrorKindBusy)
	is.True(e.responses().UnansweredSince.IsZero())
	is.True(!e.candidate(sim.proxy.now(), true, "dc0", "").Down)
}

// TestOrganisationsShareNoConnection checks that the statements of six organisations run on
// connections of their own while the instance may open three to each endpoint.
func TestOrganisationsShareNoConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	c := testConfig(2)
	c.Groups["g"] = GroupSettings{MaxConnections: 6}
	c.Organisations = make(map[core.Organisation]OrganisationSettings)
	for n := range 6 {
		c.Organisations[core.Organisation(fmt.Sprint("o", n))] = OrganisationSettings{Keys: []core.Key{core.Key(fmt.Sprint("k", n))}}
	}
	sim.offer(c)
	var wg sync.WaitGroup
	for n := range 6 {
		caller := sim.open(fmt.Sprint("k", n), "newest")
		wg.Go(func() {
			for i := range 40 {
				a := caller.send(Statement{ID: fmt.Sprint(n, "-", i), Kind: KindWrite})
				if a.Err != nil || !strings.HasSuffix(a.Rows[0], fmt.Sprint(" for o", n)) {
					t.Errorf("organisation o%d: %v %v", n, a.Rows, a.Err)
				}
			}
		})
	}
	wg.Wait()
	d := sim.proxy.placement.Load().groups["g"].state.Load().primary.dump()
	is.True(d.Open <= d.Limit+extraSampleConnections)
	is.Equal(d.Limit, 3)
	is.True(sim.proxy.counts.connsReplaced.Count() > 0)
	is.True(len(d.IdleOf) <= dumpedOrganisations)
}

// TestFailedOpeningRejectsOnlyUnserved checks that a failed opening rejects at once the
// statements of an organisation without a connection, and leaves those that wait for one.
func TestFailedOpeningRejectsOnlyUnserved(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim, e := newTestEndpoint(t, 3)
	held, err := e.acquire(connectionRequest{organisation: "north", maxWait: stepTimeout})
	is.NoErr(err)
	sim.setField(sim.find("p"), "dark", "yes")
	results := make(chan error, 2)
	for _, o := range []core.Organisation{"north", "south"} {
		go func() {
			c, err := e.acquire(connectionRequest{organisation: o, maxWait: stepTimeout})
			if err == nil && c != held {
				err = fmt.Errorf("%s got a connection of %s", o, c.organisation)
			}
			results <- err
		}()
	}
	err = receive(t, results, "rejection")
	is.Equal(asError(err).Code, core.CodeNoConnection)
	is.True(asError(err).RetryAfter > 0)
	held.release(true)
	is.NoErr(receive(t, results, "grant"))
}

func (e *endpoint) openings() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mix.Opening
}

// TestFailedOpeningsGrantOthers checks that a statement which has an idle connection runs
// while the openings of other organisations last, and that the places of those that fail go
// to the statements that wait.
func TestFailedOpeningsGrantOthers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim, e := newTestEndpoint(t, 12)
	held := make([]*endpointConn, 2)
	for i := range held {
		var err error
		held[i], err = e.acquire(connectionRequest{organisation: "y", maxWait: stepTimeout})
		is.NoErr(err)
	}
	for _, c := range held {
		c.release(true)
	}
	sim.setField(sim.find("p"), "dark", "yes")
	rejections := make(chan error, e.mix.MaxInFlight)
	for i := range e.mix.MaxInFlight {
		go func() {
			_, err := e.acquire(connectionRequest{organisation: core.Organisation(fmt.Sprint("o", i)), maxWait: stepTimeout})
			rejections <- err
		}()
	}
	for begin := time.Now(); e.openings() < e.mix.MaxInFlight; time.Sleep(time.Millisecond) {
		is.True(time.Since(begin) < stepTimeout)
	}
	begin := time.Now()
	_, err := e.acquire(connectionRequest{organisation: "y", maxWait: stepTimeout})
	is.NoErr(err)
	is.True(time.Since(begin) < connectTimeout/2)
	_, err = e.acquire(connectionRequest{organisation: "y", maxWait: 2 * connectTimeout})
	is.NoErr(err) // the first one still runs
	is.Equal(asError(receive(t, rejections, "rejection")).Code, core.CodeNoConnection)
}

// TestFailedSampleGrants checks that the room of a sample's connection which failed to open
// goes to a statement that waits.
func TestFailedSampleGrants(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim, e := newTestEndpoint(t, 1)
	c, err := e.takeIdleOrReserve(false)
	is.True(c == nil && err == nil)
	result := make(chan error, 1)
	go func() {
		_, err := e.acquire(connectionRequest{organisation: "y", maxWait: 4 * connectTimeout})
		result <- err
	}()
	sim.waitFor(func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.queue.Len() == 1
	})
	sim.setField(sim.find("p"), "dark", "yes")
	_, err = e.dial()
	is.True(err != nil)
	is.Equal(asError(receive(t, result, "rejection")).Code, core.CodeNoConnection) // it tried to connect
}

// TestTrimsExtraConnection checks that the connection which a sample opened beyond the
// instance's share is closed when a statement's connection comes back, but not while a
// sample runs.
func TestTrimsExtraConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, e := newTestEndpoint(t, 1)
	y := connectionRequest{organisation: "y", maxWait: stepTimeout}
	held, err := e.acquire(y)
	is.NoErr(err)
	_, _, err = e.request(false, func(*Conn) (Report, error) { return Report{}, nil })
	is.NoErr(err)
	is.Equal(e.dump().Open, 2)
	_, _, err = e.request(false, func(*Conn) (Report, error) {
		held.release(true)
		return Report{}, nil
	})
	is.NoErr(err)
	is.Equal(e.dump().Open, 2)
	held, err = e.acquire(y)
	is.NoErr(err)
	held.release(true)
	is.Equal(e.dump().Open, 1)
}
