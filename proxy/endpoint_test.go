package proxy

import (
	"fmt"
	"slices"
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
	e.setShare(connections, 1)
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

// queued waits until a number of statements wait for a connection.
func (s *simulation) queued(e *endpoint, n int) {
	s.t.Helper()
	s.waitFor(func() bool { return e.dump().Waiting == n })
}

// TestHotOrganisation checks that the statement of an organisation that sends little is
// granted the next place before those of a hot one that came earlier, and that the hot one
// is refused as beyond its share, while another one is admitted.
func TestHotOrganisation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim, e := newTestEndpoint(t, 12)
	now := sim.proxy.now()
	request := func(o core.Organisation, weight float64) connectionRequest {
		return connectionRequest{organisation: o, weight: weight, deadline: now, maxWait: stepTimeout}
	}
	hot, small := request("hot", 10), request("small", 10)
	small.deadline = now.Add(time.Second)
	places := e.mix.MaxInFlight
	grants := make(chan *endpointConn, 3*places)
	acquire := func(r connectionRequest) {
		if c, err := e.acquire(r); err == nil {
			grants <- c
		}
	}
	for range places {
		go acquire(hot)
	}
	held := make([]*endpointConn, places)
	for i := range held {
		held[i] = receive(t, grants, "grant")
	}
	for n := range places {
		go acquire(hot)
		sim.queued(e, n+1)
	}
	go acquire(small)
	sim.queued(e, places+1)
	impatient := request("hot", 10)
	impatient.maxWait = e.queue.ServiceTime() - time.Millisecond // less than all places take for what waits
	_, err := e.acquire(impatient)
	is.Equal(asError(err).Code, core.CodeFairShare)
	is.True(asError(err).RetryAfter > 0)
	first := make([]core.Organisation, 0, 2)
	for i := range 2 {
		held[i].release(true)
		first = append(first, receive(t, grants, "grant").organisation)
	}
	is.True(slices.Contains(first, "small")) // an opening and a statement take turns
}

// TestLeavesPlacesToUrgent checks that statements of a less urgent priority leave places in
// flight to the more urgent ones that come while the endpoint's slots are full, and take all
// if they are not.
func TestLeavesPlacesToUrgent(t *testing.T) {
	for _, isFull := range []bool{false, true} {
		is := is.New(t)
		sim, e := newTestEndpoint(t, 12)
		for range 200 {
			e.inFlightLimit.Observe("d", 10*time.Millisecond, false)
		}
		for range 40 {
			e.inFlightLimit.Observe("d", map[bool]time.Duration{false: 10 * time.Millisecond, true: 20 * time.Millisecond}[isFull], false)
		}
		places := e.mix.MaxInFlight
		is.True(places > 1)
		urgent := connectionRequest{organisation: "a", deadline: sim.proxy.now(), maxWait: stepTimeout}
		patient := urgent
		patient.priority = 1
		for range 3 {
			c, err := e.acquire(urgent)
			is.NoErr(err)
			c.release(true)
		}
		for range places - places/2 {
			_, err := e.acquire(patient)
			is.NoErr(err)
		}
		patient.maxWait = 50 * time.Millisecond
		_, err := e.acquire(patient)
		is.Equal(err != nil, isFull)
		_, err = e.acquire(urgent)
		is.NoErr(err)
	}
}

// TestWeights checks the shares of organisations with and without a limit.
func TestWeights(t *testing.T) {
	is := is.New(t)
	c := &Config{Organisations: map[core.Organisation]OrganisationSettings{"a": {Rate: 10}, "b": {Rate: 30}, "c": {}}}
	c.setWeights()
	is.Equal(c.weights, map[core.Organisation]float64{"": 30, "a": 10, "b": 30, "c": 30})
	c = &Config{}
	c.setWeights()
	is.Equal(c.weights["a"], 0.0)
}

// TestFreePlacesRefuseNone checks that a statement is not refused for the time that others
// take while places in flight are free for all.
func TestFreePlacesRefuseNone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim, e := newTestEndpoint(t, 12)
	e.queue.ObserveServiceTime(1000 * stepTimeout)
	sim.setField(sim.find("p"), "dark", "yes")
	results := make(chan error, 2)
	for _, o := range []core.Organisation{"a", "b"} {
		go func() {
			_, err := e.acquire(connectionRequest{organisation: o, maxWait: stepTimeout})
			results <- err
		}()
	}
	for range 2 {
		is.Equal(asError(receive(t, results, "rejection")).Code, core.CodeNoConnection)
	}
}

// TestPanicsInControlRequests guards against a panic that ends the whole process: handshakes,
// samples, checks of the primary and fences run in goroutines of their own.
func TestPanicsInControlRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.garbleControl("p", "r", "s")
	sim.startAndWait() // the first samples open connections
	is.Equal(sim.proxy.counts.sessionPanics.Count(), int64(3))
	sim.garbleControl("p", "r", "s")
	sim.waitFor(func() bool { return sim.proxy.counts.sessionPanics.Count() == 6 })
	is.NoErr(sim.open("a", "newest").send(Statement{ID: "1", Kind: KindWrite}).Err)

	sim, e := newTestEndpoint(t, 3)
	sim.garbleControl("p")
	_, err := e.acquire(connectionRequest{organisation: "north", maxWait: stepTimeout})
	is.Equal(asError(err).Code, core.CodeNoConnection)
	_, _, err = e.sample(false)
	is.NoErr(err)
	sim.garbleControl("p")
	_, err = e.fence(1, core.RolePrimary)
	is.Equal(err, errUnusableAnswer)
	is.Equal(e.mix.Open, 0) // the connections were closed
	is.Equal(e.sampling, 0)
}
