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

// samplerQueue is how many requests may wait for one sampler.
const samplerQueue = 8

// order is one request of a group's machine to an endpoint.
type order struct {
	group.Action
	// at is when the machine asked for it.
	at time.Time
}

// sampler carries out the requests of a group's machine to one endpoint over a
// connection of its own.
type sampler struct {
	group   *groupControl
	name    core.Endpoint
	address netip.AddrPort
	orders  <-chan order
	conn    *endpoint.Conn
}

func newSampler(g *groupControl, name core.Endpoint, address netip.AddrPort, orders <-chan order) *sampler {
	return &sampler{group: g, name: name, address: address, orders: orders}
}

// Serve carries out requests until the context ends.
func (s *sampler) Serve(ctx context.Context) error {
	defer s.drop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-s.orders:
			s.carryOut(ctx, o)
		}
	}
}

func (s *sampler) carryOut(ctx context.Context, o order) {
	switch o.Kind {
	case group.ActionSample:
		s.sample(ctx, o)
	case group.ActionFence:
		status, ok := s.raise(ctx, func(c *endpoint.Conn, d time.Time) (core.Status, error) { return c.Fence(o.Term, d) })
		s.group.post(ctx, func(now time.Time) []group.Action {
			return s.group.machine.FenceDone(now, s.name, o.Term, status, ok)
		})
	case group.ActionPromote:
		status, ok := s.raise(ctx, func(c *endpoint.Conn, d time.Time) (core.Status, error) { return c.Promote(o.Term, d) })
		s.group.post(ctx, func(now time.Time) []group.Action {
			return s.group.machine.PromoteDone(now, s.name, o.Term, ok, status)
		})
	}
}

// sample asks for the status.
func (s *sampler) sample(ctx context.Context, o order) {
	if o.NewConnection {
		s.drop()
	}
	in := s.group.control.instance
	status, err := s.ask(ctx, func(c *endpoint.Conn, d time.Time) (core.Status, error) { return c.Status(d) })
	if err != nil {
		in.event(core.EventSampleFailed).WithField("endpoint", s.name).WithError(err).Debug("no sample")
		f := failureOf(err)
		s.group.post(ctx, func(now time.Time) []group.Action {
			s.group.missed(s.name)
			return s.group.machine.SampleFailed(now, s.name, o.at, f)
		})
		return
	}
	in.counts.samples.Inc(1)
	s.group.control.post(ctx, func(now time.Time) { s.group.sampled(s.name, o.at, now, status) })
}

// raise sends a fence or a promotion. When the endpoint refuses, its status is
// returned with false.
func (s *sampler) raise(ctx context.Context, request func(*endpoint.Conn, time.Time) (core.Status, error)) (core.Status, bool) {
	status, err := s.ask(ctx, request)
	if err == nil {
		return status, true
	}
	var refused *endpoint.ServerError
	if !errors.As(err, &refused) {
		return core.Status{}, false
	}
	status, _ = s.ask(ctx, func(c *endpoint.Conn, d time.Time) (core.Status, error) { return c.Status(d) })
	return status, false
}

// ask sends one request and drops the connection unless the endpoint answered.
func (s *sampler) ask(ctx context.Context, request func(*endpoint.Conn, time.Time) (core.Status, error)) (core.Status, error) {
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
		s.drop()
	}
	return status, err
}

func (s *sampler) drop() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
}

// failureOf tells what a failed request shows of its endpoint.
func failureOf(err error) group.Outcome {
	var answered *endpoint.ServerError
	switch {
	case errors.As(err, &answered):
		return group.OutcomeAnswered
	case errors.Is(err, syscall.ECONNREFUSED):
		return group.OutcomeRefused
	case endpoint.IsTimeout(err) || errors.Is(err, context.DeadlineExceeded):
		return group.OutcomeTimeout
	default:
		return group.OutcomeLost
	}
}
