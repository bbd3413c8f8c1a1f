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
package lease

import (
	"strings"
	"time"
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

// releasedSuffix ends the value of a lease that its holder released.
const releasedSuffix = " over"

// Released returns the value that replaces value once the holder's promotion has
// taken effect.
func Released(value string) string { return value + releasedSuffix }

// Lease is the last state of a group's promotion lease that this instance read.
type Lease struct {
	revision uint64
	holder   string
	// released is true if no promotion under the lease can still take effect.
	released bool
	// observedAt is when the revision was first read.
	observedAt time.Time
	observed   bool
}

// Observe records a read that was answered at now. The value begins with the holder's
// name; revision zero means that the lease was never acquired.
func (l *Lease) Observe(now time.Time, revision uint64, value string) {
	if l.observed && revision <= l.revision {
		return
	}
	l.holder, _, _ = strings.Cut(value, " ")
	l.released = strings.HasSuffix(value, releasedSuffix)
	l.revision, l.observedAt, l.observed = revision, now, true
}

// AcquireDelay returns how long self must wait before it may acquire the lease. There
// is no delay if self was the last holder, or an earlier process of the same name,
// whose lease has ended. A release by another holder does not shorten the delay: the
// effect of its promotion must become visible first.
func (l *Lease) AcquireDelay(now time.Time, self string) time.Duration {
	if !l.observed {
		return ExpireAfter
	}
	if l.revision == 0 || l.holder == self {
		return 0
	}
	return max(0, ExpireAfter-now.Sub(l.observedAt))
}

// IsInactive reports whether a read that was requested at asOf and returned revision
// shows that no promotion under a lease acquired by then can still take effect.
func (l *Lease) IsInactive(revision uint64, asOf time.Time) bool {
	if !l.observed || revision != l.revision {
		return false
	}
	return revision == 0 || l.released || !asOf.Before(l.observedAt.Add(ExpireAfter))
}

// Revision returns the revision that the next compare-and-swap must replace.
func (l *Lease) Revision() uint64 { return l.revision }

// Remaining returns how much is left at now of a lease requested at requestedAt.
func Remaining(now, requestedAt time.Time) time.Duration {
	return max(0, Duration-now.Sub(requestedAt))
}

// IsIdleSince reports whether a read of the value that returned revision shows that no
// instance acquired the lease since asOf and none acted under an earlier one after
// asOf: the value had been unchanged for ExpireAfter at asOf.
func (l *Lease) IsIdleSince(revision uint64, asOf time.Time) bool {
	return l.observed && revision == l.revision && !asOf.Before(l.observedAt.Add(ExpireAfter))
}
