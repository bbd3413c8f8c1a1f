package admit

import (
	"slices"
	"time"

	"anviltack/core"
)

const (
	defaultLease   = 200 * time.Millisecond
	defaultMargin  = 20 * time.Millisecond
	defaultQuantum = 50 * time.Millisecond
	defaultSpread  = 2 * time.Second
	// askHold is how many leases an ask may wait at the owner.
	askHold   = 4
	maxWeight = 64
)

// NoSlot stands for no slot in an Ask or a Grant.
const NoSlot = -1

// Ask is one instance's request for a slot of an endpoint.
type Ask struct {
	// ID is unique among the asks of From.
	ID   uint64
	From core.Instance
	// Slot is the slot whose lease is to be renewed, else NoSlot.
	Slot int
	// Demand is how many statements of From run or wait.
	Demand int
}

// Grant answers an Ask.
type Grant struct {
	ID uint64
	To core.Instance
	// Slot is NoSlot when the ask waited in vain.
	Slot int
	// Lease is how long the slot may be used, counted from when the ask was
	// sent; by the owner's count the lease ends later than that.
	Lease time.Duration
}

// Recall asks a borrower to give a slot back once it has had it for the quantum
// or does not need it.
type Recall struct {
	// ID is that of the ask that got the lease.
	ID      uint64
	To      core.Instance
	Slot    int
	Quantum time.Duration
}

// Lender lends the slots of one endpoint that this instance owns to other
// instances and says how many it may use itself.
type Lender struct {
	endpoint core.Endpoint
	self     core.Instance
	slots    int
	lease    time.Duration
	// margin is by how much the owner's end of a lease is later than the borrower's.
	margin time.Duration
	// quantum is how long an instance keeps a slot that others wait for.
	quantum time.Duration
	// spread bounds the time between two instances' learning of a change of
	// members: each learns of it within half of spread while it runs. A newly
	// owned slot rests for spread, lease and margin.
	spread time.Duration
	// owned holds the slots that the present members give this instance, in order.
	owned []*ownedSlot
	asks  []heldAsk
	// tags hold the weighted time that each instance has had slots, as in
	// start-time fair queueing.
	tags  map[core.Instance]float64
	clock float64
	// running and waiting are this instance's own demand.
	running, waiting int
	borrowed         int
	// touched is when the lender was last called; a gap longer than half
	// of spread means a pause during which others may have taken over the slots.
	touched time.Time
}

type ownedSlot struct {
	number int
	holder core.Instance
	// lease is the highest ID of the holder's asks that were granted; a return
	// that names an earlier one is late and does not end the present lease.
	lease uint64
	// until is the end of the lease, or of the rest after a change of owner;
	// only a borrowing holder uses the slot before then.
	until time.Time
	// since is when the holder's present quantum began.
	since time.Time
	// demand is what the holder's tag was charged by.
	demand int
	// recalled is when the holder was last asked to give the slot back.
	recalled time.Time
	// yielding keeps new work of the owner off a slot that is about to be lent.
	yielding bool
}

type heldAsk struct {
	Ask
	received time.Time
}

// LenderOption sets one property of a lender.
type LenderOption func(*Lender)

// WithLease sets the length of leases and the margin between the two ends.
func WithLease(lease, margin time.Duration) LenderOption {
	return func(l *Lender) { l.lease, l.margin = lease, margin }
}

// WithQuantum sets how long an instance keeps a slot that others wait for.
func WithQuantum(d time.Duration) LenderOption {
	return func(l *Lender) { l.quantum = d }
}

// WithSpread sets how far apart in time instances may learn of a change of members.
func WithSpread(d time.Duration) LenderOption {
	return func(l *Lender) { l.spread = d }
}

