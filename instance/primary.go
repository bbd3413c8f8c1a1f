package instance

import (
	"time"

	"anviltack/core"
	"anviltack/core/group"
)

const (
	// closedPollPeriod is the time between two checks whether a write should keep
	// waiting for the end of a failover.
	closedPollPeriod = 100 * time.Millisecond
	// minRetryAfter is the shortest retry delay that callers are given.
	minRetryAfter = 100 * time.Millisecond
	// defaultQueueLimit is how many writes may wait through a failover when the
	// configuration sets no limit.
	defaultQueueLimit = 100
)

// acquirePrimary acquires a connection to the primary for a pipeline. During a
// failover it waits if the failover is likely to end before the pipeline's
// deadline.
func (s *session) acquirePrimary(pl *pipeline) (*attempt, *core.Error) {
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
		if e == nil || e.Code != core.CodeNoConnection || !s.awaitClosed(state) {
			return a, e
		}
	}
}

// awaitOpen returns a state in which the group accepts writes, or the error with
// which the write is rejected.
func (s *session) awaitOpen(pl *pipeline) (*GroupState, *core.Error) {
	state := s.group.State()
	if state.isOpen() {
		return state, nil
	}
	queued := s.group.queuedWrites.Add(1)
	defer s.group.queuedWrites.Add(-1)
	for {
		decision := state.Availability.Admit(time.Now(), pl.deadline, int(queued)-1, s.queueLimit())
		if !decision.Wait {
			return nil, s.closedError(state, decision.RetryAfter)
		}
		open := false
		if state, open = s.group.await(time.Now().Add(closedPollPeriod), (*GroupState).isOpen); open {
			return state, nil
		}
	}
}

// awaitClosed waits, after a connection to the primary failed, and reports
// whether the group stops accepting writes or has a newer term.
func (s *session) awaitClosed(failed *GroupState) bool {
	_, closed := s.group.await(time.Now().Add(replacementTimeout), func(g *GroupState) bool {
		return g.Term > failed.Term || !g.isOpen()
	})
	return closed
}

// closedError returns the error for a write that is rejected because the group
// accepts none.
func (s *session) closedError(state *GroupState, retry time.Duration) *core.Error {
	if state.Availability.Serving {
		return core.NewError(core.CodeNotReplicating, "too few members of group %s are replicating to confirm a write", s.group.Name).WithRetry(retry)
	}
	return core.NewError(core.CodeNoPrimary, "group %s has no primary at the moment", s.group.Name).WithRetry(retry)
}

func (s *session) queueLimit() int {
	if n := s.instance.View().Config.Limits.Queue; n > 0 {
		return n
	}
	return defaultQueueLimit
}

// isOpen reports whether writes may be sent to the primary.
func (s *GroupState) isOpen() bool { return s.Availability.IsOpen() && s.primary() != nil }

// confirm sends the response once it is confirmed that, after the pipeline
// arrived, a majority held the position in the term in which the pipeline was
// sent. If that is not confirmed, the outcome is unknown.
func (s *session) confirm(pl *pipeline, term uint64, status core.Status, x *exchange) error {
	if !s.awaitConfirmation(pl, term, status) {
		x.truncate()
		return s.outcomeUnknown()
	}
	return s.sendReady('I')
}

// awaitConfirmation waits for the confirmation of a pipeline until its deadline
// and raises the session's mark if it comes.
func (s *session) awaitConfirmation(pl *pipeline, term uint64, status core.Status) bool {
	point := status.Durable()
	state, _ := s.group.await(pl.deadline, func(g *GroupState) bool {
		return g.Confirmation.Verdict(pl.arrived, term, point) != group.VerdictPending
	})
	if state.Confirmation.Verdict(pl.arrived, term, point) != group.VerdictConfirmed {
		return false
	}
	s.raiseMark(point)
	return true
}
