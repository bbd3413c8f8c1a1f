package instance

import (
	"math/rand/v2"
	"time"

	"anviltack/core"
	"anviltack/core/group"
	"anviltack/core/patch"
	"anviltack/core/route"
	"anviltack/io/endpoint"
)

// maxReadAttempts is the maximum number of endpoints on which one read is tried.
const maxReadAttempts = 5

// readState holds what one session needs to choose endpoints for its reads.
type readState struct {
	router  *route.Router
	request route.Request
	// failedOn are the endpoints on which the current read failed.
	failedOn []core.Endpoint
}

func (in *Instance) newRouter() *route.Router {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return route.NewRouter(random, route.WithDataCentre(in.settings.DataCentre))
}

// raiseMark raises the mark of the session's group so that it covers p.
func (s *session) raiseMark(p core.Point) {
	now := time.Now()
	if s.marks.Raise(s.group.Name, p, now) {
		s.markRaisedAt = now
		s.markUnreported = true
	}
}

// acceptMark merges a token that the caller presents into the session's marks.
func (s *session) acceptMark(token string) *core.Error {
	now := time.Now()
	if err := s.marks.Accept(token, now); err != nil {
		return core.NewError(core.CodeBadMark, "a mark must be a value that anviltack.mark reported")
	}
	s.markRaisedAt = now
	s.markUnreported = true
	return nil
}

// isRead reports whether the pipeline is a read, that is, a single statement
// annotated with a kind. Several statements are not, because one of them could
// end the read-only transaction.
func (pl *pipeline) isRead() bool {
	return pl.annotation.kind != "" && pl.executions <= 1
}

// serveRead runs a read in a read-only transaction on an endpoint that covers
// the session's mark and is fresh enough for the kind.
func (s *session) serveRead(pl *pipeline) error {
	kind, e := s.findKind(pl.annotation.kind)
	if e != nil {
		return s.refuse(e)
	}
	request := &s.reads.request
	request.Requirement = s.marks.Requirement(s.group.Name, time.Duration(kind.Age), pl.arrived)
	request.Arrived, request.Deadline = pl.arrived, pl.deadline
	s.reads.failedOn = s.reads.failedOn[:0]
	for range maxReadAttempts {
		state, c := s.chooseEndpoint()
		if c.Action == route.ActionRefuse {
			return s.refuse(s.reads.refusal(c.Err))
		}
		done, err := s.readOn(pl, state, state.Members[c.Endpoint])
		if done || err != nil {
			return err
		}
		if !s.instance.retries.allowRetry() {
			return s.refuse(readFailedError("the read failed and the retry budget is exhausted"))
		}
		s.instance.counters.readRetries.Inc(1)
		s.reads.failedOn = append(s.reads.failedOn, c.Endpoint)
	}
	return s.refuse(readFailedError("the read failed %d times", maxReadAttempts))
}

// refusal returns the error for a read that found no endpoint before its
// deadline. If the read was tried and failed, the error says so instead.
func (r *readState) refusal(e *core.Error) *core.Error {
	if len(r.failedOn) == 0 || e.Code != core.CodeNoFreshReplica {
		return e
	}
	return readFailedError("the read failed %d times", len(r.failedOn))
}

func (s *session) findKind(name core.Kind) (patch.Kind, *core.Error) {
	kind, ok := s.database.Kinds[name]
	if !ok {
		return kind, core.NewError(core.CodeUnknownKind, "database %s has no kind %q", s.login.Database, name)
	}
	return kind, nil
}

// chooseEndpoint returns an endpoint for the current read, or a refusal. It
// waits for a newer group state while the router expects an endpoint to become
// fresh enough.
func (s *session) chooseEndpoint() (*GroupState, route.Choice) {
	state := s.group.State()
	c := s.routeRead(state)
	if c.Action != route.ActionWait {
		return state, c
	}
	s.instance.counters.readWaits.Inc(1)
	s.group.waiting.Add(1)
	defer s.group.waiting.Add(-1)
	s.group.notifyWaiting()
	for c.Action == route.ActionWait {
		timer := time.NewTimer(time.Until(c.Until))
		select {
		case <-state.next:
		case <-timer.C:
		}
		timer.Stop()
		state = s.group.State()
		c = s.routeRead(state)
	}
	return state, c
}

func (s *session) routeRead(state *GroupState) route.Choice {
	now := time.Now()
	request := &s.reads.request
	request.NewestSample = state.Newest
	request.Candidates = request.Candidates[:0]
	for _, m := range state.Members {
		c := m.candidate(request.Requirement, s.markRaisedAt, now, s.instance.settings.Answer)
		for _, name := range s.reads.failedOn {
			c.Suspect = c.Suspect || name == m.Name
		}
		request.Candidates = append(request.Candidates, c)
	}
	return s.reads.router.Choose(request, now)
}

