package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"
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
	is.True(!e.candidate(sim.proxy.now(), true, "dc0").Down)
}
