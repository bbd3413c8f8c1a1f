package admit

import (
	"time"

	"golang.org/x/time/rate"
)

// RetryBudget bounds retries: each first try earns a fraction of a retry, so that retries
// stay a small part of all work even if everything fails.
type RetryBudget struct {
	ratio float64
	// earned <= burst.
	earned  float64
	burst   float64
	minRate *rate.Limiter
}

// NewRetryBudget returns a budget of ratio retries for each first try, of which at most
// burst accumulate. An instance with little work may make minRate retries a second in
// addition.
func NewRetryBudget(ratio float64, burst int, minRate float64) *RetryBudget {
	return &RetryBudget{
		ratio:   ratio,
		burst:   float64(burst),
		earned:  float64(burst),
		minRate: rate.NewLimiter(rate.Limit(minRate), 1),
	}
}

// RecordTry counts a first try.
func (b *RetryBudget) RecordTry() {
	b.earned = min(b.burst, b.earned+b.ratio)
}

// AllowRetry reports whether a retry may be made and deducts it from the budget.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	if b.earned >= 1 {
		b.earned--
		return true
	}
	return b.minRate.AllowN(now, 1)
}
