package pool

import "time"

const (
	// defaultGrowDelay is how long a share waits before it grows after the live list
	// changed, so that the other instances can close connections over their new shares.
	defaultGrowDelay = 3 * time.Second
	probeInterval    = 5 * time.Second
)

// Share is the instance's share of the connections that an endpoint accepts.
//
// Each instance uses at most maxConnections/(live instances+1), so that one share stays
// free for a replacement that starts before the instance it replaces has ended. A share
// shrinks at once and grows only after the others have had time to shrink theirs.
type Share struct {
	maxConnections int
	// controlConnections is how many connections of the share are reserved for control requests.
	controlConnections int
	growDelay          time.Duration
	// limit is the present size of the share; it is at most target.
	limit  int
	target int
	// growAt is when limit may rise to target; zero once it has.
	growAt time.Time
	// ceiling bounds limit after the endpoint refused a connection; zero means no bound.
	ceiling int
	// probeAt is when ceiling next rises by one.
	probeAt time.Time
}

// NewShare returns the share of an endpoint that accepts maxConnections connections.
func NewShare(maxConnections int, growDelay time.Duration) *Share {
	return &Share{maxConnections: maxConnections, growDelay: growDelay}
}

// SetInstances sets the number of live instances, this one included. A new instance
// starts with half of its share.
func (s *Share) SetInstances(now time.Time, instances int) {
	target := max(1, s.maxConnections/(max(instances, 1)+1)-s.controlConnections)
	if s.limit == 0 {
		s.limit = max(1, target/2)
	}
	s.limit = min(s.limit, target)
	if target != s.target && target > s.limit {
		s.growAt = now.Add(s.growDelay)
	}
	s.target = target
}

// Refused records that the endpoint refused a connection because it has as many as it
// accepts; open is how many other connections this instance had.
func (s *Share) Refused(now time.Time, open int) {
	s.ceiling = max(1, min(open, s.Limit(now)))
	s.probeAt = now.Add(probeInterval)
}

// Limit returns how many connections may be open.
func (s *Share) Limit(now time.Time) int {
	if !s.growAt.IsZero() && !now.Before(s.growAt) {
		s.limit, s.growAt = s.target, time.Time{}
	}
	for s.ceiling > 0 && !now.Before(s.probeAt) {
		s.ceiling++
		s.probeAt = s.probeAt.Add(probeInterval)
		if s.ceiling >= s.target {
			s.ceiling = 0
		}
	}
	if s.ceiling > 0 {
		return min(s.limit, s.ceiling)
	}
	return s.limit
}
