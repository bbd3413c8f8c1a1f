package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"anviltack/core"
)

var epoch = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// rev returns a revision of a store that was never restored.
func rev(number uint64) core.Revision { return core.Revision{Number: number} }

// TestLeasesDoNotOverlap checks that an instance cannot acquire the lease while the
// previous holder may still promote or its promotion may still take effect.
func TestLeasesDoNotOverlap(t *testing.T) {
	is := is.New(t)
	var l Lease
	is.Equal(l.AcquireDelay(at(0), "a"), ExpireAfter) // nothing was read yet
	l.Observe(at(0), rev(0), "")
	is.Equal(l.AcquireDelay(at(0), "a"), time.Duration(0)) // the lease was never acquired
	l.Observe(at(time.Second), rev(7), "b")
	is.Equal(l.AcquireDelay(at(time.Second), "a"), ExpireAfter)
	is.Equal(l.AcquireDelay(at(2*time.Second), "a"), ExpireAfter-time.Second)
	is.Equal(l.AcquireDelay(at(time.Second+ExpireAfter), "a"), time.Duration(0))
	is.Equal(l.AcquireDelay(at(time.Second), "b"), time.Duration(0)) // an earlier process of that name is gone
	is.Equal(l.Revision(), rev(7))
}

// TestSeenAgainKeepsItsAge checks that neither a second read of the same lease nor a
// late read of an older one restarts the expiry.
func TestSeenAgainKeepsItsAge(t *testing.T) {
	is := is.New(t)
	var l Lease
	l.Observe(at(0), rev(7), "b")
	l.Observe(at(ExpireAfter), rev(7), "b")
	l.Observe(at(ExpireAfter), rev(6), "c")
	is.Equal(l.AcquireDelay(at(ExpireAfter), "a"), time.Duration(0))
}

// TestPromotionEndsBeforeNextLease checks that a promotion called at the end of a lease
// has time to take effect before another instance may acquire the next one.
func TestPromotionEndsBeforeNextLease(t *testing.T) {
	is := is.New(t)
	is.Equal(Remaining(at(0), at(0)), Duration)
	is.Equal(Remaining(at(Duration), at(0)), time.Duration(0))
	is.Equal(Remaining(at(2*Duration), at(0)), time.Duration(0))
	is.True(ExpireAfter >= Duration+time.Second)
}

// TestIsIdleSince accepts an unchanged revision only if the promotion under its lease
// had taken effect before the time asked about.
func TestIsIdleSince(t *testing.T) {
	is := is.New(t)
	var l Lease
	is.True(!l.IsIdleSince(rev(0), at(time.Hour))) // nothing was read yet
	l.Observe(at(0), rev(7), "b")
	is.True(!l.IsIdleSince(rev(7), at(ExpireAfter-1)))
	is.True(l.IsIdleSince(rev(7), at(ExpireAfter)))
	is.True(!l.IsIdleSince(rev(8), at(ExpireAfter))) // another instance acquired the lease
}

// TestNextTurnComesAfterTheLastAct checks that an instance which first read a lease at
// any time after the request for it acquires the next one only once the first has ended
// and its promotion has taken effect.
func TestNextTurnComesAfterTheLastAct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		observedAt := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "heard"))
		readAgainAt := observedAt + time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "looked"))
		var l Lease
		l.Observe(at(observedAt), rev(7), "b")
		l.Observe(at(readAgainAt), rev(7), "b")
		next := at(readAgainAt).Add(l.AcquireDelay(at(readAgainAt), "a"))
		if next.Before(at(ExpireAfter)) || Remaining(next, at(0)) > 0 {
			t.Fatalf("the next lease began at %v", next.Sub(at(0)))
		}
	})
}

// TestIsInactive excludes a pending promotion only if the lease was never acquired, was
// released, or has been unchanged for ExpireAfter.
func TestIsInactive(t *testing.T) {
	is := is.New(t)
	var l Lease
	is.True(!l.IsInactive(rev(0), at(time.Hour))) // nothing was read yet
	l.Observe(at(0), rev(0), "")
	is.True(l.IsInactive(rev(0), at(0)))
	l.Observe(at(0), rev(7), "b 1")
	is.True(!l.IsInactive(rev(7), at(ExpireAfter-1)))
	is.True(l.IsInactive(rev(7), at(ExpireAfter)))
	is.True(!l.IsInactive(rev(8), at(ExpireAfter))) // a lease that was not read before
	l.Observe(at(ExpireAfter), rev(8), Value{Holder: "b", Nonce: "1", Released: true}.String())
	is.True(l.IsInactive(rev(8), at(ExpireAfter)))
	is.Equal(l.AcquireDelay(at(ExpireAfter), "a"), ExpireAfter) // the effect of the promotion must become visible first
	l.Observe(at(ExpireAfter), rev(9), "a 2")
	is.True(!l.IsInactive(rev(9), at(ExpireAfter)))
}
