package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"anviltack/core"
)

const (
	// leaveAfter is how long new sessions still come after a stop began: two
	// missed probes of one second each.
	leaveAfter = 2300 * time.Millisecond
	// lastMargin is how long before the kill the process ends by itself.
	lastMargin = 700 * time.Millisecond
	// drainLook separates looks at the sessions during a stop.
	drainLook = 50 * time.Millisecond
)

// drainer runs a planned stop.
type drainer struct {
	proxy    *Proxy
	draining atomic.Bool
	// past tells that half of the grace period is over: no transaction begins.
	past atomic.Bool
}

func newDrainer(p *Proxy) *drainer { return &drainer{proxy: p} }

func (d *drainer) isDraining() bool         { return d.draining.Load() }
func (d *drainer) isPastTransactions() bool { return d.past.Load() }

// run waits for the stop and carries it out: idle sessions end, statements that
// were read are answered, transactions have half of the grace period.
func (d *drainer) run(ctx context.Context, stop <-chan struct{}, end func()) {
	select {
	case <-stop:
	case <-ctx.Done():
		return
	}
	p := d.proxy
	d.draining.Store(true)
	p.event(core.EventDraining).WithField("sessions", p.count()).Info("stop begins; no new sessions are wanted")
	begun := time.Now()
	half, last := p.settings.Grace/2, p.settings.Grace-lastMargin
	for {
		age := time.Since(begun)
		if age >= half {
			d.past.Store(true)
		}
		if age >= leaveAfter {
			p.endSessions(age >= half)
		}
		if age >= leaveAfter && p.count() == 0 || age >= last {
			break
		}
		time.Sleep(drainLook)
	}
	p.event(core.EventDraining).WithField("sessions", p.count()).Info("stop ends")
	end()
}

// moveCallers ends idle sessions once new ones no longer come here, so that their
// callers reach an instance that can serve them.
func (p *Proxy) moveCallers() {
	time.Sleep(leaveAfter)
	if p.isolated.Load() && !p.drainer.isDraining() {
		p.endSessions(false)
	}
}

// endSessions ends idle sessions, and those in a transaction if all is set.
func (p *Proxy) endSessions(all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		s.stop(all)
	}
}

// stop ends the session between two statements, inside a transaction only if all is
// set.
func (s *session) stop(all bool) {
	if s.relay != nil {
		s.relay.Stop(all)
		return
	}
	if s.inTransaction.Load() && !all {
		return
	}
	s.stopping.Store(true)
	s.caller.Interrupt()
}

// count returns how many sessions are open.
func (p *Proxy) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}
