package quota

import (
	"maps"
	"time"

	"anviltack/core"
)

const (
	// burstSlack is the fraction of the slack of a limit that is added to the bursts: in
	// several buckets lie fractions of a token that nobody can take.
	burstSlack = 0.4
	// startSlack is the fraction of the slack that is in the buckets at their start, so that
	// small organisations need not wait for a first token. The rest is left for restarts.
	startSlack = 0.2
	// notOwnerRetry is when to ask an instance again that is not an owner.
	notOwnerRetry = time.Second
	// maxWant bounds the tokens of one request.
	maxWant = 1 << 20
	// grantMemory is how long the last grant to an instance is remembered, for a refund.
	grantMemory = 2 * time.Second
)

// Limit is the limit of an organisation over all instances; a Rate of zero stands for
// none.
type Limit struct {
	Rate  float64
	Burst float64
}

// Request asks an owner for tokens.
type Request struct {
	Organisation core.Organisation
	Want         int
	// Returned is how many tokens of the owner's last grant will never be spent.
	Returned int
}

// Reply answers a Request.
type Reply struct {
	Granted int
	// RetryAfter is when the owner has a token again, if fewer were granted than wanted.
	RetryAfter time.Duration
}

// Ledger holds the buckets of the parts that an instance owns.
type Ledger struct {
	roster *Roster
	// slack is how many operations more than its limit an organisation may run.
	slack   float64
	buckets map[core.Organisation]*ownedBucket
	slots   map[core.Organisation]*slotCount
}

// slotCount is in how many parts an organisation's limit is divided, and was before the
// limit last changed; changedAt is zero if it never did.
type slotCount struct {
	slots, before int
	changedAt     time.Time
}

// ownedBucket is a bucket with the last grant to each instance.
type ownedBucket struct {
	bucket
	// share is the fraction of the limit that the bucket has.
	share  float64
	grants map[core.Instance]lastGrant
}

// lastGrant is the last grant to an instance.
type lastGrant struct {
	at time.Time
	n  int
}

// NewLedger returns an empty ledger.
func NewLedger(r *Roster, slack float64) *Ledger {
	return &Ledger{roster: r, slack: slack, buckets: make(map[core.Organisation]*ownedBucket), slots: make(map[core.Organisation]*slotCount)}
}

// Grant answers a request of an instance, which may be this one.
func (l *Ledger) Grant(now time.Time, from core.Instance, request Request, limit Limit) Reply {
	l.roster.Tick(now)
	b := l.bucket(now, request.Organisation, limit)
	if b == nil {
		return Reply{RetryAfter: notOwnerRetry}
	}
	if last, ok := b.grants[from]; ok {
		b.refund(now, last.at, max(0, min(request.Returned, last.n)))
	}
	delete(b.grants, from)
	want := max(0, min(request.Want, maxWant))
	reply := Reply{Granted: b.take(now, want)}
	if reply.Granted > 0 {
		b.grants[from] = lastGrant{at: now, n: reply.Granted}
	}
	if reply.Granted < want {
		reply.RetryAfter = b.retryAfter(now)
	}
	return reply
}

// bucket returns the bucket of an organisation; nil if this instance may not grant from
// any part of its limit. A part starts empty, but for the spare tokens of the first one: an
// earlier owner may have granted what it had.
func (l *Ledger) bucket(now time.Time, o core.Organisation, limit Limit) *ownedBucket {
	b := l.buckets[o]
	if limit.Rate <= 0 {
		delete(l.buckets, o)
		delete(l.slots, o)
		return nil
	}
	share := l.share(now, o, limit)
	if share == 0 {
		if b != nil {
			b.configure(now, 0, 0)
			b.share = 0
		}
		return nil
	}
	slack := l.slack * share
	rate, burst := limit.Rate*share, max(1, limit.Burst*share+burstSlack*slack)
	if b == nil {
		b = &ownedBucket{share: share, grants: make(map[core.Instance]lastGrant)}
		b.bucket = bucket{rate: rate, burst: burst, tokens: min(startSlack*slack, burst), at: l.roster.ownsSince()}
		l.buckets[o] = b
	}
	if share < b.share {
		b.refill(now)
		b.tokens *= share / b.share
	}
	b.configure(now, rate, burst)
	b.share = share
	return b
}

// share returns the fraction of a limit from which this instance may grant. After a change of
// the number of parts it is the lesser one for as long as other instances may have the
// configuration from before.
func (l *Ledger) share(now time.Time, o core.Organisation, limit Limit) float64 {
	n := l.roster.Slots(limit)
	c := l.slots[o]
	if c == nil {
		c = &slotCount{slots: n}
		l.slots[o] = c
	}
	if c.slots != n {
		c.before, c.slots, c.changedAt = c.slots, n, now
	}
	share := l.roster.Share(o, n)
	if !c.changedAt.IsZero() && now.Sub(c.changedAt) < l.roster.takeoverDelay() {
		share = min(share, l.roster.Share(o, c.before))
	}
	return share
}

// Tick forgets what is no longer needed; limits returns those in force.
func (l *Ledger) Tick(now time.Time, limits func(core.Organisation) Limit) {
	l.roster.Tick(now)
	for o, b := range l.buckets {
		if l.bucket(now, o, limits(o)) == nil && !l.roster.isOwner(o, l.roster.Slots(limits(o))) {
			delete(l.buckets, o)
		}
		maps.DeleteFunc(b.grants, func(_ core.Instance, g lastGrant) bool { return now.Sub(g.at) > grantMemory })
	}
}

// Owned is the state of a bucket.
type Owned struct {
	Organisation core.Organisation
	Rate         float64
	Burst        float64
	Tokens       float64
}

// Owned returns the state of all buckets.
func (l *Ledger) Owned(now time.Time) []Owned {
	var list []Owned
	for o, b := range l.buckets {
		b.refill(now)
		list = append(list, Owned{Organisation: o, Rate: b.rate, Burst: b.burst, Tokens: b.tokens})
	}
	return list
}
