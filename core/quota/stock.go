package quota

import (
	"math"
	"slices"
	"time"

	"anviltack/core"
)

const (
	// StockLife is how long after the request that brought it a token may be spent.
	StockLife = 300 * time.Millisecond
	// stockTime is the time for whose demand tokens are kept in stock.
	stockTime = 200 * time.Millisecond
	// maxAskInterval is the longest and minAskInterval the shortest time after which an
	// owner without enough tokens is asked again.
	maxAskInterval = 100 * time.Millisecond
	minAskInterval = 10 * time.Millisecond
	// maxClosed bounds the time for which an owner without tokens is not asked. An owner in
	// another data centre that grants less than a part in minUseful of what was wanted, or
	// of what its bucket holds, is asked half as often each time.
	maxClosed = time.Second
	minUseful = 4
	// HedgeDelay is how long an owner may take to answer before the next one is asked.
	HedgeDelay = 25 * time.Millisecond
	// demandTime is the time constant of the demand estimate.
	demandTime = 500 * time.Millisecond
)

// Token permits one operation. The zero value permits none.
type Token struct {
	owner   core.Instance
	lot     uint64
	expires time.Time
}

// IsValid reports whether the token may be spent now.
func (t Token) IsValid(now time.Time) bool { return now.Before(t.expires) }

// Ask is a request to an owner.
type Ask struct {
	Owner Owner
	Request
	// useful is how many tokens make it worth to ask the owner as often.
	useful float64
	// sentAt is when it was sent; the tokens that it brings expire StockLife later.
	sentAt time.Time
}

// lot is a number of tokens that came with one reply.
type lot struct {
	id      uint64
	owner   core.Instance
	n       int
	expires time.Time
}

// ownerState is what a holder knows about an owner.
type ownerState struct {
	// askedAt is when the owner was last asked, and pending is true until it answered.
	askedAt time.Time
	pending bool
	// closedUntil is the time until which the owner has no tokens.
	closedUntil time.Time
	// closedFor is for how long the owner was closed last.
	closedFor time.Duration
	// lastLot is the last lot that it granted, and unused the tokens of it that expired.
	lastLot uint64
	unused  int
}

// Stock holds the tokens that an instance has for an organisation's operations.
type Stock struct {
	organisation core.Organisation
	lots         []lot
	lastLot      uint64
	owners       map[core.Instance]*ownerState
	// demand is the number of operations a second at the time demandAt.
	demand   float64
	demandAt time.Time
	// waiting is the number of operations that wait for a token.
	waiting int
}

// NewStock returns an empty stock.
func NewStock(o core.Organisation) *Stock {
	return &Stock{organisation: o, owners: make(map[core.Instance]*ownerState)}
}

// Arrive records an operation that needs a token.
func (s *Stock) Arrive(now time.Time) {
	s.demand = s.Demand(now) + 1/demandTime.Seconds()
	s.demandAt = now
}

// Demand returns the estimated number of operations a second.
func (s *Stock) Demand(now time.Time) float64 {
	if s.demandAt.IsZero() {
		return 0
	}
	return s.demand * math.Exp(-now.Sub(s.demandAt).Seconds()/demandTime.Seconds())
}

// IsIdle reports whether no operation waits and no answer is awaited.
func (s *Stock) IsIdle() bool {
	for _, o := range s.owners {
		if o.pending {
			return false
		}
	}
	return s.waiting == 0
}

// Wait records that an operation waits for a token, or with -1 that it no longer does.
func (s *Stock) Wait(n int) { s.waiting += n }

// Take takes a token, the one that expires first.
func (s *Stock) Take(now time.Time) (Token, bool) {
	s.expire(now)
	if len(s.lots) == 0 {
		return Token{}, false
	}
	l := &s.lots[0]
	l.n--
	t := Token{owner: l.owner, lot: l.id, expires: l.expires}
	if l.n == 0 {
		s.lots = s.lots[1:]
	}
	return t, true
}

// Put puts a token back that was not spent.
func (s *Stock) Put(now time.Time, t Token) {
	if t.IsValid(now) {
		s.add(lot{id: t.lot, owner: t.owner, n: 1, expires: t.expires})
	}
}

// add adds a lot in the order of expiry.
func (s *Stock) add(l lot) {
	i, _ := slices.BinarySearchFunc(s.lots, l, func(a, b lot) int { return a.expires.Compare(b.expires) })
	s.lots = slices.Insert(s.lots, i, l)
}

