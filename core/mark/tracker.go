package mark

import (
	"time"

	"anviltack/core"
)

// EndpointSample is the newest status of one endpoint and the time of the request for it.
type EndpointSample struct {
	// RequestedAt is when the status was requested; the status is no older than that.
	RequestedAt time.Time
	Status      core.Status
}

// upperBound returns a point that covers every write acknowledged before RequestedAt which
// the endpoint holds. It uses the end of the log as well as the position received in the
// term, since a replica that switches to a new term may report less of its log as
// received than it holds.
func (s EndpointSample) upperBound() core.Point {
	return core.Point{
		Term:     s.Status.Term,
		Position: max(s.Status.Received, s.Status.Last.Position),
	}
}

// Tracker derives the samples of a group from the samples of its endpoints.
//
// A write is acknowledged only when a majority holds it in one term, and every
// later term keeps it. Any majority sampled after that includes an endpoint that holds
// it, so the join of the points of a majority covers every write acknowledged
// before the earliest of their requests. This needs no primary, so group samples
// continue while there is none.
type Tracker struct {
	members []member
	// unlisted is the number of further voters, which are not sampled.
	unlisted int
	history  History
}

type member struct {
	name   core.Endpoint
	newest EndpointSample
}

// NewTracker returns a tracker of a group with these voters.
func NewTracker(members ...core.Endpoint) *Tracker {
	t := &Tracker{members: make([]member, 0, len(members))}
	for _, e := range members {
		t.members = append(t.members, member{name: e})
	}
	return t
}

// SetUnlisted sets the number of voters that are not among the members.
func (t *Tracker) SetUnlisted(n int) { t.unlisted = n }

// isMajority reports whether n of the voters are a majority.
func (t *Tracker) isMajority(n int) bool { return n > (len(t.members)+t.unlisted)/2 }

func (t *Tracker) find(e core.Endpoint) *member {
	for i := range t.members {
		if t.members[i].name == e {
			return &t.members[i]
		}
	}
	return nil
}

// Observe records the status of an endpoint that was requested at requestedAt. It ignores
// unknown endpoints and statuses older than the newest one.
func (t *Tracker) Observe(e core.Endpoint, requestedAt time.Time, s core.Status) {
	m := t.find(e)
	if m == nil || requestedAt.Before(m.newest.RequestedAt) {
		return
	}
	m.newest = EndpointSample{RequestedAt: requestedAt, Status: s}
	for _, o := range t.members {
		if at := o.newest.RequestedAt; !at.IsZero() && !at.After(requestedAt) {
			t.addSamples(at)
		}
	}
}

// addSamples adds a group sample for each point that covers a majority of the endpoints
// sampled at or after the given time.
func (t *Tracker) addSamples(since time.Time) {
	for _, a := range t.members {
		for _, b := range t.members {
			p := core.Point{Term: a.newest.upperBound().Term, Position: b.newest.upperBound().Position}
			if t.isMajorityCovered(p, since) {
				t.history.Add(GroupSample{At: since, Point: p})
			}
		}
	}
}

func (t *Tracker) isMajorityCovered(p core.Point, since time.Time) bool {
	n := 0
	for _, m := range t.members {
		s := m.newest
		if !s.RequestedAt.IsZero() && !s.RequestedAt.Before(since) && p.Covers(s.upperBound()) {
			n++
		}
	}
	return t.isMajority(n)
}

// IsConfirmed reports whether a majority, each sampled at or after since, holds p in
// its term and is not fenced. The same rule decides that a write at p is acknowledged
// and that an answer that a primary read at p is current.
func (t *Tracker) IsConfirmed(p core.Point, since time.Time) bool {
	n := 0
	for _, m := range t.members {
		s := m.newest
		current := s.Status.Term == p.Term && s.Status.Fence <= p.Term
		if current && !s.RequestedAt.Before(since) && s.Status.Received >= p.Position {
			n++
		}
	}
	return t.isMajority(n)
}

// IsDurable reports whether the data that a read saw on e at p cannot be lost. A replica
// on which p is visible proves that its primary holds p too; the two are a majority of three.
func (t *Tracker) IsDurable(e core.Endpoint, p core.Point, since time.Time) bool {
	const replicaAndPrimary = 2
	m := t.find(e)
	isReplica := m != nil && m.newest.Status.Role == core.RoleReplica
	return isReplica && t.isMajority(replicaAndPrimary) || t.IsConfirmed(p, since)
}

// NewestSample returns the newest sample of an endpoint, if there is one.
func (t *Tracker) NewestSample(e core.Endpoint) (EndpointSample, bool) {
	m := t.find(e)
	if m == nil {
		return EndpointSample{}, false
	}
	return m.newest, !m.newest.RequestedAt.IsZero()
}

// History returns the group samples.
func (t *Tracker) History() *History { return &t.history }
