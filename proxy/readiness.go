package proxy

import (
	"sync"
	"time"
)

const (
	// maxReadinessDelay is how long new sessions still arrive at the latest after the
	// instance became not ready: two failed probes of one second each.
	maxReadinessDelay = 2300 * time.Millisecond
	// failedProbesToLeave is after how many failed probes in a row the platform forwards no
	// new sessions.
	failedProbesToLeave = 2
	// probeMargin covers the sessions that were forwarded just before the answer to the last
	// of these probes.
	probeMargin = 100 * time.Millisecond
)

// probes records how the instance answered the platform's readiness probes.
type probes struct {
	mu sync.Mutex
	// failed counts the probes in a row that the instance answered as not ready, and
	// leftAt is when the last of failedProbesToLeave was answered.
	failed int
	leftAt time.Time
}

// record records the answer to a probe.
func (p *probes) record(now time.Time, ready bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ready {
		p.failed = 0
		return
	}
	p.failed++
	if p.failed == failedProbesToLeave {
		p.leftAt = now
	}
}

// haveMovedSessions reports whether new sessions are forwarded to other instances, given
// since when the instance has not been ready.
func (p *probes) haveMovedSessions(now, notReadySince time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := p.failed >= failedProbesToLeave && now.Sub(p.leftAt) >= probeMargin
	return left || now.Sub(notReadySince) >= maxReadinessDelay
}
