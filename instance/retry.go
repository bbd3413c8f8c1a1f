package instance

import (
	"sync"
	"time"

	"anviltack/core/admit"
)

const (
	// retryRatio is how many retries each statement earns.
	retryRatio = 0.1
	// retryBurst is how many retries are saved up at most; it covers what runs at
	// once when one endpoint fails.
	retryBurst = 100
	// retryFloor is how many retries a second an instance with little work has.
	retryFloor = 10
)

// retries bounds what is sent again, over all sessions.
type retries struct {
	mu     sync.Mutex
	budget *admit.RetryBudget
}

func newRetries() *retries {
	return &retries{budget: admit.NewRetryBudget(retryRatio, retryBurst, retryFloor)}
}

// try counts a statement.
func (r *retries) try() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.RecordTry()
}

// take reports whether work may be sent again, and counts it.
func (r *retries) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.AllowRetry(time.Now())
}
