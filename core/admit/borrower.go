package admit

import (
	"slices"
	"time"

	"anviltack/core"
)

const (
	askBackoff = 100 * time.Millisecond
	// unusedPart is the part of a lease after which an unused slot is returned.
	unusedPart = 4
)

// Load is an instance's own use of an endpoint.
type Load struct {
	// Running and Waiting count the statements of this instance.
	Running, Waiting int
	// Own counts the usable slots that the instance owns.
	Own int
	// Guard is how long a statement may take; a lease with less left is not used.
	Guard time.Duration
}

// BorrowAction is one message that the borrower wants sent.
type BorrowAction struct {
	// To owns the slot.
	To  core.Instance
	Ask Ask
	// Return tells that Ask.Slot is given back, not asked for.
	Return bool
}

// Borrower holds the slots of one endpoint that this instance has on lease.
type Borrower struct {
	self  core.Instance
	lease time.Duration
	last  uint64
	// leases are in the order in which they were granted.
	leases []*borrowed
	// asks are those without an answer, at most one for each owner and slot.
	asks   []sentAsk
	backed map[core.Instance]time.Time
	// returned holds the ask of the last returned lease of each slot; a grant of
	// the slot to an earlier ask is late and is not used.
	returned map[slotKey]uint64
}

// slotKey names a slot by its owner and number.
type slotKey struct {
	owner core.Instance
	slot  int
}

type borrowed struct {
	owner core.Instance
	slot  int
	// ask is the ID of the ask that was granted last.
	ask uint64
	// start is when the ask was sent.
	start time.Time
	// end is earlier than the owner's end of the same lease.
	end time.Time
	// used is when the slot was last needed.
	used time.Time
	// giveBack is when the slot goes back because its owner recalled it; zero
	// when it did not.
	giveBack time.Time
}

type sentAsk struct {
	BorrowAction
	sent time.Time
}

// NewBorrower returns a borrower that renews leases of the given length.
func NewBorrower(self core.Instance, lease time.Duration) *Borrower {
	return &Borrower{self: self, lease: lease, backed: map[core.Instance]time.Time{}, returned: map[slotKey]uint64{}}
}

// Slots returns how many leases last longer than guard, the time that a
// statement started now may take.
func (b *Borrower) Slots(now time.Time, guard time.Duration) int {
	return b.slotsBeside(now, guard, nil)
}

// Want takes the demand and the instance's own usable slots, and returns the
// messages to send. Owners are those of the endpoint's slots other than self.
func (b *Borrower) Want(now time.Time, l Load, owners []core.Instance) []BorrowAction {
	b.clean(now)
	var out []BorrowAction
	need := l.Running + l.Waiting - l.Own
	for _, o := range slices.Clone(b.leases) {
		if need > 0 {
			o.used = now
			need--
		}
		switch {
		case b.isDone(now, o) && l.Running <= l.Own+b.slotsBeside(now, l.Guard, o):
			b.leases = slices.DeleteFunc(b.leases, func(p *borrowed) bool { return p == o })
			b.returned[slotKey{o.owner, o.slot}] = o.ask
			out = append(out, BorrowAction{To: o.owner, Ask: Ask{ID: o.ask, From: b.self, Slot: o.slot}, Return: true})
		case !o.isRecalled(now) && o.end.Sub(now) < o.end.Sub(o.start)/2:
			out = append(out, b.ask(now, o.owner, o.slot, l)...)
		}
	}
	if need <= 0 || l.Waiting == 0 {
		return out
	}
	for _, o := range owners {
		if !now.Before(b.backed[o]) {
			out = append(out, b.ask(now, o, NoSlot, l)...)
		}
	}
	return out
}

// isDone reports whether a lease is to be returned: recalled, or not needed.
func (b *Borrower) isDone(now time.Time, l *borrowed) bool {
	if l.isRecalled(now) {
		return true
	}
	unused := now.Sub(l.used)
	return unused > b.lease/unusedPart || !l.giveBack.IsZero() && unused > 0
}

