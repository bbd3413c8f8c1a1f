package pool

import "time"

const (
	// defaultSettle is how long others may take to give back connections after
	// the live list changed.
	defaultSettle = 3 * time.Second
	probePeriod   = 5 * time.Second
)

// Share is this instance's part of the connections that an endpoint accepts.
//
// All instances use at most most/(live+1) each, so that one part stays free for
// a replacement that starts before its forerunner is gone. A part shrinks at
// once and grows only after the others have had time to give back theirs.
type Share struct {
	most int
	// control is how many connections of each part are kept for control.
	control int
	settle  time.Duration
	// limit is the present part; limit <= target at all times but for a target
	// below one.
	limit  int
	target int
	// growAt is when limit may rise to target; zero when it has.
	growAt time.Time
	// ceiling bounds limit after the endpoint refused a connection; zero means none.
	ceiling int
	probeAt time.Time
}

// NewShare returns the share of an endpoint that accepts most connections.
func NewShare(most int, settle time.Duration) *Share {
	return &Share{most: most, settle: settle}
}

// SetMembers takes the number of live instances, this one included. A new
// instance begins with half of its part.
func (s *Share) SetMembers(now time.Time, live int) {
	target := max(1, s.most/(max(live, 1)+1)-s.control)
	if s.limit == 0 {
		s.limit = max(1, target/2)
	}
	s.limit = min(s.limit, target)
	if target != s.target && target > s.limit {
		s.growAt = now.Add(s.settle)
	}
	s.target = target
}

// Refused takes a "too many connections" answer that came while open
// connections of this instance were accepted.
func (s *Share) Refused(now time.Time, open int) {
	s.ceiling = max(1, min(open, s.Limit(now)))
	s.probeAt = now.Add(probePeriod)
}

// Limit returns how many connections may be open now.
func (s *Share) Limit(now time.Time) int {
	if !s.growAt.IsZero() && !now.Before(s.growAt) {
		s.limit, s.growAt = s.target, time.Time{}
	}
	for s.ceiling > 0 && !now.Before(s.probeAt) {
		s.ceiling++
		s.probeAt = s.probeAt.Add(probePeriod)
		if s.ceiling >= s.target {
			s.ceiling = 0
		}
	}
	if s.ceiling > 0 {
		return min(s.limit, s.ceiling)
	}
	return s.limit
}
