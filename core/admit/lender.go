package admit

import (
	"slices"
	"time"

	"anviltack/core"
)

const (
	defaultLease          = 200 * time.Millisecond
	defaultMargin         = 20 * time.Millisecond
	defaultQuantum        = 50 * time.Millisecond
	defaultMembershipSkew = 2 * time.Second
	// slotRequestTimeoutLeases is how long a slot request may wait at the owner, in
	// lengths of a lease.
	slotRequestTimeoutLeases = 4
	maxDemandWeight          = 64
)

// NoSlot is the Slot of a SlotRequest or a SlotGrant without one.
const NoSlot = -1

// SlotRequest is one instance's request for a slot of an endpoint.
type SlotRequest struct {
	// ID is unique among the slot requests of From.
	ID   uint64
	From core.Instance
	// Slot is the slot whose lease is to be renewed, or NoSlot for any slot.
	Slot int
	// Demand is how many statements of From run or wait.
	Demand int
}

// SlotGrant answers a SlotRequest.
type SlotGrant struct {
	ID uint64
	To core.Instance
	// Slot is NoSlot if no slot came free before the request timed out.
	Slot int
	// Lease is how long the slot may be used, counted from when the request was sent.
	// On the owner's side the lease ends later than that.
	Lease time.Duration
}

// SlotRecall asks a borrower to return a slot once Quantum has passed or it does not
// need the slot.
type SlotRecall struct {
	// ID is the ID of the request to which the lease was granted.
	ID      uint64
	To      core.Instance
	Slot    int
	Quantum time.Duration
}

// Lender lends the slots of one endpoint that this instance owns to other instances,
// and counts the ones that this instance may use itself.
type Lender struct {
	endpoint core.Endpoint
	self     core.Instance
	slots    int
	lease    time.Duration
	// margin is how much later a lease ends for the owner than for the borrower.
	margin time.Duration
	// quantum is how long an instance keeps a slot that others wait for.
	quantum time.Duration
	// membershipSkew bounds the time between the moments at which two instances see a
	// change of instances: each sees it within half of membershipSkew while it runs. A
	// newly owned slot is quarantined for membershipSkew, lease and margin.
	membershipSkew time.Duration
	// owned holds the slots that this instance owns under the current instances, in
	// order.
	owned               []*ownedSlot
	pendingSlotRequests []pendingSlotRequest
	// tags are the start tags of start-time fair queueing: the weighted time for
	// which each instance has had slots.
	tags        map[core.Instance]float64
	virtualTime float64
	// running and waiting count this instance's own statements.
	running, waiting int
	borrowed         int
	// lastCall is when the lender was last called. A gap longer than half of
	// membershipSkew is a pause during which others may have taken over the slots.
	lastCall time.Time
}

type ownedSlot struct {
	number int
	holder core.Instance
	// requestID is the highest ID of the holder's granted requests. A return with an earlier
	// one is late and does not end the current lease.
	requestID uint64
	// reservedUntil is the end of the lease, or of the quarantine after a change of
	// owner; before then only a borrower may use the slot.
	reservedUntil time.Time
	// quantumStart is when the holder's current quantum began.
	quantumStart time.Time
	// chargedDemand is the demand by which the holder's tag was charged.
	chargedDemand int
	// recalledAt is when the slot was last recalled.
	recalledAt time.Time
	// toBeLent stops the owner from starting statements on a slot that is about to be
	// lent.
	toBeLent bool
}

type pendingSlotRequest struct {
	SlotRequest
	received time.Time
}

// LenderOption sets one property of a lender.
type LenderOption func(*Lender)

// WithLease sets the length of leases, and the margin by which they end later for the
// owner than for the borrower.
func WithLease(lease, margin time.Duration) LenderOption {
	return func(l *Lender) { l.lease, l.margin = lease, margin }
}

// WithQuantum sets how long an instance keeps a slot that others wait for.
func WithQuantum(d time.Duration) LenderOption {
	return func(l *Lender) { l.quantum = d }
}

// WithMembershipSkew bounds the time between the moments at which two instances see a
// change of instances.
func WithMembershipSkew(d time.Duration) LenderOption {
	return func(l *Lender) { l.membershipSkew = d }
}

