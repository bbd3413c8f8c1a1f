package instance

import (
	"context"
	"errors"
	"net/netip"
	"syscall"
	"time"

	"anviltack/core"
	"anviltack/core/group"
	"anviltack/io/endpoint"
)

// samplerQueueSize is how many requests may be queued for one sampler.
const samplerQueueSize = 8

// endpointRequest is one request of a group's machine to an endpoint.
type endpointRequest struct {
	group.Action
	// requestedAt is when the machine issued the request.
	requestedAt time.Time
}

// sampler sends the requests of a group's machine to one endpoint over its own
// connection.
type sampler struct {
	group    *groupControl
	name     core.Endpoint
	address  netip.AddrPort
	requests <-chan endpointRequest
	conn     *endpoint.Conn
}

func newSampler(g *groupControl, name core.Endpoint, address netip.AddrPort, requests <-chan endpointRequest) *sampler {
	return &sampler{group: g, name: name, address: address, requests: requests}
}

// Serve carries out requests until the context ends.
func (s *sampler) Serve(ctx context.Context) error {
	defer s.closeConnection()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-s.requests:
			s.carryOut(ctx, r)
		}
	}
}

func (s *sampler) carryOut(ctx context.Context, r endpointRequest) {
	switch r.Kind {
	case group.ActionSample:
		s.sample(ctx, r)
	case group.ActionFence:
		status, ok := s.fenceOrPromote(ctx, func(c *endpoint.Conn, d time.Time) (core.Status, error) { return c.Fence(r.Term, d) })
		s.group.post(ctx, func(now time.Time) []group.Action {
			return s.group.machine.FenceDone(now, s.name, r.Term, status, ok)
		})
	case group.ActionPromote:
		status, ok := s.fenceOrPromote(ctx, func(c *endpoint.Conn, d time.Time) (core.Status, error) { return c.Promote(r.Term, d) })
		s.group.post(ctx, func(now time.Time) []group.Action {
			return s.group.machine.PromoteDone(now, s.name, r.Term, ok, status)
		})
	}
}

// sample requests the status and reports it, or the failure, to the machine.
func (s *sampler) sample(ctx context.Context, r endpointRequest) {
	if r.NewConnection {
		s.closeConnection()
	}
	in := s.group.control.instance
	status, err := s.roundTrip(ctx, func(c *endpoint.Conn, d time.Time) (core.Status, error) { return c.Status(d) })
	if err != nil {
		in.event(core.EventSampleFailed).WithField("endpoint", s.name).WithError(err).Debug("could not sample the endpoint")
		outcome := trafficOutcome(err)
		s.group.post(ctx, func(now time.Time) []group.Action {
			s.group.recordSampleFailure(s.name)
			return s.group.machine.SampleFailed(now, s.name, r.requestedAt, outcome)
		})
		return
	}
	in.counters.samples.Inc(1)
	s.group.control.post(ctx, func(now time.Time) { s.group.handleSample(s.name, r.requestedAt, now, status) })
}

// fenceOrPromote sends a fence or a promotion. If the endpoint rejects it, its
// current status and false are returned.
func (s *sampler) fenceOrPromote(ctx context.Context, request func(*endpoint.Conn, time.Time) (core.Status, error)) (core.Status, bool) {
	status, err := s.roundTrip(ctx, request)
	if err == nil {
		return status, true
	}
	var responseError *endpoint.ResponseError
	if !errors.As(err, &responseError) {
		return core.Status{}, false
	}
	status, _ = s.roundTrip(ctx, func(c *endpoint.Conn, d time.Time) (core.Status, error) { return c.Status(d) })
	return status, false
}

// roundTrip sends one request and returns the status in the response. It opens a
// connection if there is none and closes one that failed.
func (s *sampler) roundTrip(ctx context.Context, request func(*endpoint.Conn, time.Time) (core.Status, error)) (core.Status, error) {
	deadline := time.Now().Add(s.group.control.instance.settings.Answer)
	if s.conn == nil {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		c, err := endpoint.Dial(ctx, s.name, s.address, s.group.control.instance.login())
		if err != nil {
			return core.Status{}, err
		}
		s.conn = c
	}
	status, err := request(s.conn, deadline)
	if s.conn.Err() != nil {
		s.closeConnection()
	}
	return status, err
}

func (s *sampler) closeConnection() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
}

// trafficOutcome classifies the error of a failed request to an endpoint.
func trafficOutcome(err error) group.Outcome {
	var responseError *endpoint.ResponseError
	switch {
	case errors.As(err, &responseError):
		return group.OutcomeAnswered
	case errors.Is(err, syscall.ECONNREFUSED):
		return group.OutcomeRefused
	case endpoint.IsTimeout(err) || errors.Is(err, context.DeadlineExceeded):
		return group.OutcomeTimeout
	default:
		return group.OutcomeLost
	}
}
