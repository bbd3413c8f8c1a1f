// Package route chooses the endpoint on which a read of a stated kind runs.
package route

import (
	"math/rand/v2"
	"time"

	"anviltack/core"
	"anviltack/core/mark"
)

// Policy says how one of the replicas that satisfy a read is chosen.
type Policy string

// The policies for choosing among replicas.
const (
	PolicyNearest     Policy = "nearest"
	PolicyLeastLoaded Policy = "least-loaded"
	PolicyTwoChoices  Policy = "two-choices"
)

// Patience says what happens while no replica satisfies a read.
type Patience string

// The kinds of patience.
const (
	// PatienceNone goes to the primary at once.
	PatienceNone Patience = "none"
	// PatienceFixed waits for a replica up to the limit, whatever is expected.
	PatienceFixed Patience = "fixed"
	// PatiencePace waits only for a replica expected within the limit.
	PatiencePace Patience = "pace"
)

// The defaults of a Router.
const (
	DefaultWaitLimit  = 30 * time.Millisecond
	DefaultRetryAfter = 250 * time.Millisecond
	maxRetryAfter     = 10 * time.Second
)

// Action is what to do with a read.
type Action string

// The actions.
const (
	ActionReplica Action = "replica"
	ActionPrimary Action = "primary"
	ActionWait    Action = "wait"
	ActionRefuse  Action = "refuse"
)

// Candidate is an endpoint as its instance sees it at the time of a choice.
type Candidate struct {
	Endpoint   core.Endpoint
	DataCentre core.DataCentre
	Role       core.Role
	// Visible is the point that reads on the endpoint saw at Sampled; the
	// endpoint does not go back from it within the term.
	Visible core.Point
	Sampled time.Time
	// FreshAsOf is the time of the newest sample that Visible covers.
	FreshAsOf time.Time
	// Expected is when the endpoint should satisfy the read; zero means that
	// nothing is known.
	Expected time.Time
	// InFlight is how many statements the instance has on the endpoint.
	InFlight int
	// Slots is how many statements the endpoint runs at once.
	Slots int
	// Latency is the recent time of an answer.
	Latency time.Duration
	// Doubted tells that an answer of the endpoint is overdue.
	Doubted bool
	// Leaving tells that the endpoint gets no new work.
	Leaving bool
}

// satisfies reports whether a read with need n may run on the endpoint.
func (c *Candidate) satisfies(n mark.Need) bool {
	return c.Visible.Covers(n.Point) && !c.FreshAsOf.Before(n.Since)
}

// Request is a read that has to run somewhere.
type Request struct {
	Need mark.Need
	// Arrived is when the read came.
	Arrived time.Time
	// Deadline is when the caller no longer waits for the answer.
	Deadline time.Time
	// Newest is the newest sample of the group; zero when there is none.
	Newest mark.Sample
	// Candidates are the members of the group.
	Candidates []Candidate
}

// isAhead reports whether the read asks for a point that the group had not
// reached when the read came. No answer ever gave such a mark out, and none can
// be expected to satisfy it.
func (q *Request) isAhead() bool {
	known := !q.Newest.At.IsZero() && !q.Newest.At.Before(q.Arrived)
	return known && !q.Newest.Point.Covers(q.Need.Point)
}

// Choice is the answer to a Request.
type Choice struct {
	Action Action
	// Endpoint is where to run the read, or which endpoint is waited for; it is
	// empty when nothing is expected of any.
	Endpoint core.Endpoint
	// Until is when a wait ends if nothing changes sooner. The request is put
	// again then, and with every new sample.
	Until time.Time
	// Err is the answer to a refused read.
	Err *core.Error
}

// Router chooses endpoints.
type Router struct {
	policy     Policy
	patience   Patience
	waitLimit  time.Duration
	dataCentre core.DataCentre
	random     *rand.Rand
}

// Option changes one setting of a Router.
type Option func(*Router)

// WithPolicy sets the policy among replicas.
func WithPolicy(p Policy) Option { return func(r *Router) { r.policy = p } }

// WithPatience sets what happens while no replica satisfies a read.
func WithPatience(p Patience) Option { return func(r *Router) { r.patience = p } }

// WithWaitLimit sets how long a read waits for a replica at most while there is
// a primary that could take it.
func WithWaitLimit(d time.Duration) Option { return func(r *Router) { r.waitLimit = d } }

