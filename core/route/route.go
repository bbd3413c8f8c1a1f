// Package route chooses the endpoint on which a read runs.
package route

import (
	"math/rand/v2"
	"time"

	"anviltack/core"
	"anviltack/core/mark"
)

// Policy is how to choose one of the replicas that satisfy a read.
type Policy string

// The policies for choosing among replicas.
const (
	PolicyNearest     Policy = "nearest"
	PolicyLeastLoaded Policy = "least-loaded"
	PolicyTwoChoices  Policy = "two-choices"
)

// WaitPolicy is what to do while no replica satisfies a read.
type WaitPolicy string

// The wait policies.
const (
	// WaitNone sends the read to the primary at once.
	WaitNone WaitPolicy = "none"
	// WaitFixed waits for a replica until the wait timeout, whatever is expected.
	WaitFixed WaitPolicy = "fixed"
	// WaitForecast waits only for a replica that is expected to satisfy the read within
	// the wait timeout.
	WaitForecast WaitPolicy = "pace"
)

// The defaults of a Router.
const (
	DefaultWaitTimeout = 30 * time.Millisecond
	DefaultRetryAfter  = 250 * time.Millisecond
	maxRetryAfter      = 10 * time.Second
)

// Action is what to do with a read.
type Action string

// The actions of a Choice.
const (
	ActionReplica Action = "replica"
	ActionPrimary Action = "primary"
	ActionWait    Action = "wait"
	ActionRefuse  Action = "refuse"
)

// Candidate is an endpoint as the instance sees it at the time of a choice.
type Candidate struct {
	Endpoint   core.Endpoint
	DataCentre core.DataCentre
	Role       core.Role
	// Visible is the point that was visible on the endpoint at SampledAt; the endpoint does
	// not go back from it within the term.
	Visible   core.Point
	SampledAt time.Time
	// FreshAsOf is the time of the newest sample that Visible covers.
	FreshAsOf time.Time
	// ExpectedAt is when the endpoint should satisfy the read; zero if unknown.
	ExpectedAt time.Time
	// InFlight is how many statements of the instance run on the endpoint.
	InFlight int
	// Slots is how many statements the endpoint runs at once.
	Slots int
	// Latency is the recent response time.
	Latency time.Duration
	// Suspect is set if an answer of the endpoint is overdue.
	Suspect bool
	// Leaving is set if the endpoint gets no new work.
	Leaving bool
}

// satisfies reports whether a read with the requirement may run on the endpoint.
func (c *Candidate) satisfies(requirement mark.Requirement) bool {
	return c.Visible.Covers(requirement.Point) && !c.FreshAsOf.Before(requirement.Since)
}

// Request is a read to route.
type Request struct {
	Requirement mark.Requirement
	// Arrived is when the read arrived.
	Arrived time.Time
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// NewestSample is the newest sample of the group; zero if there is none.
	NewestSample mark.GroupSample
	// Candidates are the endpoints of the group.
	Candidates []Candidate
}

// isAheadOfGroup reports whether the read requires a point that the group had not
// reached when the read arrived. No answer can have returned such a mark, and no
// endpoint can be expected to satisfy it.
func (q *Request) isAheadOfGroup() bool {
	known := !q.NewestSample.At.IsZero() && !q.NewestSample.At.Before(q.Arrived)
	return known && !q.NewestSample.Point.Covers(q.Requirement.Point)
}

// Choice is what to do with a Request.
type Choice struct {
	Action Action
	// Endpoint is where to run the read, or the endpoint to wait for; empty if none is
	// expected to satisfy the read.
	Endpoint core.Endpoint
	// Until is when a wait ends at the latest. The Request is routed again then, and
	// with every new sample.
	Until time.Time
	// Err is the error of a refused read.
	Err *core.Error
}

// Router chooses endpoints.
type Router struct {
	policy      Policy
	waitPolicy  WaitPolicy
	waitTimeout time.Duration
	dataCentre  core.DataCentre
	random      *rand.Rand
}

// Option configures a Router.
type Option func(*Router)

// WithPolicy sets how to choose among replicas.
func WithPolicy(p Policy) Option { return func(r *Router) { r.policy = p } }

// WithWaitPolicy sets what to do while no replica satisfies a read.
func WithWaitPolicy(p WaitPolicy) Option { return func(r *Router) { r.waitPolicy = p } }

// WithWaitTimeout sets how long a read waits for a replica at most while there is a
// primary that could serve it.
func WithWaitTimeout(d time.Duration) Option { return func(r *Router) { r.waitTimeout = d } }

// WithDataCentre sets the data centre of the instance.
func WithDataCentre(d core.DataCentre) Option { return func(r *Router) { r.dataCentre = d } }

