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

// maxReadTries bounds the endpoints that one read is tried on.
const maxReadTries = 5

// reads is how one session finds endpoints for its reads.
type reads struct {
	router  *route.Router
	request route.Request
	// failed are the endpoints on which the read in hand failed.
	failed []core.Endpoint
}

func (in *Instance) newRouter() *route.Router {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return route.NewRouter(random, route.WithDataCentre(in.settings.DataCentre))
}

// raise makes the session's mark cover p.
func (s *session) raise(p core.Point) {
	now := time.Now()
	if s.marks.Raise(s.group.Name, p, now) {
		s.markedAt = now
		s.unreported = true
	}
}

// accept takes in a token that the caller handed in.
func (s *session) accept(token string) *core.Error {
	now := time.Now()
	if err := s.marks.Accept(token, now); err != nil {
		return core.NewError(core.CodeBadMark, "a mark is the text that anviltack.mark reported")
	}
	s.markedAt = now
	s.unreported = true
	return nil
}

// isRead reports whether the unit is a read of a stated kind. A batch of several
// statements is not: one of them could end the read-only transaction.
func (u *unit) isRead() bool {
	return u.annotation.kind != "" && u.executions <= 1
}

// serveRead runs a unit of a stated kind in a read-only transaction on an
// endpoint that covers the session's mark and is fresh enough for the kind.
func (s *session) serveRead(u *unit) error {
	kind, e := s.kind(u.annotation.kind)
	if e != nil {
		return s.refuse(e)
	}
	q := &s.reads.request
	q.Requirement = s.marks.Requirement(s.group.Name, time.Duration(kind.Age), u.arrived)
	q.Arrived, q.Deadline = u.arrived, u.deadline
	s.reads.failed = s.reads.failed[:0]
	for range maxReadTries {
		state, c := s.place()
		if c.Action == route.ActionRefuse {
			return s.refuse(s.reads.refusal(c.Err))
		}
		done, err := s.readOn(u, state, state.Members[c.Endpoint])
		if done || err != nil {
			return err
		}
		if !s.instance.retries.take() {
			return s.refuse(readFailed("the read failed and no retry is left"))
		}
		s.instance.counters.readRetries.Inc(1)
		s.reads.failed = append(s.reads.failed, c.Endpoint)
	}
	return s.refuse(readFailed("the read failed %d times", maxReadTries))
}

// refusal returns what to tell a caller whose read ran out of time: that it
// failed where it was tried, if it was.
func (r *reads) refusal(e *core.Error) *core.Error {
	if len(r.failed) == 0 || e.Code != core.CodeNoFreshReplica {
		return e
	}
	return readFailed("the read failed %d times", len(r.failed))
}

func (s *session) kind(name core.Kind) (patch.Kind, *core.Error) {
	kind, ok := s.database.Kinds[name]
	if !ok {
		return kind, core.NewError(core.CodeUnknownKind, "database %s has no kind %q", s.login.Database, name)
	}
	return kind, nil
}

// place chooses an endpoint for the read in hand, after waiting if that is
// worth while.
func (s *session) place() (*GroupState, route.Choice) {
	state := s.group.State()
	c := s.choose(state)
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
		c = s.choose(state)
	}
	return state, c
}

func (s *session) choose(state *GroupState) route.Choice {
	now := time.Now()
	q := &s.reads.request
	q.NewestSample = state.Newest
	q.Candidates = q.Candidates[:0]
	for _, m := range state.Members {
		c := m.candidate(q.Requirement, s.markedAt, now, s.instance.settings.Answer)
		for _, name := range s.reads.failed {
			c.Suspect = c.Suspect || name == m.Name
		}
		q.Candidates = append(q.Candidates, c)
	}
	return s.reads.router.Choose(q, now)
}

