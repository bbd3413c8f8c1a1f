package admit

import (
	"math/rand/v2"
	"time"

	"anviltack/core"
)

// sharingPeriod is the time between ticks while nothing waits and slots are borrowed.
const sharingPeriod = 10 * time.Millisecond

// Output is the result of one event: statements to start or refuse, and messages to
// other instances.
type Output struct {
	Actions  []Action
	Grants   []SlotGrant
	Recalls  []SlotRecall
	Messages []BorrowMessage
}

// Sharing admits the statements of one endpoint on one instance, where the instances
// share the endpoint's slots by lending them to one another.
type Sharing struct {
	gate          *Gate
	lender        *Lender
	borrower      *Borrower
	endpoint      core.Endpoint
	self          core.Instance
	slots         int
	queueLimit    int
	connect       func(now time.Time, r Request) bool
	lenderOptions []LenderOption
	instances     []core.Instance
	// owners are the other instances that own a slot of the endpoint.
	owners []core.Instance
}

// SharingOption sets one property of a Sharing.
type SharingOption func(*Sharing)

// WithSharedQueueLimit bounds the queue of the instance to n statements.
func WithSharedQueueLimit(n int) SharingOption {
	return func(s *Sharing) { s.queueLimit = n }
}

// WithSharedConnections makes statements wait until connect has a connection for them.
func WithSharedConnections(connect func(now time.Time, r Request) bool) SharingOption {
	return func(s *Sharing) { s.connect = connect }
}

// WithLenderOptions sets properties of the lender.
func WithLenderOptions(options ...LenderOption) SharingOption {
	return func(s *Sharing) { s.lenderOptions = append(s.lenderOptions, options...) }
}

// NewSharing returns a Sharing for an endpoint with the given number of slots.
func NewSharing(e core.Endpoint, self core.Instance, slots int, random *rand.Rand, options ...SharingOption) *Sharing {
	s := &Sharing{endpoint: e, self: self, slots: slots, queueLimit: DefaultQueueLimit}
	s.connect = func(time.Time, Request) bool { return true }
	for _, o := range options {
		o(s)
	}
	s.lender = NewLender(e, self, slots, s.lenderOptions...)
	s.borrower = NewBorrower(self, s.lender.lease)
	s.gate = NewGate(s.usableSlots, random, WithQueueLimit(s.queueLimit), WithConnections(s.connect))
	return s
}

// Running returns how many statements run.
func (s *Sharing) Running() int { return s.gate.Running() }

// Waiting returns how many statements wait.
func (s *Sharing) Waiting() int { return s.gate.Waiting() }

// ServiceTime returns a service time that most statements do not exceed.
func (s *Sharing) ServiceTime() time.Duration { return s.gate.service.upperBound() }

// OwnSlots returns how many of its own slots the instance may use.
func (s *Sharing) OwnSlots(now time.Time) int { return s.lender.OwnSlots(now) }

// BorrowedSlots returns how many borrowed slots the instance may use.
func (s *Sharing) BorrowedSlots(now time.Time) int { return s.borrower.Slots(now, s.minRemaining()) }

// SetInstances sets the live instances, this one included.
func (s *Sharing) SetInstances(now time.Time, instances []core.Instance) Output {
	s.instances = instances
	s.lender.SetInstances(now, instances)
	s.owners = OtherOwners(AssignOwners(s.endpoint, s.slots, instances), s.self)
	return s.update(now, Output{})
}

// Resize sets the number of slots of the endpoint and the queue limit.
func (s *Sharing) Resize(now time.Time, slots, queue int) Output {
	s.gate.queueLimit = queue
	if slots == s.slots {
		return Output{}
	}
	s.slots, s.lender.slots = slots, slots
	return s.SetInstances(now, s.instances)
}

// Arrive starts, queues or refuses a new statement.
func (s *Sharing) Arrive(now time.Time, r Request) Output {
	return s.update(now, Output{Actions: s.gate.Arrive(now, r)})
}

// Finish ends a running statement.
func (s *Sharing) Finish(now time.Time, id uint64) Output {
	return s.update(now, Output{Actions: s.gate.Finish(now, id)})
}

// Cancel removes a waiting statement and reports whether it was waiting.
func (s *Sharing) Cancel(now time.Time, id uint64) bool { return s.gate.Cancel(now, id) }

// HandleSlotRequest processes another instance's request for a slot.
func (s *Sharing) HandleSlotRequest(now time.Time, r SlotRequest) Output {
	s.reportUsage(now)
	return s.update(now, Output{Grants: s.lender.HandleSlotRequest(now, r)})
}

// HandleReturn processes the return of a slot by another instance.
func (s *Sharing) HandleReturn(now time.Time, r SlotRequest) Output {
	s.reportUsage(now)
	return s.update(now, Output{Grants: s.lender.HandleReturn(now, r)})
}

// HandleGrant processes an owner's answer to a slot request of this instance.
func (s *Sharing) HandleGrant(now time.Time, owner core.Instance, g SlotGrant) Output {
	return s.update(now, Output{Messages: s.borrower.HandleGrant(now, owner, g)})
}

// HandleRecall processes an owner's recall of a slot that this instance borrows.
func (s *Sharing) HandleRecall(now time.Time, owner core.Instance, r SlotRecall) Output {
	s.borrower.HandleRecall(now, owner, r)
	return s.update(now, Output{})
}

// HandleFailure processes the failure of a slot request of this instance.
func (s *Sharing) HandleFailure(now time.Time, owner core.Instance, id uint64) Output {
	s.borrower.HandleFailure(now, owner, id)
	return s.update(now, Output{})
}

// Tick ends expired leases and refuses statements that can no longer meet their
// deadlines.
func (s *Sharing) Tick(now time.Time) Output { return s.update(now, Output{}) }

// NextTick returns when Tick is due, or false if nothing waits and nothing is borrowed.
func (s *Sharing) NextTick(now time.Time) (time.Time, bool) {
	if s.gate.Waiting() > 0 || len(s.lender.pendingSlotRequests) > 0 {
		return now.Add(sweepPeriod), true
	}
	return now.Add(sharingPeriod), s.borrower.IsActive()
}

// update adjusts gate, lender and borrower to one another after an event.
func (s *Sharing) update(now time.Time, o Output) Output {
	o.Actions = append(o.Actions, s.gate.Tick(now)...)
	s.reportUsage(now)
	o.Grants = append(o.Grants, s.lender.Tick(now)...)
	o.Recalls = append(o.Recalls, s.lender.Recalls(now)...)
	o.Actions = append(o.Actions, s.gate.dispatch(now)...)
	load := Load{Running: s.gate.Running(), Waiting: s.gate.Waiting(), OwnSlots: s.lender.OwnSlots(now), MinRemaining: s.minRemaining()}
	o.Messages = append(o.Messages, s.borrower.Update(now, load, s.owners)...)
	return o
}

func (s *Sharing) reportUsage(now time.Time) {
	s.lender.SetUsage(s.gate.Running(), s.gate.Waiting(), s.BorrowedSlots(now))
}

func (s *Sharing) usableSlots(now time.Time) int {
	return s.lender.OwnSlots(now) + s.BorrowedSlots(now)
}

// minRemaining returns the time that a lease must still last for a statement to start on
// it: an upper estimate of the service time, at most half a lease.
func (s *Sharing) minRemaining() time.Duration {
	if s.gate.service.count == 0 {
		return s.lender.lease / 2
	}
	return min(s.gate.service.upperBound(), s.lender.lease/2)
}
