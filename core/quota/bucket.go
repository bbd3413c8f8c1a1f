package quota

import (
	"math"
	"time"
)

// roundingError bounds the error of a bucket's level in tokens.
const roundingError = 1e-6

// bucket is a token bucket.
type bucket struct {
	rate  float64
	burst float64
	// tokens is the level at the time at; it is between zero and burst.
	tokens float64
	at     time.Time
}

// refill adds the tokens of the time that has passed.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
		b.at = now
	}
}

// configure changes the rate and the burst from now on; tokens above the burst are lost.
func (b *bucket) configure(now time.Time, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// take takes up to n whole tokens and returns how many.
func (b *bucket) take(now time.Time, n int) int {
	b.refill(now)
	taken := min(n, int(b.tokens+roundingError))
	b.tokens = max(0, b.tokens-float64(taken))
	return taken
}

// refund puts back n tokens that were taken at a time and will never be spent. The level
// stays at or below what it would be had they not been taken: that bucket may have lost
// as much as was added since.
func (b *bucket) refund(now, takenAt time.Time, n int) {
	b.refill(now)
	b.tokens = min(b.burst, b.tokens+max(0, float64(n)-b.rate*now.Sub(takenAt).Seconds()))
}

// retryAfter returns when there is a whole token.
func (b *bucket) retryAfter(now time.Time) time.Duration {
	b.refill(now)
	if b.tokens+roundingError >= 1 || b.rate <= 0 {
		return 0
	}
	return time.Duration(math.Ceil((1 - b.tokens) / b.rate * float64(time.Second)))
}
