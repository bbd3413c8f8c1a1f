package instance

import (
	"sync"
	"time"

	"anviltack/core/admit"
)

const (
	// retryRatio is how many retries each statement adds to the budget.
	retryRatio = 0.1
	// retryBurst is the maximum number of retries in the budget; it covers the
	// statements that run at once when one endpoint fails.
	retryBurst = 100
	// minRetriesPerSecond is how many retries a second are allowed under little
	// load.
	minRetriesPerSecond = 10
)

// retryBudget limits retries over all sessions.
type retryBudget struct {
	mu     sync.Mutex
	budget *admit.RetryBudget
}

func newRetryBudget() *retryBudget {
	return &retryBudget{budget: admit.NewRetryBudget(retryRatio, retryBurst, minRetriesPerSecond)}
}

// recordStatement adds a statement's share of retries to the budget.
func (r *retryBudget) recordStatement() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.RecordTry()
}

// allowRetry reports whether a statement may be retried, and if so deducts the
// retry from the budget.
func (r *retryBudget) allowRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.AllowRetry(time.Now())
}
