package proxy

import (
	"errors"
	"math/rand/v2"
	"time"

	"anviltack/core"
	failover "anviltack/core/group"
	"anviltack/core/place"
)

const (
	// readTries bounds how many endpoints one read is sent to.
	readTries = 5
	// readPatience is how long one endpoint may take with a read before another
	// is asked: the longest work and a queue of a few.
	readPatience = 350 * time.Millisecond
	// sampleWait is how long a read waits for proof of how fresh endpoints are.
	sampleWait = 250 * time.Millisecond
	// busyPause separates attempts at an endpoint that is full.
	busyPause = 15 * time.Millisecond
	// retryAdvice is when a caller should come back after a read that found no
	// endpoint: within that time reports come in again.
	retryAdvice = 200 * time.Millisecond
)

// read runs one read outside a transaction.
func (s *session) read(st Statement, r Route, g *group, arrived time.Time) Answer {
	tried := map[core.Endpoint]bool{}
	var last error
	for range readTries {
		left := r.Timeout - s.proxy.now().Sub(arrived)
		if left <= 0 {
			break
		}
		a, e, err := s.readOnce(st, r, g, arrived, left, tried)
		if err == nil {
			return a
		}
		if e == "" {
			// What was overloaded may serve sooner than what is behind catches up.
			if !isOverloaded(last) {
				last = err
			}
			break
		}
		last = err
		tried[e] = true
		s.proxy.counts.readsMoved.Inc(1)
		if faultOf(err) == FaultBusy {
			time.Sleep(busyPause)
		}
	}
	return s.fail(readError(last))
}

func isOverloaded(err error) bool {
	var e *core.Error
	return errors.As(err, &e) && e.Code == core.CodeOverloaded
}

// readError is what a caller is told when a read failed everywhere. A read leaves
// nothing behind, so nothing of it is kept.
func readError(err error) *core.Error {
	var e *core.Error
	if errors.As(err, &e) {
		return e
	}
	if f := faultOf(err); f == FaultUnknownName {
		return core.NewError(core.CodeUnknownPrepared, "%v", err)
	}
	if err == nil {
		return core.NewError(core.CodeOverloaded, "the statement's time was over before an endpoint took it").WithRetry(retryAdvice)
	}
	return core.NewError(core.CodeNoFreshReplica, "no endpoint could serve the read: %v", err).WithRetry(retryAdvice)
}

// readOnce sends a read to one endpoint. It returns which, empty when none can be
// asked.
func (s *session) readOnce(st Statement, r Route, g *group, arrived time.Time, left time.Duration, tried map[core.Endpoint]bool) (Answer, core.Endpoint, error) {
	if r.Freshness == FreshnessNewest {
		return s.readNewest(st, r, g, arrived, left)
	}
	need, err := s.need(r, g, arrived)
	if err != nil {
		return Answer{}, "", err
	}
	e, err := s.place(g, need, tried, min(left, r.TargetTime))
	if err != nil {
		return Answer{}, "", err
	}
	l, err := e.acquire(s.claim(e, r, arrived, left))
	if err != nil {
		return Answer{}, e.info.Name, err
	}
	st.After, st.AfterAt = need.Point, need.ReachedAt
	a, err := s.exchange(l, min(left, readPatience), st, true)
	l.release(err == nil)
	if err == nil {
		err = a.Err
	}
	a.State, a.Point = StateIdle, core.Point{}
	return a, e.info.Name, err
}

// need returns what a read asks of an endpoint, and waits for it if nothing
// recent enough is known.
func (s *session) need(r Route, g *group, arrived time.Time) (place.Requirement, error) {
	var need place.Requirement
	find := func(state *groupState) bool {
		sample, ok := state.history.FirstSince(arrived.Add(-r.Staleness))
		need = place.Requirement{Point: sample.Point, ReachedAt: sample.At}
		return ok
	}
	if !find(g.state.Load()) {
		g.want(failover.Demand{AsOf: arrived})
		if !g.await(sampleWait, find) {
			return need, core.NewError(core.CodeNoFreshReplica, "too few endpoints of %s report to tell how fresh any is", g.name).WithRetry(retryAdvice)
		}
	}
	if m, ok := s.marks[r.Group]; ok && r.Freshness == FreshnessSession && !need.Point.Covers(m.point) {
		need.Point = need.Point.Join(m.point)
		if m.at.After(need.ReachedAt) {
			need.ReachedAt = m.at
		}
	}
	return need, nil
}

// place chooses an endpoint for a read. While none will do it waits for one that
// is expected to catch up within limit.
func (s *session) place(g *group, need place.Requirement, tried map[core.Endpoint]bool, limit time.Duration) (*endpoint, error) {
	end := s.proxy.now().Add(limit)
	for {
		state := g.state.Load()
		now := s.proxy.now()
		candidates := make([]place.Candidate, 0, len(state.endpoints))
		for _, e := range state.endpoints {
			candidates = append(candidates, e.candidate(now, e == state.primary, s.proxy.settings.DataCentre))
		}
		if name, ok := place.Choose(now, need, candidates, tried, globalRandom); ok {
			if e := state.endpoint(name); e != nil {
				return e, nil
			}
		}
		wait, ok := place.CatchUpDelay(now, need, candidates)
		if !ok || now.Add(wait).After(end) {
			return nil, core.NewError(core.CodeNoFreshReplica, "none of %d endpoints of %s can serve a read at %s", len(candidates), g.name, need.Point).WithRetry(max(wait, retryAdvice))
		}
		clear(tried)
		time.Sleep(wait)
	}
}

// endpoint returns the endpoint of a name, nil when it is gone.
func (s *groupState) endpoint(name core.Endpoint) *endpoint {
	for _, e := range s.endpoints {
		if e.info.Name == name {
			return e
		}
	}
	return nil
}

// globalRandom draws from the shared source, which goroutines may use together.
var globalRandom = rand.New(sharedSource{})

type sharedSource struct{}

// Uint64 draws from the runtime's source.
func (sharedSource) Uint64() uint64 { return rand.Uint64() }

// readNewest runs a read that sees everything acknowledged before it came: on the
// primary, with proof that it was not replaced by then.
func (s *session) readNewest(st Statement, r Route, g *group, arrived time.Time, left time.Duration) (Answer, core.Endpoint, error) {
	e, term, err := s.primary(g, arrived, r, (*groupState).isServing)
	if err != nil {
		return Answer{}, "", err
	}
	g.want(failover.Demand{AsOf: arrived})
	l, err := e.acquire(s.claim(e, r, arrived, left))
	if err != nil {
		return Answer{}, "", err
	}
	a, err := s.exchange(l, left, st, true)
	l.release(err == nil)
	if err == nil {
		err = a.Err
	}
	if err != nil {
		return Answer{}, e.info.Name, err
	}
	left = max(r.Timeout-s.proxy.now().Sub(arrived), busyPause)
	if v := g.verdict(left, arrived, term, core.Point{Term: term}); v != failover.VerdictConfirmed {
		return Answer{}, e.info.Name, core.NewError(core.CodeNoPrimary, "%s could not be proved to be the primary", e.info.Name).WithRetry(retryAdvice)
	}
	a.State, a.Point = StateIdle, core.Point{}
	return a, e.info.Name, nil
}
