package instance

import (
	"context"
	"net/netip"
	"time"

	"anviltack/core"
	"anviltack/io/endpoint"
)

// Periods of a sampler.
const (
	// hurriedPause is the time between two samples while statements wait.
	hurriedPause = 500 * time.Microsecond
	// redialPause is the time between two attempts to connect.
	redialPause = 50 * time.Millisecond
)

// sampler asks one endpoint for its status over a connection of its own.
type sampler struct {
	group   *groupControl
	name    core.Endpoint
	address netip.AddrPort
	wake    <-chan struct{}
	conn    *endpoint.Conn
}

func newSampler(g *groupControl, name core.Endpoint, address netip.AddrPort, wake <-chan struct{}) *sampler {
	return &sampler{group: g, name: name, address: address, wake: wake}
}

// Serve takes samples until the context ends.
func (s *sampler) Serve(ctx context.Context) error {
	defer s.drop()
	for ctx.Err() == nil {
		pause := s.sample(ctx)
		s.rest(ctx, pause)
	}
	return ctx.Err()
}

// sample takes one sample and returns how long to rest.
func (s *sampler) sample(ctx context.Context) time.Duration {
	in := s.group.control.instance
	sentAt := time.Now()
	status, err := s.status(ctx, sentAt.Add(in.settings.Answer))
	if err != nil {
		s.drop()
		s.group.control.post(ctx, func(time.Time) { s.group.missed(s.name) })
		in.event(core.EventSampleFailed).WithField("endpoint", s.name).WithError(err).Debug("no sample")
		return redialPause
	}
	in.counts.samples.Inc(1)
	s.group.control.post(ctx, func(now time.Time) { s.group.sampled(s.name, sentAt, now, status) })
	if s.group.group.waiting.Load() > 0 {
		return hurriedPause
	}
	return in.settings.Sample
}

func (s *sampler) status(ctx context.Context, deadline time.Time) (core.Status, error) {
	if s.conn == nil {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		in := s.group.control.instance
		c, err := endpoint.Dial(ctx, s.name, s.address, in.login())
		if err != nil {
			return core.Status{}, err
		}
		s.conn = c
	}
	return s.conn.Status(deadline)
}

func (s *sampler) rest(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	wake := s.wake
	if pause != s.group.control.instance.settings.Sample {
		wake = nil
	}
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}

func (s *sampler) drop() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
}
