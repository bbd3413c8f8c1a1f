package instance

import (
	"sync"
	"time"

	"anviltack/io/endpoint"
)

// latencyShare is the weight, one part in so many, of a new answer in the
// average latency.
const latencyShare = 8

// load is what traffic goroutines know of the reads on one endpoint.
type load struct {
	mu      sync.Mutex
	latency time.Duration
	// failed is when a read or a sample last failed.
	failed time.Time
	// reads are the connections on which reads run.
	reads map[*endpoint.Conn]struct{}
}

func newLoad() *load {
	return &load{reads: make(map[*endpoint.Conn]struct{})}
}

func (l *load) begin(c *endpoint.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads[c] = struct{}{}
}

// end notes that a read is over; after a failure the endpoint is doubted.
func (l *load) end(c *endpoint.Conn, took time.Duration, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reads, c)
	if failed {
		l.failed = time.Now()
		return
	}
	l.latency += (took - l.latency) / latencyShare
}

// fail notes that the endpoint did not answer and lets the reads on it go
// elsewhere.
func (l *load) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = time.Now()
	for c := range l.reads {
		c.Interrupt()
	}
}

// recent returns the average latency and the time of the last failure.
func (l *load) recent() (time.Duration, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latency, l.failed
}
