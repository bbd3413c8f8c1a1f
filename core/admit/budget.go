package admit

import (
	"time"

	"golang.org/x/time/rate"
)

// Budget bounds retries: each first try earns a part of a retry, so that
// retries stay a small share of all work while everything fails.
type Budget struct {
	ratio float64
	// earned <= burst.
	earned float64
	burst  float64
	floor  *rate.Limiter
}

// NewBudget returns a budget of ratio retries for each first try, at most burst
// saved up, and beside it floor retries a second for an instance with little work.
func NewBudget(ratio float64, burst int, floor float64) *Budget {
	return &Budget{
		ratio:  ratio,
		burst:  float64(burst),
		earned: float64(burst),
		floor:  rate.NewLimiter(rate.Limit(floor), 1),
	}
}

// Try counts a first try.
func (b *Budget) Try() {
	b.earned = min(b.burst, b.earned+b.ratio)
}

// Retry reports whether a retry may be made and takes it from the budget.
func (b *Budget) Retry(now time.Time) bool {
	if b.earned >= 1 {
		b.earned--
		return true
	}
	return b.floor.AllowN(now, 1)
}