// expire removes the tokens that may no longer be spent. Their owner can reuse them.
func (s *Stock) expire(now time.Time) {
	for len(s.lots) > 0 && !now.Before(s.lots[0].expires) {
		l := s.lots[0]
		s.lots = s.lots[1:]
		if o := s.owners[l.owner]; o != nil && o.lastLot == l.id {
			o.unused += l.n
		}
	}
}

// Held returns the number of tokens in stock.
func (s *Stock) Held(now time.Time) int {
	s.expire(now)
	n := 0
	for _, l := range s.lots {
		n += l.n
	}
	return n
}

// target returns how many tokens to keep in stock: those of the demand of stockTime, less
// its standard deviation, so that few of them expire. Of small demand each operation
// requests its own.
func (s *Stock) target(now time.Time) int {
	n := s.Demand(now) * stockTime.Seconds()
	return int(max(0, n-math.Sqrt(n)))
}

// IsLow reports whether more tokens should be requested ahead of need.
func (s *Stock) IsLow(now time.Time) bool { return 2*s.Held(now) < s.target(now) }

// want returns how many tokens to request.
func (s *Stock) want(now time.Time, limit Limit) int {
	n := max(s.waiting+s.target(now)-s.Held(now), 1)
	return min(n, int(math.Ceil(min(limit.Rate+limit.Burst, maxWant)))+1)
}

// askInterval is how long an owner that had too few tokens is not asked, so that its
// bucket does not overflow meanwhile.
func askInterval(limit Limit) time.Duration {
	return max(minAskInterval, min(maxAskInterval, time.Duration(limit.Burst/limit.Rate/2*float64(time.Second))))
}

// Next returns the request to send now, if there is one. Of the owners, in order of
// preference, it asks the first that may have tokens, and none while that one may still
// answer.
func (s *Stock) Next(now time.Time, owners []Owner, isUsable func(core.Instance) bool, limit Limit) (Ask, bool) {
	for _, owner := range owners {
		o := s.owners[owner.Name]
		if o == nil {
			o = &ownerState{}
			s.owners[owner.Name] = o
		}
		if o.pending && now.Sub(o.askedAt) < HedgeDelay {
			return Ask{}, false
		}
		if o.pending || now.Before(o.closedUntil) || !isUsable(owner.Name) {
			continue
		}
		a := Ask{Owner: owner, Request: Request{Organisation: s.organisation, Want: s.want(now, limit), Returned: o.unused}, sentAt: now}
		a.useful = min(float64(a.Want), limit.Burst/float64(len(owners))) / minUseful
		o.pending, o.askedAt, o.unused = true, now, 0
		return a, true
	}
	return Ask{}, false
}

// Pending returns how long to wait for an answer before Next may have another request;
// false if no owner was asked within HedgeDelay.
func (s *Stock) Pending(now time.Time) (time.Duration, bool) {
	wait, found := time.Duration(0), false
	for _, o := range s.owners {
		left := o.askedAt.Add(HedgeDelay).Sub(now)
		if o.pending && left > 0 && (!found || left < wait) {
			wait, found = left, true
		}
	}
	return wait, found
}

// Answer applies the answer to a request.
func (s *Stock) Answer(now time.Time, a Ask, r Reply, limit Limit) {
	o := s.owners[a.Owner.Name]
	o.pending = false
	if r.Granted > 0 {
		s.lastLot++
		o.lastLot, o.unused = s.lastLot, 0
		s.add(lot{id: s.lastLot, owner: a.Owner.Name, n: r.Granted, expires: a.sentAt.Add(StockLife)})
	}
	if r.Granted >= a.Want {
		return
	}
	interval := askInterval(limit)
	if !a.Owner.IsNear && float64(r.Granted) < a.useful {
		interval = max(interval, 2*o.closedFor)
	}
	o.closedFor = min(maxClosed, max(r.RetryAfter, interval))
	o.closedUntil = now.Add(o.closedFor)
}

// Fail records that a request got no answer.
func (s *Stock) Fail(a Ask) { s.owners[a.Owner.Name].pending = false }

// RetryAfter returns when the first of the owners that are usable has a token again; false
// if none of them is known to have none.
func (s *Stock) RetryAfter(now time.Time, owners []Owner, isUsable func(core.Instance) bool) (time.Duration, bool) {
	first, found := time.Duration(0), false
	for _, owner := range owners {
		o := s.owners[owner.Name]
		if o == nil || !now.Before(o.closedUntil) || !isUsable(owner.Name) {
			continue
		}
		if d := o.closedUntil.Sub(now); !found || d < first {
			first, found = d, true
		}
	}
	return first, found
}