// NewLender returns a lender for an endpoint with the given number of slots.
func NewLender(e core.Endpoint, self core.Instance, slots int, options ...LenderOption) *Lender {
	l := &Lender{
		endpoint: e,
		self:     self,
		slots:    slots,
		lease:    defaultLease,
		margin:   defaultMargin,
		quantum:  defaultQuantum,
		spread:   defaultSpread,
		tags:     map[core.Instance]float64{},
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// SetMembers takes the live instances. Slots that this instance newly owns rest
// until every lease of their former owner has ended.
func (l *Lender) SetMembers(now time.Time, members []core.Instance) {
	l.touch(now)
	var owned []*ownedSlot
	for n, owner := range Assign(l.endpoint, l.slots, members) {
		if owner != l.self {
			continue
		}
		i := slices.IndexFunc(l.owned, func(s *ownedSlot) bool { return s.number == n })
		if i >= 0 {
			owned = append(owned, l.owned[i])
			continue
		}
		owned = append(owned, &ownedSlot{number: n, holder: l.self, until: now.Add(l.rest()), since: now})
	}
	l.owned = owned
	l.asks = slices.DeleteFunc(l.asks, func(a heldAsk) bool { return !slices.Contains(members, a.From) })
	for m := range l.tags {
		if !slices.Contains(members, m) {
			delete(l.tags, m)
		}
	}
}

// Use takes this instance's own demand and how many slots it has borrowed from
// others. It must be told before every Ask, Return and Tick.
func (l *Lender) Use(running, waiting, borrowed int) {
	l.running, l.waiting, l.borrowed = running, waiting, borrowed
}

// Own returns how many of its own slots this instance may use.
func (l *Lender) Own(now time.Time) int {
	l.touch(now)
	n := 0
	for _, s := range l.owned {
		if s.holder == l.self && !s.yielding && !now.Before(s.until) {
			n++
		}
	}
	return n
}

// Ask takes an ask; it is held when no grant answers it.
func (l *Lender) Ask(now time.Time, a Ask) []Grant {
	l.touch(now)
	if !l.isActive(a.From) {
		l.tags[a.From] = max(l.tags[a.From], l.clock)
	}
	if s := l.lentTo(a); s != nil {
		if g, ok := l.renew(now, s, a); ok {
			return []Grant{g}
		}
		a.Slot = NoSlot
	}
	l.asks = append(l.asks, heldAsk{Ask: a, received: now})
	return l.Tick(now)
}

// Return ends the lease that an ask got, before its time.
func (l *Lender) Return(now time.Time, a Ask) []Grant {
	l.touch(now)
	for _, s := range l.owned {
		if s.number == a.Slot && s.holder == a.From && s.lease == a.ID && a.From != l.self {
			l.refund(now, s)
			l.take(now, s)
		}
	}
	return l.Tick(now)
}

// Tick ends leases and answers held asks.
func (l *Lender) Tick(now time.Time) []Grant {
	l.touch(now)
	var out []Grant
	for _, s := range l.owned {
		if s.holder != l.self && !now.Before(s.until) {
			l.take(now, s)
		}
		if s.holder == l.self && !now.Before(s.until) {
			out = append(out, l.offer(now, s)...)
		}
	}
	return append(out, l.expire(now)...)
}

// Recalls returns the recalls that are due: one for each lent slot while more
// asks are held than slots come free by themselves.
func (l *Lender) Recalls(now time.Time) []Recall {
	var out []Recall
	for _, s := range l.owned {
		if s.holder == l.self || !l.isWantedBy(s.holder) || now.Sub(s.recalled) < l.quantum {
			continue
		}
		s.recalled = now
		out = append(out, Recall{ID: s.lease, To: s.holder, Slot: s.number, Quantum: max(0, l.quantum-now.Sub(s.since))})
	}
	return out
}

// isWantedBy reports whether anybody but the holder waits for a slot.
func (l *Lender) isWantedBy(holder core.Instance) bool {
	if l.waiting > 0 {
		return true
	}
	return slices.ContainsFunc(l.asks, func(a heldAsk) bool { return a.From != holder })
}

// offer lends a free slot to the instance whose turn it is. The owner keeps it
// while it has waiting work of its own and has had less than the others.
func (l *Lender) offer(now time.Time, s *ownedSlot) []Grant {
	if len(l.asks) == 0 {
		s.yielding = false
		return nil
	}
	next := l.next()
	if !s.yielding && !l.yields(now, s, l.tags[l.asks[next].From]) {
		return nil
	}
	s.yielding = true
	if l.running > l.Own(now)+l.borrowed {
		return nil
	}
	a := l.asks[next]
	l.asks = slices.Delete(l.asks, next, next+1)
	l.charge(a.From, a.Demand)
	s.holder, s.lease, s.demand, s.yielding = a.From, a.ID, a.Demand, false
	s.recalled = time.Time{}
	s.since, s.until = now, now.Add(l.lease+l.margin)
	return []Grant{{ID: a.ID, To: a.From, Slot: s.number, Lease: now.Sub(a.received) + l.lease}}
}

// yields reports whether the owner gives up a slot to an instance with the tag.
func (l *Lender) yields(now time.Time, s *ownedSlot, tag float64) bool {
	if l.running+l.waiting < l.Own(now)+l.borrowed {
		return true
	}
	if now.Sub(s.since) < l.quantum {
		return false
	}
	l.charge(l.self, l.running+l.waiting)
	s.since = now
	return l.tags[l.self] > tag
}

// next returns the held ask of the instance that has had the slots least.
func (l *Lender) next() int {
	next := 0
	for i := range l.asks {
		if l.tags[l.asks[i].From] < l.tags[l.asks[next].From] {
			next = i
		}
	}
	return next
}

// renew extends a lease unless somebody waits and the holder has long had its
// quantum, as after a lost recall.
func (l *Lender) renew(now time.Time, s *ownedSlot, a Ask) (Grant, bool) {
	if l.isWantedBy(a.From) && now.Sub(s.since) > l.lease {
		return Grant{}, false
	}
	s.lease, s.until = max(s.lease, a.ID), now.Add(l.lease+l.margin)
	return Grant{ID: a.ID, To: a.From, Slot: s.number, Lease: l.lease}, true
}

// expire answers the asks that have waited long enough in vain.
func (l *Lender) expire(now time.Time) []Grant {
	var out []Grant
	l.asks = slices.DeleteFunc(l.asks, func(a heldAsk) bool {
		if now.Sub(a.received) < askHold*l.lease {
			return false
		}
		out = append(out, Grant{ID: a.ID, To: a.From, Slot: NoSlot})
		return true
	})
	return out
}

func (l *Lender) lentTo(a Ask) *ownedSlot {
	for _, s := range l.owned {
		if s.number == a.Slot && s.holder == a.From && a.From != l.self {
			return s
		}
	}
	return nil
}

func (l *Lender) take(now time.Time, s *ownedSlot) {
	s.holder, s.since, s.until, s.yielding = l.self, now, now, false
}

// charge adds one quantum to an instance's tag, less for one with more demand.
func (l *Lender) charge(i core.Instance, demand int) {
	l.clock = max(l.clock, l.tags[i])
	l.tags[i] += l.quantum.Seconds() / weight(demand)
}

// refund takes back the part of a quantum that the holder did not use.
func (l *Lender) refund(now time.Time, s *ownedSlot) {
	l.tags[s.holder] -= max(0, l.quantum-now.Sub(s.since)).Seconds() / weight(s.demand)
}

func weight(demand int) float64 { return float64(min(max(demand, 1), maxWeight)) }

func (l *Lender) isActive(i core.Instance) bool {
	return slices.ContainsFunc(l.owned, func(s *ownedSlot) bool { return s.holder == i }) ||
		slices.ContainsFunc(l.asks, func(a heldAsk) bool { return a.From == i })
}

func (l *Lender) rest() time.Duration { return l.spread + l.lease + l.margin }

// touch notices a pause and rests every slot after it, as if newly owned.
func (l *Lender) touch(now time.Time) {
	if !l.touched.IsZero() && now.Sub(l.touched) > l.spread/2 {
		for _, s := range l.owned {
			l.take(now, s)
			s.until = now.Add(l.rest())
		}
	}
	l.touched = now
}