// readOn tries the current read on one member. It reports whether the caller
// got a response; otherwise nothing was sent to the caller and the read may be
// tried on another member.
func (s *session) readOn(pl *pipeline, state *GroupState, m *Member) (bool, error) {
	a, e := s.newAttempt(pl, m, state.Term)
	if isRefusal := e != nil && (e.Code == core.CodeOverloaded || e.Code == core.CodeFairShare); isRefusal {
		if len(s.reads.failedOn) > 0 {
			return false, nil
		}
		return true, s.refuse(e)
	}
	if e != nil {
		m.readStats.finishRead(nil, 0, true)
		return false, nil
	}
	sentAt := time.Now()
	m.readStats.startRead(a.conn)
	o, status, err := a.read(sentAt)
	elapsed := time.Since(sentAt)
	m.readStats.finishRead(a.conn, elapsed, err != nil)
	a.release(err == nil)
	switch {
	case err != nil || isEndpointFailure(o.sqlState):
		return a.withdrawResponse()
	case o.sqlState != "":
		return true, s.sendReady('I')
	}
	if m.Status.Role == core.RolePrimary {
		return a.finishOnPrimary(status)
	}
	return a.finishOnReplica(status)
}

// read sends the pipeline and a status request in one flush. The transaction is
// rolled back, so that no setting outlives it.
func (a *attempt) read(sentAt time.Time) (outcome, core.Status, error) {
	a.exchange.sendReadOnly(a.pipeline)
	a.conn.SendEncoded(rollbackMessage)
	a.conn.SendStatus()
	if err := a.conn.Flush(); err != nil {
		return outcome{}, core.Status{}, err
	}
	o, err := a.exchange.receiveResponse()
	if err != nil {
		return o, core.Status{}, err
	}
	end, err := a.exchange.discardResponse()
	if err == nil && end.tag != rollbackTag {
		err = endpoint.ErrMalformedResponse
	}
	if err != nil {
		return o, core.Status{}, err
	}
	status, err := a.receiveStatus(sentAt)
	return o, status, err
}

// finishOnReplica sends the response once what the read saw cannot be lost. It
// withdraws the response if the replica's position went back while the read ran.
func (a *attempt) finishOnReplica(status core.Status) (bool, error) {
	s, p := a.session, status.Visible()
	if !route.IsValid(a.member.Status.Visible(), p) {
		return a.withdrawResponse()
	}
	if !s.group.State().isDurable(a.member, p) {
		state, _ := s.group.await(a.pipeline.deadline, func(g *GroupState) bool { return g.Term > p.Term || g.isDurable(a.member, p) })
		if !state.isDurable(a.member, p) {
			return a.withdrawResponse()
		}
	}
	s.instance.counters.readsOnReplica.Inc(1)
	s.raiseMark(p)
	return true, s.sendReady('I')
}

// finishOnPrimary sends the response once a majority, sampled after the read
// arrived, holds what the read saw: this proves that the primary had not been
// replaced.
func (a *attempt) finishOnPrimary(status core.Status) (bool, error) {
	s, p := a.session, status.Durable()
	state, _ := s.group.await(a.pipeline.deadline, func(g *GroupState) bool {
		return g.Confirmation.Verdict(a.pipeline.arrived, a.term, p) != group.VerdictPending
	})
	if state.Confirmation.Verdict(a.pipeline.arrived, a.term, p) != group.VerdictConfirmed || !p.Covers(s.reads.request.Requirement.Point) {
		return a.withdrawResponse()
	}
	s.instance.counters.readsOnPrimary.Inc(1)
	s.raiseMark(p)
	return true, s.sendReady('I')
}

// withdrawResponse removes the buffered response. If rows were already streamed,
// the caller gets an error in place of the rest.
func (a *attempt) withdrawResponse() (bool, error) {
	a.exchange.truncate()
	if a.exchange.streamed {
		return true, a.session.refuse(readFailedError("the read failed on %s after its first rows", a.member.Name))
	}
	return false, nil
}

func readFailedError(format string, args ...any) *core.Error {
	return core.NewError(core.CodeReadFailed, format, args...).WithRetry(route.DefaultRetryAfter)
}

// isEndpointFailure reports whether an SQLSTATE is due to the state of the
// endpoint and not to the statement, so that another endpoint may succeed.
func isEndpointFailure(sqlState string) bool {
	switch sqlState {
	case "57P01", "57P02", "57P03", "53300", "40001":
		return true
	}
	return false
}