// WithDataCentre sets the data centre of the instance.
func WithDataCentre(d core.DataCentre) Option { return func(r *Router) { r.dataCentre = d } }

// NewRouter returns a router that draws from random.
func NewRouter(random *rand.Rand, options ...Option) *Router {
	r := &Router{
		policy:    PolicyTwoChoices,
		patience:  PatiencePace,
		waitLimit: DefaultWaitLimit,
		random:    random,
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Choose decides what to do with a read now. Replicas come first; the primary
// takes a read only when no replica satisfies it and none is worth a wait.
func (r *Router) Choose(q *Request, now time.Time) Choice {
	if !now.Before(q.Deadline) {
		return refuse(q, now)
	}
	if c := r.pick(q, false); c != nil {
		return Choice{Action: ActionReplica, Endpoint: c.Endpoint}
	}
	if q.isAhead() {
		err := core.NewError(core.CodeBadMark, "the mark is ahead of the group")
		return Choice{Action: ActionRefuse, Err: err.WithRetry(DefaultRetryAfter)}
	}
	primary := findPrimary(q)
	limit := q.Deadline
	if primary != nil {
		limit = r.limit(q, primary)
	}
	if c := r.awaited(q, now, limit); c != nil {
		return Choice{Action: ActionWait, Endpoint: c.Endpoint, Until: limit}
	}
	if primary != nil {
		return Choice{Action: ActionPrimary, Endpoint: primary.Endpoint}
	}
	if c := r.pick(q, true); c != nil {
		return Choice{Action: ActionReplica, Endpoint: c.Endpoint}
	}
	return Choice{Action: ActionWait, Until: q.Deadline}
}

// limit returns until when a read may wait for a replica and still be answered
// by the primary in time.
func (r *Router) limit(q *Request, primary *Candidate) time.Time {
	if r.patience == PatienceNone {
		return q.Arrived
	}
	const answers = 2
	return earliest(q.Arrived.Add(r.waitLimit), q.Deadline.Add(-answers*primary.Latency))
}

// awaited returns the replica that should satisfy the read first, if that is
// worth waiting for.
func (r *Router) awaited(q *Request, now, limit time.Time) *Candidate {
	if !now.Before(limit) {
		return nil
	}
	var best *Candidate
	for i := range q.Candidates {
		c := &q.Candidates[i]
		if c.Role != core.RoleReplica || c.Leaving || c.Doubted {
			continue
		}
		if r.patience == PatiencePace && (c.Expected.IsZero() || c.Expected.After(limit)) {
			continue
		}
		if best == nil || isSooner(c, best) {
			best = c
		}
	}
	return best
}

func isSooner(a, b *Candidate) bool {
	if a.Expected.IsZero() || b.Expected.IsZero() {
		return !a.Expected.IsZero()
	}
	return a.Expected.Before(b.Expected)
}

// findPrimary returns the primary of the highest term when it may take the
// read. One that does not show the needed point is not asked: the mark comes
// from a newer term, or from no write at all.
func findPrimary(q *Request) *Candidate {
	var newest *Candidate
	for i := range q.Candidates {
		c := &q.Candidates[i]
		if c.Role == core.RolePrimary && (newest == nil || newest.Visible.Term < c.Visible.Term) {
			newest = c
		}
	}
	if newest == nil || newest.Leaving || newest.Doubted || !newest.Visible.Covers(q.Need.Point) {
		return nil
	}
	return newest
}

func refuse(q *Request, now time.Time) Choice {
	after := DefaultRetryAfter
	for i := range q.Candidates {
		c := &q.Candidates[i]
		if c.Leaving || c.Expected.IsZero() {
			continue
		}
		if d := c.Expected.Sub(now); d > 0 && (after == DefaultRetryAfter || d < after) {
			after = min(d, maxRetryAfter)
		}
	}
	err := core.NewError(core.CodeNoFreshReplica, "no endpoint is known to be fresh enough for the read")
	return Choice{Action: ActionRefuse, Err: err.WithRetry(after)}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// IsValid reports whether an answer read between the statuses with visible
// points before and after saw at least before. Within one term an endpoint does
// not go back; across a change of term it may, and the read runs again
// elsewhere.
func IsValid(before, after core.Point) bool {
	return after.Term == before.Term && after.Position >= before.Position
}
