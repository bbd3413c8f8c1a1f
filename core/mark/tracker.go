package mark

import (
	"time"

	"anviltack/core"
)

// Seen is the newest status known of one endpoint.
type Seen struct {
	// Sent is when the status was asked for; what it tells is no older.
	Sent   time.Time
	Status core.Status
}

// bound returns a point that covers every write acknowledged before Sent which
// the endpoint holds. The length of the log counts as well as what is known to
// be held in the term, since a replica that goes over to a new term may know
// less of its log than it holds.
func (s Seen) bound() core.Point {
	return core.Point{
		Term:     s.Status.Term,
		Position: max(s.Status.Received, s.Status.Last.Position),
	}
}

// Tracker turns the statuses of a group's endpoints into samples.
//
// A write is acknowledged only when a majority holds it in one term, and every
// later term keeps it. Any majority asked after that has a member which holds
// it, so the join of what a majority shows covers every write acknowledged
// before the first of them was asked. No primary is needed for that, so samples
// go on while there is none.
type Tracker struct {
	members []member
	history History
}

type member struct {
	name core.Endpoint
	seen Seen
}

// NewTracker returns a tracker of a group with these endpoints.
func NewTracker(members ...core.Endpoint) *Tracker {
	t := &Tracker{members: make([]member, 0, len(members))}
	for _, e := range members {
		t.members = append(t.members, member{name: e})
	}
	return t
}

func (t *Tracker) find(e core.Endpoint) *member {
	for i := range t.members {
		if t.members[i].name == e {
			return &t.members[i]
		}
	}
	return nil
}

// Observe takes the status of an endpoint that was asked for at sent. Unknown
// endpoints and statuses older than the newest are passed over.
func (t *Tracker) Observe(e core.Endpoint, sent time.Time, s core.Status) {
	m := t.find(e)
	if m == nil || sent.Before(m.seen.Sent) {
		return
	}
	m.seen = Seen{Sent: sent, Status: s}
	for _, o := range t.members {
		if at := o.seen.Sent; !at.IsZero() && !at.After(sent) {
			t.sample(at)
		}
	}
}

// sample adds what the majorities asked at or after at show together.
func (t *Tracker) sample(at time.Time) {
	for _, a := range t.members {
		for _, b := range t.members {
			p := core.Point{Term: a.seen.bound().Term, Position: b.seen.bound().Position}
			if t.isMajorityWithin(p, at) {
				t.history.Add(Sample{At: at, Point: p})
			}
		}
	}
}

func (t *Tracker) isMajorityWithin(p core.Point, at time.Time) bool {
	n := 0
	for _, m := range t.members {
		s := m.seen
		if !s.Sent.IsZero() && !s.Sent.Before(at) && p.Covers(s.bound()) {
			n++
		}
	}
	return n > len(t.members)/2
}

// IsHeld reports whether a majority, each asked at or after since, holds p in
// its term and is not fenced. It is the rule by which writes are acknowledged;
// an answer read at p on a primary is current under it.
func (t *Tracker) IsHeld(p core.Point, since time.Time) bool {
	n := 0
	for _, m := range t.members {
		s := m.seen
		current := s.Status.Term == p.Term && s.Status.Fence <= p.Term
		if current && !s.Sent.Before(since) && s.Status.Received >= p.Position {
			n++
		}
	}
	return n > len(t.members)/2
}

// IsSettled reports whether what a read saw on e at p cannot be lost. A replica
// that shows p proves that its primary holds it too, which is a majority of
// three.
func (t *Tracker) IsSettled(e core.Endpoint, p core.Point, since time.Time) bool {
	const pair = 2
	m := t.find(e)
	replica := m != nil && m.seen.Status.Role == core.RoleReplica
	return replica && pair > len(t.members)/2 || t.IsHeld(p, since)
}

// Seen returns the newest status of an endpoint, if there is one.
func (t *Tracker) Seen(e core.Endpoint) (Seen, bool) {
	m := t.find(e)
	if m == nil {
		return Seen{}, false
	}
	return m.seen, !m.seen.Sent.IsZero()
}

// History returns the samples so far.
func (t *Tracker) History() *History { return &t.history }
