package admit

import (
	"slices"
	"time"

	"anviltack/core"
)

const (
	// slotRequestBackoff is how long an owner is not asked again after a slot request
	// failed.
	slotRequestBackoff = 100 * time.Millisecond
	// unusedLeaseDivisor divides the length of a lease; the result is how long a slot
	// may stay unused before it is returned.
	unusedLeaseDivisor = 4
)

// Load is an instance's use of an endpoint.
type Load struct {
	// Running and Waiting count the statements of this instance.
	Running, Waiting int
	// OwnSlots counts the slots that the instance owns and may use.
	OwnSlots int
	// MinRemaining is how long a statement may take. A lease with less time left is
	// not used.
	MinRemaining time.Duration
}

// BorrowMessage is a message from the borrower to the owner of a slot.
type BorrowMessage struct {
	// To owns the slot.
	To      core.Instance
	Request SlotRequest
	// Return is true if Request.Slot is returned rather than requested.
	Return bool
}

// Borrower manages the slots of one endpoint that this instance borrows.
type Borrower struct {
	self   core.Instance
	lease  time.Duration
	lastID uint64
	// leases are in the order in which they were granted.
	leases []*slotLease
	// slotRequests are the unanswered ones, at most one for each owner and slot.
	slotRequests []sentSlotRequest
	backoffUntil map[core.Instance]time.Time
	// returned holds the request ID of the last returned lease of each slot. A grant of
	// the slot to an earlier request is late and is not used.
	returned map[slotKey]uint64
}

// slotKey identifies a slot by its owner and number.
type slotKey struct {
	owner core.Instance
	slot  int
}

type slotLease struct {
	owner core.Instance
	slot  int
	// requestID is the ID of the request that was granted last.
	requestID uint64
	// requestedAt is when that request was sent; the lease counts from then.
	requestedAt time.Time
	// end is the end of the lease; the owner's end of the same lease is later.
	end time.Time
	// lastNeeded is when the slot was last needed.
	lastNeeded time.Time
	// returnAt is when to return the slot because its owner recalled it; zero if it
	// was not recalled.
	returnAt time.Time
}

type sentSlotRequest struct {
	BorrowMessage
	sent time.Time
}

// NewBorrower returns a borrower that renews leases of the given length.
func NewBorrower(self core.Instance, lease time.Duration) *Borrower {
	return &Borrower{self: self, lease: lease, backoffUntil: map[core.Instance]time.Time{}, returned: map[slotKey]uint64{}}
}

// Slots returns how many leases last longer than minRemaining, the time that a
// statement started now may take.
func (b *Borrower) Slots(now time.Time, minRemaining time.Duration) int {
	return b.slotsExcept(now, minRemaining, nil)
}

// Update renews, returns and requests leases to match the load, and returns the
// messages to send. Owners are the other instances that own a slot of the endpoint.
func (b *Borrower) Update(now time.Time, l Load, owners []core.Instance) []BorrowMessage {
	b.removeExpired(now)
	var out []BorrowMessage
	missing := l.Running + l.Waiting - l.OwnSlots
	for _, lease := range slices.Clone(b.leases) {
		if missing > 0 {
			lease.lastNeeded = now
			missing--
		}
		switch {
		case b.shouldReturn(now, lease) && l.Running <= l.OwnSlots+b.slotsExcept(now, l.MinRemaining, lease):
			b.leases = slices.DeleteFunc(b.leases, func(other *slotLease) bool { return other == lease })
			b.returned[slotKey{lease.owner, lease.slot}] = lease.requestID
			out = append(out, BorrowMessage{To: lease.owner, Request: SlotRequest{ID: lease.requestID, From: b.self, Slot: lease.slot}, Return: true})
		case !lease.isRecalled(now) && lease.end.Sub(now) < lease.end.Sub(lease.requestedAt)/2:
			out = append(out, b.requestSlot(now, lease.owner, lease.slot, l)...)
		}
	}
	if missing <= 0 || l.Waiting == 0 {
		return out
	}
	for _, o := range owners {
		if !now.Before(b.backoffUntil[o]) {
			out = append(out, b.requestSlot(now, o, NoSlot, l)...)
		}
	}
	return out
}

// shouldReturn reports whether a lease is to be returned: it was recalled or is unused.
func (b *Borrower) shouldReturn(now time.Time, l *slotLease) bool {
	if l.isRecalled(now) {
		return true
	}
	unused := now.Sub(l.lastNeeded)
	return unused > b.lease/unusedLeaseDivisor || !l.returnAt.IsZero() && unused > 0
}

