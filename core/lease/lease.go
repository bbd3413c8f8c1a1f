// Package lease decides when an instance holds the promotion lease of a group: the
// right to fence endpoints and promote one of them once, under a fencing token that
// rises from one lease to the next.
//
// An instance acquires the lease by a compare-and-swap of one value in a store; the
// revision of that change is the fencing token. The holder acts within Duration of
// sending the request for the change, and nobody acquires the next lease before the
// value has been unchanged for ExpireAfter. Promotions therefore happen in the order
// of their tokens, even if answers of the store are lost or late, and each has taken
// effect and is visible to the other instances before the next lease begins.
//
// A store that is restored from an older copy forgets leases and gives out their
// revisions again. Revisions therefore carry the store's era, which makes tokens rise
// over a restore, and the wait of ExpireAfter starts again with the first read in a new
// era. Each value carries the era in which it was written, so a value that the copy
// brought back, or that a request of an earlier era wrote late, shortens no wait. Once
// the wait is over, an instance records that with a value of the new era.
package lease

import (
	"time"

	"anviltack/core"
)

const (
	// Duration is how long a lease lasts, counted from sending the request for it.
	// It covers a slow answer of the store, fencing and the promotion call.
	Duration = 1500 * time.Millisecond
	// ExpireAfter is how long the value must be unchanged before another instance
	// acquires the lease: Duration, and a second in which a promotion that was
	// called at the end of the lease takes effect.
	ExpireAfter = Duration + time.Second
)

// Lease is the last state of a group's promotion lease that this instance read.
type Lease struct {
	// revision never decreases.
	revision core.Revision
	value    Value
	// observedAt is when the revision was first read.
	observedAt time.Time
	observed   bool
}

// Observe records a read that was answered at now; a revision with the number zero means
// that the key does not exist.
func (l *Lease) Observe(now time.Time, revision core.Revision, text string) {
	if l.observed && revision.Compare(l.revision) <= 0 {
		return
	}
	l.value = ParseValue(text)
	l.revision, l.observedAt, l.observed = revision, now, true
}

// isOfEra reports whether the value was written in the era in which it was read. In any
// other value nothing is known about the leases of the earlier eras.
func (l *Lease) isOfEra() bool {
	if l.revision.Number == 0 {
		return l.revision.Era == 0
	}
	return l.value.Era == l.revision.Era
}

// isUnheld reports whether the lease was not acquired in this era, nor in an earlier one
// without having expired.
func (l *Lease) isUnheld() bool {
	return l.isOfEra() && (l.revision.Number == 0 || l.value.Holder == "" && l.value.Released)
}

// AcquireDelay returns how long self must wait before it may acquire the lease. There
// is no delay if self was the last holder, or an earlier process of the same name,
// whose lease has ended. A release by another holder does not shorten the delay: the
// effect of its promotion must become visible first. In a new era every instance waits
// until the leases of the earlier era, which the store may have lost, have expired.
func (l *Lease) AcquireDelay(now time.Time, self string) time.Duration {
	if !l.observed {
		return ExpireAfter
	}
	if l.isUnheld() || l.isOfEra() && l.value.Holder == self {
		return 0
	}
	return max(0, ExpireAfter-now.Sub(l.observedAt))
}

// IsInactive reports whether a read that was requested at asOf and returned revision
// shows that no promotion under a lease acquired by then can still take effect.
func (l *Lease) IsInactive(revision core.Revision, asOf time.Time) bool {
	if !l.observed || revision != l.revision {
		return false
	}
	return l.isUnheld() || l.isOfEra() && l.value.Released || !asOf.Before(l.observedAt.Add(ExpireAfter))
}

// LacksEraValue reports whether the leases of the earlier eras have expired at now and
// nobody has recorded it yet.
func (l *Lease) LacksEraValue(now time.Time) bool {
	return l.observed && !l.isOfEra() && now.Sub(l.observedAt) >= ExpireAfter
}

// Revision returns the revision that the next compare-and-swap must replace.
func (l *Lease) Revision() core.Revision { return l.revision }

// Remaining returns how much is left at now of a lease requested at requestedAt.
func Remaining(now, requestedAt time.Time) time.Duration {
	return max(0, Duration-now.Sub(requestedAt))
}

// IsIdleSince reports whether a read of the value that returned revision shows that no
// instance acquired the lease since asOf and none acted under an earlier one after
// asOf: the value had been unchanged for ExpireAfter at asOf.
func (l *Lease) IsIdleSince(revision core.Revision, asOf time.Time) bool {
	return l.observed && revision == l.revision && !asOf.Before(l.observedAt.Add(ExpireAfter))
}