// NewRouter returns a router whose random choices come from random.
func NewRouter(random *rand.Rand, options ...Option) *Router {
	r := &Router{
		policy:      PolicyTwoChoices,
		waitPolicy:  WaitForecast,
		waitTimeout: DefaultWaitTimeout,
		random:      random,
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Choose decides what to do with a read at the time now. Replicas come first; the primary
// serves a read only if no replica satisfies it and none is worth waiting for.
func (r *Router) Choose(q *Request, now time.Time) Choice {
	if !now.Before(q.Deadline) {
		return refuse(q, now)
	}
	if c := r.pick(q, false); c != nil {
		return Choice{Action: ActionReplica, Endpoint: c.Endpoint}
	}
	if q.isAheadOfGroup() {
		err := core.NewError(core.CodeBadMark, "the mark is ahead of the group")
		return Choice{Action: ActionRefuse, Err: err.WithRetry(DefaultRetryAfter)}
	}
	primary := findPrimary(q)
	waitDeadline := q.Deadline
	if primary != nil {
		waitDeadline = r.waitDeadline(q, primary)
	}
	if c := r.expectedReplica(q, now, waitDeadline); c != nil {
		return Choice{Action: ActionWait, Endpoint: c.Endpoint, Until: waitDeadline}
	}
	if primary != nil {
		return Choice{Action: ActionPrimary, Endpoint: primary.Endpoint}
	}
	if c := r.pick(q, true); c != nil {
		return Choice{Action: ActionReplica, Endpoint: c.Endpoint}
	}
	return Choice{Action: ActionWait, Until: q.Deadline}
}

// waitDeadline returns the latest time until which a read may wait for a replica and still
// be answered by the primary before its deadline.
func (r *Router) waitDeadline(q *Request, primary *Candidate) time.Time {
	if r.waitPolicy == WaitNone {
		return q.Arrived
	}
	// The primary gets latencyFactor times its recent latency to answer.
	const latencyFactor = 2
	return earliest(q.Arrived.Add(r.waitTimeout), q.Deadline.Add(-latencyFactor*primary.Latency))
}

// expectedReplica returns the replica that should satisfy the read first, or nil if none is
// worth waiting for.
func (r *Router) expectedReplica(q *Request, now, deadline time.Time) *Candidate {
	if !now.Before(deadline) {
		return nil
	}
	var best *Candidate
	for i := range q.Candidates {
		c := &q.Candidates[i]
		if c.Role != core.RoleReplica || c.Leaving || c.Suspect {
			continue
		}
		if r.waitPolicy == WaitForecast && (c.ExpectedAt.IsZero() || c.ExpectedAt.After(deadline)) {
			continue
		}
		if best == nil || isExpectedSooner(c, best) {
			best = c
		}
	}
	return best
}

func isExpectedSooner(a, b *Candidate) bool {
	if a.ExpectedAt.IsZero() || b.ExpectedAt.IsZero() {
		return !a.ExpectedAt.IsZero()
	}
	return a.ExpectedAt.Before(b.ExpectedAt)
}

// findPrimary returns the primary of the highest term, or nil if it may not serve the read.
// It may not if the required point is not visible on it: the mark then comes from a newer
// term, or from no write at all.
func findPrimary(q *Request) *Candidate {
	var newest *Candidate
	for i := range q.Candidates {
		c := &q.Candidates[i]
		if c.Role == core.RolePrimary && (newest == nil || newest.Visible.Term < c.Visible.Term) {
			newest = c
		}
	}
	if newest == nil || newest.Leaving || newest.Suspect || !newest.Visible.Covers(q.Requirement.Point) {
		return nil
	}
	return newest
}

func refuse(q *Request, now time.Time) Choice {
	retryAfter := DefaultRetryAfter
	for i := range q.Candidates {
		c := &q.Candidates[i]
		if c.Leaving || c.ExpectedAt.IsZero() {
			continue
		}
		if d := c.ExpectedAt.Sub(now); d > 0 && (retryAfter == DefaultRetryAfter || d < retryAfter) {
			retryAfter = min(d, maxRetryAfter)
		}
	}
	err := core.NewError(core.CodeNoFreshReplica, "no endpoint is known to be fresh enough for the read")
	return Choice{Action: ActionRefuse, Err: err.WithRetry(retryAfter)}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// IsValid reports whether an answer that was read between two samples with the visible
// points before and after reflects at least the point before. Within one term an
// endpoint does not go back; across a change of term it may, and the read has to run
// again on another endpoint.
func IsValid(before, after core.Point) bool {
	return after.Term == before.Term && after.Position >= before.Position
}
