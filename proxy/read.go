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
	// maxReadAttempts bounds how many endpoints one read is sent to.
	maxReadAttempts = 5
	// readAttemptTimeout is how long an endpoint may take to answer a read before
	// another endpoint is tried: the longest service time and a queue of a few
	// statements.
	readAttemptTimeout = 350 * time.Millisecond
	// freshnessTimeout is how long a read waits for samples that show how fresh the
	// endpoints are.
	freshnessTimeout = 250 * time.Millisecond
	// busyRetryDelay is the delay before another attempt at an endpoint without a free
	// slot.
	busyRetryDelay = 15 * time.Millisecond
	// defaultRetryAfter is when a caller should retry a read that found no endpoint:
	// new samples arrive within that time.
	defaultRetryAfter = 200 * time.Millisecond
)

// read runs a read outside a transaction.
func (s *session) read(st Statement, r Route, g *group, arrived time.Time) Answer {
	tried := map[core.Endpoint]bool{}
	var lastErr error
	for range maxReadAttempts {
		if s.remaining(r, arrived) <= 0 {
			break
		}
		a, e, err := s.readAttempt(st, r, g, arrived, tried)
		if err == nil {
			return a
		}
		if isFinal(err) {
			return s.fail(err)
		}
		if e == "" || isLimitReached(err) {
			// An overloaded endpoint may serve the read before a lagging one catches up.
			if !isOverloaded(lastErr) {
				lastErr = err
			}
			break
		}
		lastErr = err
		tried[e] = true
		s.proxy.counts.readsMoved.Inc(1)
		if errorKindOf(err) == ErrorKindBusy {
			time.Sleep(busyRetryDelay)
		}
	}
	return s.fail(readError(lastErr))
}

func isOverloaded(err error) bool {
	var e *core.Error
	return errors.As(err, &e) && (e.Code == core.CodeOverloaded || e.Code == core.CodeFairShare)
}

// readError converts the last error of a read that failed at all endpoints. A read has
// no effects, so its outcome is never unknown.
func readError(err error) *core.Error {
	var e *core.Error
	if errors.As(err, &e) {
		return e
	}
	if err == nil {
		return core.NewError(core.CodeOverloaded, "the statement timed out before an endpoint ran it").WithRetry(defaultRetryAfter)
	}
	return core.NewError(core.CodeNoFreshReplica, "no endpoint could serve the read: %v", err).WithRetry(defaultRetryAfter)
}

// readAttempt sends a read to one endpoint and returns its name, empty if none can
// serve it.
func (s *session) readAttempt(st Statement, r Route, g *group, arrived time.Time, tried map[core.Endpoint]bool) (Answer, core.Endpoint, error) {
	if r.Freshness == FreshnessNewest {
		return s.readNewest(st, r, g, arrived)
	}
	required, err := s.requirement(r, g, arrived)
	if err != nil {
		return Answer{}, "", err
	}
	e, err := s.chooseEndpoint(g, required, tried, min(s.remaining(r, arrived), r.TargetTime))
	if err != nil {
		return Answer{}, "", err
	}
	c, err := s.acquire(e, r, arrived)
	if err != nil {
		return Answer{}, e.info.Name, err
	}
	st.After, st.AfterAt = required.Point, required.ReachedAt
	abandon := e.abandonUnanswered(c.conn, s.proxy.now())
	a, err := s.exchange(c, min(s.exchangeTimeout(r, arrived), readAttemptTimeout), st, true)
	abandon.Stop()
	c.release(err == nil)
	if err == nil {
		err = a.Err
		s.keepToken(err)
	}
	a.State, a.Point = StateIdle, core.Point{}
	return a, e.info.Name, err
}

