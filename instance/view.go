package instance

import (
	"sync/atomic"
	"time"

	"anviltack/core"
	"anviltack/core/group"
	"anviltack/core/mark"
	"anviltack/core/patch"
	"anviltack/core/route"
)

// View is an immutable snapshot of the control state for traffic goroutines.
type View struct {
	// Version is the configuration's version; zero before the first one.
	Version uint64
	Config  *patch.Config
	// Groups holds an entry for every group of Config.
	Groups map[core.Group]*Group
}

// Group is one database group as traffic goroutines use it.
type Group struct {
	Name core.Group
	// waiting counts the statements that wait for a newer state; samplers do not
	// pause while it is above zero.
	waiting atomic.Int64
	state   atomic.Pointer[GroupState]
	// queuedWrites counts the writes that wait for the group to accept writes
	// again.
	queuedWrites atomic.Int64
	// notifyWaiting notifies the control goroutine that a statement waits.
	notifyWaiting func()
}

// GroupState is one state of a group. It is immutable except for next, which is
// closed when a newer state is published.
type GroupState struct {
	Term uint64
	// Primary is empty while no primary is known.
	Primary core.Endpoint
	Members map[core.Endpoint]*Member
	// Confirmed is the point that a majority holds in Term.
	Confirmed core.Point
	// AsOf is a time at which the primary of Term was still the primary.
	AsOf time.Time
	// Confirmation decides which responses may be sent.
	Confirmation group.Confirmation
	// Availability states whether the group accepts writes.
	Availability group.Availability
	// Newest is the newest sample of the group; zero when there is none.
	Newest mark.GroupSample

	next chan struct{}
}

// Member is one endpoint of a group with its newest sample.
type Member struct {
	Name       core.Endpoint
	DataCentre core.DataCentre
	Leaving    bool
	Status     core.Status
	// SampledAt is when the request for Status was sent; zero when there is none.
	SampledAt time.Time
	// FreshAsOf is a time such that Status.Visible covers every write of the
	// group acknowledged before it.
	FreshAsOf time.Time
	// Forecast is the estimate of when the member reaches a position.
	Forecast route.LagForecast
	// Slots is how many statements the endpoint runs at once.
	Slots int

	pool      *endpointPool
	readStats *readStats
}

// State returns the newest state.
func (g *Group) State() *GroupState { return g.state.Load() }

// publish replaces the state and wakes every goroutine that waits for a newer
// one.
func (g *Group) publish(s *GroupState) {
	s.next = make(chan struct{})
	old := g.state.Swap(s)
	if old != nil {
		close(old.next)
	}
}

// await returns the first state that satisfies accept, or the newest one and
// false after the deadline.
func (g *Group) await(deadline time.Time, accept func(*GroupState) bool) (*GroupState, bool) {
	s := g.State()
	if accept(s) {
		return s, true
	}
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	g.notifyWaiting()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		select {
		case <-s.next:
		case <-timer.C:
			return g.State(), false
		}
		s = g.State()
		if accept(s) {
			return s, true
		}
	}
}

// primary returns the member that is the primary, or nil.
func (s *GroupState) primary() *Member { return s.Members[s.Primary] }