// slotsExcept counts the leases other than except that last longer than minRemaining.
func (b *Borrower) slotsExcept(now time.Time, minRemaining time.Duration, except *slotLease) int {
	n := 0
	for _, l := range b.leases {
		if l != except && now.Add(minRemaining).Before(l.end) && !l.isRecalled(now) {
			n++
		}
	}
	return n
}

func (l *slotLease) isRecalled(now time.Time) bool {
	return !l.returnAt.IsZero() && !now.Before(l.returnAt)
}

// HandleGrant processes the answer to a slot request. It does not use a lease that this
// instance no longer expects, and returns the message that gives it back.
func (b *Borrower) HandleGrant(now time.Time, owner core.Instance, g SlotGrant) []BorrowMessage {
	i := slices.IndexFunc(b.slotRequests, func(a sentSlotRequest) bool { return a.To == owner && a.Request.ID == g.ID })
	if i < 0 {
		return b.decline(owner, g)
	}
	a := b.slotRequests[i]
	b.slotRequests = slices.Delete(b.slotRequests, i, i+1)
	if g.Slot == NoSlot {
		return nil
	}
	if g.ID < b.returned[slotKey{owner, g.Slot}] {
		return b.decline(owner, g)
	}
	end := a.sent.Add(g.Lease)
	for _, l := range b.leases {
		if l.owner == owner && l.slot == g.Slot {
			l.requestID, l.requestedAt, l.end = g.ID, a.sent, end
			return nil
		}
	}
	if end.After(now) {
		b.leases = append(b.leases, &slotLease{owner: owner, slot: g.Slot, requestID: g.ID, requestedAt: a.sent, end: end, lastNeeded: now})
	}
	return nil
}

// decline returns a lease that arrived too late to be used. If the same slot is on lease
// through another request, nothing is returned.
func (b *Borrower) decline(owner core.Instance, g SlotGrant) []BorrowMessage {
	leased := slices.ContainsFunc(b.leases, func(l *slotLease) bool { return l.owner == owner && l.slot == g.Slot })
	if g.Slot == NoSlot || leased {
		return nil
	}
	k := slotKey{owner, g.Slot}
	b.returned[k] = max(b.returned[k], g.ID)
	return []BorrowMessage{{To: owner, Request: SlotRequest{ID: g.ID, From: b.self, Slot: g.Slot}, Return: true}}
}

// HandleRecall schedules the return of a slot that its owner recalled.
func (b *Borrower) HandleRecall(now time.Time, owner core.Instance, r SlotRecall) {
	for _, l := range b.leases {
		if l.owner == owner && l.slot == r.Slot && l.requestID == r.ID {
			l.returnAt = now.Add(r.Quantum)
		}
	}
}

// HandleFailure processes the failure of a slot request; the owner is not asked for
// slotRequestBackoff.
func (b *Borrower) HandleFailure(now time.Time, owner core.Instance, id uint64) {
	b.slotRequests = slices.DeleteFunc(b.slotRequests, func(a sentSlotRequest) bool { return a.To == owner && a.Request.ID == id })
	b.backoffUntil[owner] = now.Add(slotRequestBackoff)
}

// IsActive reports whether the instance borrows a slot or awaits an answer to a slot
// request.
func (b *Borrower) IsActive() bool { return len(b.leases)+len(b.slotRequests) > 0 }

func (b *Borrower) requestSlot(now time.Time, owner core.Instance, slot int, l Load) []BorrowMessage {
	for _, a := range b.slotRequests {
		if a.To == owner && a.Request.Slot == slot {
			return nil
		}
	}
	b.lastID++
	a := BorrowMessage{To: owner, Request: SlotRequest{ID: b.lastID, From: b.self, Slot: slot, Demand: l.Running + l.Waiting}}
	b.slotRequests = append(b.slotRequests, sentSlotRequest{BorrowMessage: a, sent: now})
	return []BorrowMessage{a}
}

// removeExpired removes expired leases and backoffs, and slot requests whose answers
// were lost.
func (b *Borrower) removeExpired(now time.Time) {
	b.leases = slices.DeleteFunc(b.leases, func(l *slotLease) bool { return !now.Before(l.end) })
	b.slotRequests = slices.DeleteFunc(b.slotRequests, func(a sentSlotRequest) bool { return now.Sub(a.sent) > 2*slotRequestTimeoutLeases*b.lease })
	for o, t := range b.backoffUntil {
		if !now.Before(t) {
			delete(b.backoffUntil, o)
		}
	}
}
