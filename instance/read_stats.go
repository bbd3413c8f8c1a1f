package instance

import (
	"sync"
	"time"

	"anviltack/io/endpoint"
)

// latencyDivisor is the inverse of the weight of a read's latency in the
// exponential moving average.
const latencyDivisor = 8

// readStats holds the latency and failures of reads on one endpoint.
type readStats struct {
	mu      sync.Mutex
	latency time.Duration
	// failedAt is when a read or a sample last failed.
	failedAt time.Time
	// running holds the connections on which reads run.
	running map[*endpoint.Conn]struct{}
}

func newReadStats() *readStats {
	return &readStats{running: make(map[*endpoint.Conn]struct{})}
}

func (r *readStats) startRead(c *endpoint.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[c] = struct{}{}
}

// finishRead records that a read ended; a failure makes the endpoint suspect.
func (r *readStats) finishRead(c *endpoint.Conn, elapsed time.Duration, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, c)
	if failed {
		r.failedAt = time.Now()
		return
	}
	r.latency += (elapsed - r.latency) / latencyDivisor
}

// recordFailure records that the endpoint did not respond and interrupts the
// reads on it, so that they can be retried on another endpoint.
func (r *readStats) recordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt = time.Now()
	for c := range r.running {
		c.Interrupt()
	}
}

// latencyAndFailure returns the average latency and the time of the last
// failure.
func (r *readStats) latencyAndFailure() (time.Duration, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latency, r.failedAt
}