// requirement returns what an endpoint must cover to serve a read. If no sample is
// recent enough, it waits for one.
func (s *session) requirement(r Route, g *group, arrived time.Time) (place.Requirement, error) {
	var required place.Requirement
	find := func(state *groupState) bool {
		sample, ok := state.history.FirstSince(arrived.Add(-r.Staleness))
		required = place.Requirement{Point: sample.Point, ReachedAt: sample.At}
		return ok
	}
	if !find(g.state.Load()) {
		g.addDemand(failover.Demand{AsOf: arrived})
		if g.lost.Load() || !g.awaitState(min(s.remaining(r, arrived), freshnessTimeout), find) {
			return required, core.NewError(core.CodeNoFreshReplica, "too few endpoints of %s report to determine their freshness", g.name).WithRetry(defaultRetryAfter)
		}
	}
	if m, ok := s.marks[r.Group]; ok && r.Freshness == FreshnessSession && !required.Point.Covers(m.point) {
		required.Point = required.Point.Join(m.point)
		if m.at.After(required.ReachedAt) {
			required.ReachedAt = m.at
		}
	}
	return required, nil
}

// chooseEndpoint chooses an endpoint for a read. If none is eligible, it waits for one
// that is expected to catch up within maxWait.
func (s *session) chooseEndpoint(g *group, required place.Requirement, tried map[core.Endpoint]bool, maxWait time.Duration) (*endpoint, error) {
	deadline := s.proxy.now().Add(maxWait)
	for {
		state := g.state.Load()
		now := s.proxy.now()
		candidates := make([]place.Candidate, 0, len(state.endpoints))
		for _, e := range state.endpoints {
			candidates = append(candidates, e.candidate(now, e == state.primary, s.proxy.settings.DataCentre, s.organisation))
		}
		if name, ok := place.Choose(now, required, candidates, tried, globalRandom); ok {
			if e := state.endpoint(name); e != nil {
				return e, nil
			}
		}
		wait, ok := place.CatchUpDelay(now, required, candidates)
		if !ok || now.Add(wait).After(deadline) {
			return nil, core.NewError(core.CodeNoFreshReplica, "none of %d endpoints of %s can serve a read at %s", len(candidates), g.name, required.Point).WithRetry(max(wait, defaultRetryAfter))
		}
		clear(tried)
		time.Sleep(wait)
	}
}

// endpoint returns the endpoint with the given name, nil if there is none.
func (s *groupState) endpoint(name core.Endpoint) *endpoint {
	for _, e := range s.endpoints {
		if e.info.Name == name {
			return e
		}
	}
	return nil
}

// globalRandom draws from the runtime's source, which is safe for concurrent use.
var globalRandom = rand.New(sharedSource{})

type sharedSource struct{}

// Uint64 returns a number from the runtime's source.
func (sharedSource) Uint64() uint64 { return rand.Uint64() }

// readNewest runs a read that covers everything acknowledged before it arrived. It
// runs on the primary and waits for confirmation that the primary had not been
// replaced by then.
func (s *session) readNewest(st Statement, r Route, g *group, arrived time.Time) (Answer, core.Endpoint, error) {
	e, term, err := s.awaitPrimary(g, arrived, r, (*groupState).isServing)
	if err != nil {
		return Answer{}, "", err
	}
	g.addDemand(failover.Demand{AsOf: arrived})
	c, err := s.acquire(e, r, arrived)
	if err != nil {
		return Answer{}, "", err
	}
	a, err := s.exchange(c, s.exchangeTimeout(r, arrived), st, true)
	c.release(err == nil)
	if err == nil {
		err = a.Err
		s.keepToken(err)
	}
	if err != nil {
		return Answer{}, e.info.Name, err
	}
	if v := g.awaitVerdict(s.exchangeTimeout(r, arrived), arrived, term, core.Point{Term: term}); v != failover.VerdictConfirmed {
		return Answer{}, e.info.Name, core.NewError(core.CodeNoPrimary, "%s could not be confirmed as the primary", e.info.Name).WithRetry(defaultRetryAfter)
	}
	a.State, a.Point = StateIdle, core.Point{}
	return a, e.info.Name, nil
}