// NewLender returns a lender for an endpoint with the given number of slots.
func NewLender(e core.Endpoint, self core.Instance, slots int, options ...LenderOption) *Lender {
	l := &Lender{
		endpoint:       e,
		self:           self,
		slots:          slots,
		lease:          defaultLease,
		margin:         defaultMargin,
		quantum:        defaultQuantum,
		membershipSkew: defaultMembershipSkew,
		tags:           map[core.Instance]float64{},
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// SetInstances sets the live instances. Slots that this instance newly owns are
// quarantined until every lease granted by their former owner has ended.
func (l *Lender) SetInstances(now time.Time, instances []core.Instance) {
	l.detectPause(now)
	var owned []*ownedSlot
	for n, owner := range AssignOwners(l.endpoint, l.slots, instances) {
		if owner != l.self {
			continue
		}
		i := slices.IndexFunc(l.owned, func(s *ownedSlot) bool { return s.number == n })
		if i >= 0 {
			owned = append(owned, l.owned[i])
			continue
		}
		owned = append(owned, &ownedSlot{number: n, holder: l.self, reservedUntil: now.Add(l.quarantinePeriod()), quantumStart: now})
	}
	l.owned = owned
	l.pendingSlotRequests = slices.DeleteFunc(l.pendingSlotRequests, func(a pendingSlotRequest) bool { return !slices.Contains(instances, a.From) })
	for m := range l.tags {
		if !slices.Contains(instances, m) {
			delete(l.tags, m)
		}
	}
}

// SetUsage sets how many statements of this instance run and wait, and how many slots it
// borrows from others. It must be called before every HandleSlotRequest, HandleReturn
// and Tick.
func (l *Lender) SetUsage(running, waiting, borrowed int) {
	l.running, l.waiting, l.borrowed = running, waiting, borrowed
}

// OwnSlots returns how many of its own slots this instance may use.
func (l *Lender) OwnSlots(now time.Time) int {
	l.detectPause(now)
	n := 0
	for _, s := range l.owned {
		if s.holder == l.self && !s.toBeLent && !now.Before(s.reservedUntil) {
			n++
		}
	}
	return n
}

// HandleSlotRequest processes a slot request and returns the resulting grants; the request
// is pending if none of them answers it.
func (l *Lender) HandleSlotRequest(now time.Time, r SlotRequest) []SlotGrant {
	l.detectPause(now)
	if !l.isActive(r.From) {
		l.tags[r.From] = max(l.tags[r.From], l.virtualTime)
	}
	if s := l.slotLentTo(r); s != nil {
		if g, ok := l.renew(now, s, r); ok {
			return []SlotGrant{g}
		}
		r.Slot = NoSlot
	}
	l.pendingSlotRequests = append(l.pendingSlotRequests, pendingSlotRequest{SlotRequest: r, received: now})
	return l.Tick(now)
}

// HandleReturn ends a lease early.
func (l *Lender) HandleReturn(now time.Time, r SlotRequest) []SlotGrant {
	l.detectPause(now)
	for _, s := range l.owned {
		if s.number == r.Slot && s.holder == r.From && s.requestID == r.ID && r.From != l.self {
			l.refund(now, s)
			l.reclaim(now, s)
		}
	}
	return l.Tick(now)
}

// Tick ends expired leases and answers pending slot requests.
func (l *Lender) Tick(now time.Time) []SlotGrant {
	l.detectPause(now)
	var out []SlotGrant
	for _, s := range l.owned {
		if s.holder != l.self && !now.Before(s.reservedUntil) {
			l.reclaim(now, s)
		}
		if s.holder == l.self && !now.Before(s.reservedUntil) {
			out = append(out, l.tryLend(now, s)...)
		}
	}
	return append(out, l.expireSlotRequests(now)...)
}

// Recalls returns the recalls that are due: one in a quantum for each lent slot while the
// owner or another instance waits for a slot.
func (l *Lender) Recalls(now time.Time) []SlotRecall {
	var out []SlotRecall
	for _, s := range l.owned {
		if s.holder == l.self || !l.areOthersWaiting(s.holder) || now.Sub(s.recalledAt) < l.quantum {
			continue
		}
		s.recalledAt = now
		out = append(out, SlotRecall{ID: s.requestID, To: s.holder, Slot: s.number, Quantum: max(0, l.quantum-now.Sub(s.quantumStart))})
	}
	return out
}

// areOthersWaiting reports whether the owner or an instance other than the holder waits
// for a slot.
func (l *Lender) areOthersWaiting(holder core.Instance) bool {
	if l.waiting > 0 {
		return true
	}
	return slices.ContainsFunc(l.pendingSlotRequests, func(a pendingSlotRequest) bool { return a.From != holder })
}

// tryLend lends a free slot to the instance with the lowest tag. The owner keeps the slot
// while it needs all its slots and its own tag is no higher.
func (l *Lender) tryLend(now time.Time, s *ownedSlot) []SlotGrant {
	if len(l.pendingSlotRequests) == 0 {
		s.toBeLent = false
		return nil
	}
	next := l.nextSlotRequest()
	if !s.toBeLent && !l.shouldLend(now, s, l.tags[l.pendingSlotRequests[next].From]) {
		return nil
	}
	s.toBeLent = true
	if l.running > l.OwnSlots(now)+l.borrowed {
		return nil
	}
	a := l.pendingSlotRequests[next]
	l.pendingSlotRequests = slices.Delete(l.pendingSlotRequests, next, next+1)
	l.charge(a.From, a.Demand)
	s.holder, s.requestID, s.chargedDemand, s.toBeLent = a.From, a.ID, a.Demand, false
	s.recalledAt = time.Time{}
	s.quantumStart, s.reservedUntil = now, now.Add(l.lease+l.margin)
	return []SlotGrant{{ID: a.ID, To: a.From, Slot: s.number, Lease: now.Sub(a.received) + l.lease}}
}

// shouldLend reports whether the owner lends a slot to an instance with the tag: it does
// not need the slot, or has had it for a quantum and its own tag is higher. The owner's
// tag is charged for each quantum.
func (l *Lender) shouldLend(now time.Time, s *ownedSlot, tag float64) bool {
	if l.running+l.waiting < l.OwnSlots(now)+l.borrowed {
		return true
	}
	if now.Sub(s.quantumStart) < l.quantum {
		return false
	}
	l.charge(l.self, l.running+l.waiting)
	s.quantumStart = now
	return l.tags[l.self] > tag
}

// nextSlotRequest returns the index of the pending slot request from the instance with the
// lowest tag.
func (l *Lender) nextSlotRequest() int {
	next := 0
	for i := range l.pendingSlotRequests {
		if l.tags[l.pendingSlotRequests[i].From] < l.tags[l.pendingSlotRequests[next].From] {
			next = i
		}
	}
	return next
}

// renew extends a lease, unless others wait and the holder's quantum began more than the
// length of a lease ago, as happens after a lost recall.
func (l *Lender) renew(now time.Time, s *ownedSlot, r SlotRequest) (SlotGrant, bool) {
	if l.areOthersWaiting(r.From) && now.Sub(s.quantumStart) > l.lease {
		return SlotGrant{}, false
	}
	s.requestID, s.reservedUntil = max(s.requestID, r.ID), now.Add(l.lease+l.margin)
	return SlotGrant{ID: r.ID, To: r.From, Slot: s.number, Lease: l.lease}, true
}

// expireSlotRequests answers the slot requests that timed out with NoSlot.
func (l *Lender) expireSlotRequests(now time.Time) []SlotGrant {
	var out []SlotGrant
	l.pendingSlotRequests = slices.DeleteFunc(l.pendingSlotRequests, func(a pendingSlotRequest) bool {
		if now.Sub(a.received) < slotRequestTimeoutLeases*l.lease {
			return false
		}
		out = append(out, SlotGrant{ID: a.ID, To: a.From, Slot: NoSlot})
		return true
	})
	return out
}

func (l *Lender) slotLentTo(r SlotRequest) *ownedSlot {
	for _, s := range l.owned {
		if s.number == r.Slot && s.holder == r.From && r.From != l.self {
			return s
		}
	}
	return nil
}

func (l *Lender) reclaim(now time.Time, s *ownedSlot) {
	s.holder, s.quantumStart, s.reservedUntil, s.toBeLent = l.self, now, now, false
}

// charge adds one quantum, divided by the weight of the demand, to an instance's tag.
func (l *Lender) charge(i core.Instance, demand int) {
	l.virtualTime = max(l.virtualTime, l.tags[i])
	l.tags[i] += l.quantum.Seconds() / demandWeight(demand)
}

// refund subtracts the unused part of a quantum from the holder's tag.
func (l *Lender) refund(now time.Time, s *ownedSlot) {
	l.tags[s.holder] -= max(0, l.quantum-now.Sub(s.quantumStart)).Seconds() / demandWeight(s.chargedDemand)
}

func demandWeight(demand int) float64 { return float64(min(max(demand, 1), maxDemandWeight)) }

func (l *Lender) isActive(i core.Instance) bool {
	return slices.ContainsFunc(l.owned, func(s *ownedSlot) bool { return s.holder == i }) ||
		slices.ContainsFunc(l.pendingSlotRequests, func(a pendingSlotRequest) bool { return a.From == i })
}

func (l *Lender) quarantinePeriod() time.Duration { return l.membershipSkew + l.lease + l.margin }

// detectPause quarantines every slot after a pause, as if it were newly owned.
func (l *Lender) detectPause(now time.Time) {
	if !l.lastCall.IsZero() && now.Sub(l.lastCall) > l.membershipSkew/2 {
		for _, s := range l.owned {
			l.reclaim(now, s)
			s.reservedUntil = now.Add(l.quarantinePeriod())
		}
	}
	l.lastCall = now
}
