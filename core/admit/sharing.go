package admit

import (
	"math/rand/v2"
	"time"

	"anviltack/core"
)

const sharingPeriod = 10 * time.Millisecond

// Output is what follows from one event: statements to start or refuse, and
// messages to other instances.
type Output struct {
	Actions  []Action
	Grants   []Grant
	Recalls  []Recall
	Messages []BorrowAction
}

// Sharing admits the statements of one endpoint on one instance, within slots
// that all instances share by lending.
type Sharing struct {
	gate     *Gate
	lender   *Lender
	borrower *Borrower
	endpoint core.Endpoint
	self     core.Instance
	slots    int
	queue    int
	connect  func(now time.Time, r Request) bool
	lending  []LenderOption
	members  []core.Instance
	// owners are the other instances that own a slot of the endpoint.
	owners []core.Instance
}

// SharingOption sets one property of a sharing.
type SharingOption func(*Sharing)

// WithSharedQueue bounds the queue of the instance to n statements.
func WithSharedQueue(n int) SharingOption {
	return func(s *Sharing) { s.queue = n }
}

// WithSharedConnections makes statements wait until connect has a connection
// for them.
func WithSharedConnections(connect func(now time.Time, r Request) bool) SharingOption {
	return func(s *Sharing) { s.connect = connect }
}

// WithLending sets properties of the lender.
func WithLending(options ...LenderOption) SharingOption {
	return func(s *Sharing) { s.lending = append(s.lending, options...) }
}

// NewSharing returns the sharing of an endpoint with the given number of slots.
func NewSharing(e core.Endpoint, self core.Instance, slots int, random *rand.Rand, options ...SharingOption) *Sharing {
	s := &Sharing{endpoint: e, self: self, slots: slots, queue: DefaultQueue}
	s.connect = func(time.Time, Request) bool { return true }
	for _, o := range options {
		o(s)
	}
	s.lender = NewLender(e, self, slots, s.lending...)
	s.borrower = NewBorrower(self, s.lender.lease)
	s.gate = NewGate(s.usable, random, WithQueue(s.queue), WithConnections(s.connect))
	return s
}

// Running returns how many statements run.
func (s *Sharing) Running() int { return s.gate.Running() }

// Waiting returns how many statements wait.
func (s *Sharing) Waiting() int { return s.gate.Waiting() }

// ServiceTime returns the time within which most statements end.
func (s *Sharing) ServiceTime() time.Duration { return s.gate.service.safe() }

// Own returns how many own slots are usable.
func (s *Sharing) Own(now time.Time) int { return s.lender.Own(now) }

// Borrowed returns how many leases on slots of others are usable.
func (s *Sharing) Borrowed(now time.Time) int { return s.borrower.Slots(now, s.guard()) }

// SetMembers takes the live instances, this one among them.
func (s *Sharing) SetMembers(now time.Time, members []core.Instance) Output {
	s.members = members
	s.lender.SetMembers(now, members)
	s.owners = Others(Assign(s.endpoint, s.slots, members), s.self)
	return s.settle(now, Output{})
}

// Resize takes the number of slots of the endpoint and the bound of the queue.
func (s *Sharing) Resize(now time.Time, slots, queue int) Output {
	s.gate.limit = queue
	if slots == s.slots {
		return Output{}
	}
	s.slots, s.lender.slots = slots, slots
	return s.SetMembers(now, s.members)
}

// Arrive takes a new statement.
func (s *Sharing) Arrive(now time.Time, r Request) Output {
	return s.settle(now, Output{Actions: s.gate.Arrive(now, r)})
}

// Finish ends a running statement.
func (s *Sharing) Finish(now time.Time, id uint64) Output {
	return s.settle(now, Output{Actions: s.gate.Finish(now, id)})
}

// Cancel drops a waiting statement and reports whether it was waiting.
func (s *Sharing) Cancel(now time.Time, id uint64) bool { return s.gate.Cancel(now, id) }

// Ask takes another instance's ask for a slot.
func (s *Sharing) Ask(now time.Time, a Ask) Output {
	s.use(now)
	return s.settle(now, Output{Grants: s.lender.Ask(now, a)})
}

// Return takes back a slot from another instance.
func (s *Sharing) Return(now time.Time, a Ask) Output {
	s.use(now)
	return s.settle(now, Output{Grants: s.lender.Return(now, a)})
}

// Granted takes an owner's answer to an ask of this instance.
func (s *Sharing) Granted(now time.Time, owner core.Instance, g Grant) Output {
	return s.settle(now, Output{Messages: s.borrower.Granted(now, owner, g)})
}

// Recalled takes an owner's recall of a slot that this instance has on lease.
func (s *Sharing) Recalled(now time.Time, owner core.Instance, r Recall) Output {
	s.borrower.Recalled(now, owner, r)
	return s.settle(now, Output{})
}

// Failed takes the failure of an ask of this instance.
func (s *Sharing) Failed(now time.Time, owner core.Instance, id uint64) Output {
	s.borrower.Failed(now, owner, id)
	return s.settle(now, Output{})
}

// Tick lets time act: leases lapse, statements become hopeless.
func (s *Sharing) Tick(now time.Time) Output { return s.settle(now, Output{}) }

// Next returns when Tick is due; false while nothing waits and nothing is lent.
func (s *Sharing) Next(now time.Time) (time.Time, bool) {
	if s.gate.Waiting() > 0 || len(s.lender.asks) > 0 {
		return now.Add(sweepPeriod), true
	}
	return now.Add(sharingPeriod), s.borrower.Holds()
}

// settle brings gate, lender and borrower in line after an event.
func (s *Sharing) settle(now time.Time, o Output) Output {
	o.Actions = append(o.Actions, s.gate.Tick(now)...)
	s.use(now)
	o.Grants = append(o.Grants, s.lender.Tick(now)...)
	o.Recalls = append(o.Recalls, s.lender.Recalls(now)...)
	o.Actions = append(o.Actions, s.gate.dispatch(now)...)
	load := Load{Running: s.gate.Running(), Waiting: s.gate.Waiting(), Own: s.lender.Own(now), Guard: s.guard()}
	o.Messages = append(o.Messages, s.borrower.Want(now, load, s.owners)...)
	return o
}

func (s *Sharing) use(now time.Time) {
	s.lender.Use(s.gate.Running(), s.gate.Waiting(), s.Borrowed(now))
}

func (s *Sharing) usable(now time.Time) int { return s.lender.Own(now) + s.Borrowed(now) }

// guard is how long a statement may be expected to take.
func (s *Sharing) guard() time.Duration {
	if s.gate.service.samples == 0 {
		return s.lender.lease / 2
	}
	return min(s.gate.service.safe(), s.lender.lease/2)
}