// slotsBeside counts the leases that last longer than guard, other than one.
func (b *Borrower) slotsBeside(now time.Time, guard time.Duration, but *borrowed) int {
	n := 0
	for _, l := range b.leases {
		if l != but && now.Add(guard).Before(l.end) && !l.isRecalled(now) {
			n++
		}
	}
	return n
}

func (l *borrowed) isRecalled(now time.Time) bool {
	return !l.giveBack.IsZero() && !now.Before(l.giveBack)
}

// Granted takes the answer to an ask. A lease that this instance no longer
// expects is not used; its return is the result.
func (b *Borrower) Granted(now time.Time, owner core.Instance, g Grant) []BorrowAction {
	i := slices.IndexFunc(b.asks, func(a sentAsk) bool { return a.To == owner && a.Ask.ID == g.ID })
	if i < 0 {
		return b.decline(owner, g)
	}
	a := b.asks[i]
	b.asks = slices.Delete(b.asks, i, i+1)
	if g.Slot == NoSlot {
		return nil
	}
	if g.ID < b.returned[slotKey{owner, g.Slot}] {
		return b.decline(owner, g)
	}
	end := a.sent.Add(g.Lease)
	for _, l := range b.leases {
		if l.owner == owner && l.slot == g.Slot {
			l.ask, l.start, l.end = g.ID, a.sent, end
			return nil
		}
	}
	if end.After(now) {
		b.leases = append(b.leases, &borrowed{owner: owner, slot: g.Slot, ask: g.ID, start: a.sent, end: end, used: now})
	}
	return nil
}

// decline returns a lease that comes too late to be used; the slot may be on
// lease by another ask, and then nothing is returned.
func (b *Borrower) decline(owner core.Instance, g Grant) []BorrowAction {
	held := slices.ContainsFunc(b.leases, func(l *borrowed) bool { return l.owner == owner && l.slot == g.Slot })
	if g.Slot == NoSlot || held {
		return nil
	}
	k := slotKey{owner, g.Slot}
	b.returned[k] = max(b.returned[k], g.ID)
	return []BorrowAction{{To: owner, Ask: Ask{ID: g.ID, From: b.self, Slot: g.Slot}, Return: true}}
}

// Recalled takes an owner's recall of a slot.
func (b *Borrower) Recalled(now time.Time, owner core.Instance, r Recall) {
	for _, l := range b.leases {
		if l.owner == owner && l.slot == r.Slot && l.ask == r.ID {
			l.giveBack = now.Add(r.Quantum)
		}
	}
}

// Failed takes the failure of an ask; the owner is left alone for a while.
func (b *Borrower) Failed(now time.Time, owner core.Instance, id uint64) {
	b.asks = slices.DeleteFunc(b.asks, func(a sentAsk) bool { return a.To == owner && a.Ask.ID == id })
	b.backed[owner] = now.Add(askBackoff)
}

// Holds reports whether the instance holds or awaits any slot.
func (b *Borrower) Holds() bool { return len(b.leases)+len(b.asks) > 0 }

func (b *Borrower) ask(now time.Time, owner core.Instance, slot int, l Load) []BorrowAction {
	for _, a := range b.asks {
		if a.To == owner && a.Ask.Slot == slot {
			return nil
		}
	}
	b.last++
	a := BorrowAction{To: owner, Ask: Ask{ID: b.last, From: b.self, Slot: slot, Demand: l.Running + l.Waiting}}
	b.asks = append(b.asks, sentAsk{BorrowAction: a, sent: now})
	return []BorrowAction{a}
}

// clean drops lapsed leases and asks whose answer was lost.
func (b *Borrower) clean(now time.Time) {
	b.leases = slices.DeleteFunc(b.leases, func(l *borrowed) bool { return !now.Before(l.end) })
	b.asks = slices.DeleteFunc(b.asks, func(a sentAsk) bool { return now.Sub(a.sent) > 2*askHold*b.lease })
	for o, t := range b.backed {
		if !now.Before(t) {
			delete(b.backed, o)
		}
	}
}