// readOn tries the read in hand on one member. It reports whether the caller
// got its answer; otherwise nothing was passed on and the read may go elsewhere.
func (s *session) readOn(u *unit, state *GroupState, m *Member) (bool, error) {
	w, e := s.on(u, m, state.Term)
	if isRefusal := e != nil && (e.Code == core.CodeOverloaded || e.Code == core.CodeFairShare); isRefusal {
		if len(s.reads.failed) > 0 {
			return false, nil
		}
		return true, s.refuse(e)
	}
	if e != nil {
		m.load.end(nil, 0, true)
		return false, nil
	}
	sentAt := time.Now()
	m.load.begin(w.conn)
	o, status, err := w.read(sentAt)
	took := time.Since(sentAt)
	m.load.end(w.conn, took, err != nil)
	w.release(err == nil)
	switch {
	case err != nil || isPassing(o.failure):
		return w.giveUp()
	case o.failure != "":
		return true, s.ready('I')
	}
	if m.Status.Role == core.RolePrimary {
		return w.finishOnPrimary(status)
	}
	return w.finishOnReplica(status)
}

// read runs the unit with the endpoint's status behind it, all in one flush. The
// transaction is rolled back, so that a setting does not outlive it.
func (w *work) read(sentAt time.Time) (outcome, core.Status, error) {
	w.x.readOnly(w.unit)
	w.conn.SendEncoded(rollbackMessage)
	w.conn.SendStatus()
	if err := w.conn.Flush(); err != nil {
		return outcome{}, core.Status{}, err
	}
	o, err := w.x.answer()
	if err != nil {
		return o, core.Status{}, err
	}
	end, err := w.x.skip()
	if err == nil && end.tag != rollbackTag {
		err = endpoint.ErrMalformedResponse
	}
	if err != nil {
		return o, core.Status{}, err
	}
	status, err := w.status(sentAt)
	return o, status, err
}

// finishOnReplica passes the answer on if the replica did not go back while the
// read ran, and once what it saw cannot be lost.
func (w *work) finishOnReplica(status core.Status) (bool, error) {
	s, p := w.session, status.Visible()
	if !route.IsValid(w.member.Status.Visible(), p) {
		return w.giveUp()
	}
	if !s.group.State().isDurable(w.member, p) {
		state, _ := s.group.await(w.unit.deadline, func(g *GroupState) bool { return g.Term > p.Term || g.isDurable(w.member, p) })
		if !state.isDurable(w.member, p) {
			return w.giveUp()
		}
	}
	s.instance.counters.readsOnReplica.Inc(1)
	s.raise(p)
	return true, s.ready('I')
}

// finishOnPrimary passes the answer on once a majority asked after the read came
// holds what it saw: the primary was then still the primary.
func (w *work) finishOnPrimary(status core.Status) (bool, error) {
	s, p := w.session, status.Durable()
	state, _ := s.group.await(w.unit.deadline, func(g *GroupState) bool {
		return g.Confirmation.Verdict(w.unit.arrived, w.term, p) != group.VerdictPending
	})
	if state.Confirmation.Verdict(w.unit.arrived, w.term, p) != group.VerdictConfirmed || !p.Covers(s.reads.request.Requirement.Point) {
		return w.giveUp()
	}
	s.instance.counters.readsOnPrimary.Inc(1)
	s.raise(p)
	return true, s.ready('I')
}

// giveUp takes the answer back. When rows of it were passed on already, the
// caller gets an error in place of the rest.
func (w *work) giveUp() (bool, error) {
	w.x.retract()
	if w.x.streamed {
		return true, w.session.refuse(readFailed("the read failed on %s behind its first rows", w.member.Name))
	}
	return false, nil
}

func readFailed(format string, args ...any) *core.Error {
	return core.NewError(core.CodeReadFailed, format, args...).WithRetry(route.DefaultRetryAfter)
}

// isPassing reports whether an error tells of the endpoint and not of the read,
// so that another endpoint may answer.
func isPassing(state string) bool {
	switch state {
	case "57P01", "57P02", "57P03", "53300", "40001":
		return true
	}
	return false
}
