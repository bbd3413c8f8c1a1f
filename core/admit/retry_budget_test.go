package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBudget checks the bounds on retries when every try fails and asks for a retry.
func TestBudget(t *testing.T) {
	is := is.New(t)
	const tries, ratio, burst, minRate = 10000, 0.1, 50, 5
	b := NewRetryBudget(ratio, burst, minRate)
	now := time.Unix(0, 0)
	retries := 0
	for range tries {
		now = now.Add(time.Millisecond)
		b.RecordTry()
		if b.AllowRetry(now) {
			retries++
		}
	}
	seconds := now.Unix()
	is.True(retries >= tries*ratio)
	is.True(retries <= tries*ratio+burst+minRate*int(seconds)+1)
	idle := NewRetryBudget(ratio, 0, minRate)
	is.True(idle.AllowRetry(now))
	is.True(!idle.AllowRetry(now))
	is.True(idle.AllowRetry(now.Add(time.Second)))
}
