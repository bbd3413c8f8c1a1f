package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBudget makes every try fail and asks for a retry each time.
func TestBudget(t *testing.T) {
	is := is.New(t)
	const tries, ratio, burst, floor = 10000, 0.1, 50, 5
	b := NewBudget(ratio, burst, floor)
	now := time.Unix(0, 0)
	retries := 0
	for range tries {
		now = now.Add(time.Millisecond)
		b.Try()
		if b.Retry(now) {
			retries++
		}
	}
	seconds := now.Unix()
	is.True(retries >= tries*ratio)
	is.True(retries <= tries*ratio+burst+floor*int(seconds)+1)
	idle := NewBudget(ratio, 0, floor)
	is.True(idle.Retry(now))
	is.True(!idle.Retry(now))
	is.True(idle.Retry(now.Add(time.Second)))
}
