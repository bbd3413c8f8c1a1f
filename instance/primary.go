package instance

import (
	"time"

	"anviltack/core"
	"anviltack/core/group"
)

const (
	// closedPoll is the time between two looks at whether a write still waits
	// for a failover.
	closedPoll = 100 * time.Millisecond
	// minPause is the shortest advice to a caller on when to come back.
	minPause = 100 * time.Millisecond
	// defaultQueue is how many writes wait through a failover when the
	// configuration states no limit.
	defaultQueue = 100
)

// onPrimary takes a connection to the primary for a unit, after waiting for the
// end of a failover if that is likely to come in time.
func (s *session) onPrimary(pl *pipeline) (*attempt, *core.Error) {
	for {
		state, e := s.awaitOpen(pl)
		if e != nil {
			return nil, e
		}
		a, e := s.newAttempt(pl, state.primary(), state.Term)
		if e == nil && s.group.State().Term > state.Term {
			a.release(false)
			continue
		}
		if e == nil || e.Code != core.CodeNoConnection || !s.isClosing(state) {
			return a, e
		}
	}
}

// awaitOpen returns a state in which the group takes writes, or why the write
// is refused.
func (s *session) awaitOpen(pl *pipeline) (*GroupState, *core.Error) {
	state := s.group.State()
	if state.isOpen() {
		return state, nil
	}
	queued := s.group.queued.Add(1)
	defer s.group.queued.Add(-1)
	for {
		a := state.Availability.Admit(time.Now(), pl.deadline, int(queued)-1, s.queueLimit())
		if !a.Wait {
			return nil, s.closed(state, a.RetryAfter)
		}
		open := false
		if state, open = s.group.await(time.Now().Add(closedPoll), (*GroupState).isOpen); open {
			return state, nil
		}
	}
}

// isClosing reports, after a connection to the primary failed, whether the group
// turns out to take no writes.
func (s *session) isClosing(failed *GroupState) bool {
	_, closing := s.group.await(time.Now().Add(replacementTimeout), func(g *GroupState) bool {
		return g.Term > failed.Term || !g.isOpen()
	})
	return closing
}

// closed is the refusal of a write that found the group closed.
func (s *session) closed(state *GroupState, retry time.Duration) *core.Error {
	if state.Availability.Serving {
		return core.NewError(core.CodeNotReplicating, "no replica of group %s is near enough to confirm a write", s.group.Name).WithRetry(retry)
	}
	return core.NewError(core.CodeNoPrimary, "group %s has no primary at the moment", s.group.Name).WithRetry(retry)
}

func (s *session) queueLimit() int {
	if n := s.instance.View().Config.Limits.Queue; n > 0 {
		return n
	}
	return defaultQueue
}

// isOpen reports whether writes may be sent to the primary.
func (s *GroupState) isOpen() bool { return s.Availability.IsOpen() && s.primary() != nil }

// confirm passes the answer on once a majority holds the position in the term in
// which the unit was sent, at a time after the unit arrived.
func (s *session) confirm(pl *pipeline, term uint64, status core.Status, x *exchange) error {
	point := status.Durable()
	state, _ := s.group.await(pl.deadline, func(g *GroupState) bool {
		return g.Confirmation.Verdict(pl.arrived, term, point) != group.VerdictPending
	})
	if state.Confirmation.Verdict(pl.arrived, term, point) != group.VerdictConfirmed {
		x.truncate()
		return s.outcomeUnknown()
	}
	s.raiseMark(point)
	return s.sendReady('I')
}
