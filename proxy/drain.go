package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"anviltack/core"
)

const (
	// exitMargin is how long before the kill the process exits by itself.
	exitMargin = 700 * time.Millisecond
	// drainPollInterval is the time between two checks of the sessions during a stop.
	drainPollInterval = 50 * time.Millisecond
	// giveUpTimeout bounds how long the last answers may take to be sent.
	giveUpTimeout = 200 * time.Millisecond
)

// drainer runs a planned stop.
type drainer struct {
	proxy    *Proxy
	draining atomic.Bool
	// noTransactions is true once half of the grace period is over: no transaction may
	// begin.
	noTransactions atomic.Bool
}

func newDrainer(p *Proxy) *drainer { return &drainer{proxy: p} }

func (d *drainer) isDraining() bool          { return d.draining.Load() }
func (d *drainer) refusesTransactions() bool { return d.noTransactions.Load() }

// run waits for the stop and carries it out: idle sessions end, statements that were
// read are answered, the last ones with an unknown outcome, and transactions get half of the
// grace period.
func (d *drainer) run(ctx context.Context, stop <-chan struct{}, end func()) {
	select {
	case <-stop:
	case <-ctx.Done():
		return
	}
	p := d.proxy
	d.draining.Store(true)
	p.event(core.EventDraining).WithField("sessions", p.sessionCount()).Info("drain started; not ready for new sessions")
	go p.announceLeaving(ctx)
	startedAt := time.Now()
	notReadySince := p.now()
	transactionAge, exitAge := p.settings.GracePeriod/2, p.settings.GracePeriod-exitMargin
	for {
		age := time.Since(startedAt)
		if age >= transactionAge {
			d.noTransactions.Store(true)
		}
		moved := p.probes.haveMovedSessions(p.now(), notReadySince)
		if moved {
			p.endSessions(age >= transactionAge, anySession)
		}
		if moved && p.callers.Load() == 0 || age >= exitAge {
			break
		}
		time.Sleep(drainPollInterval)
	}
	p.event(core.EventDraining).WithField("sessions", p.sessionCount()).Info("drain ended")
	p.giveUpStatements()
	p.logTraffic()
	end()
}

// giveUpStatements answers the statements that still run when the process has to exit.
func (p *Proxy) giveUpStatements() {
	var running sync.WaitGroup
	p.mu.Lock()
	for s := range p.sessions {
		running.Go(s.giveUp)
	}
	p.mu.Unlock()
	done := make(chan struct{})
	go func() {
		running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(giveUpTimeout):
	}
}

// announceLeaving tells the other instances that this one is no home instance any more.
func (p *Proxy) announceLeaving(ctx context.Context) {
	if err := p.dependencies.Membership.Leave(ctx); err != nil && ctx.Err() == nil {
		p.event(core.EventDraining).WithError(err).Info("could not announce the planned stop")
	}
}

// endIdleWhileIsolated ends idle sessions once new ones no longer arrive here, so that
// their callers connect to an instance that can serve them.
func (p *Proxy) endIdleWhileIsolated() {
	for since := p.now(); !p.probes.haveMovedSessions(p.now(), since); {
		time.Sleep(drainPollInterval)
		if !p.isolated.Load() || p.drainer.isDraining() {
			return
		}
	}
	p.endSessions(false, anySession)
}

func anySession(*session) bool { return true }

// endSessions ends the chosen sessions that are idle, and others after their transaction or, if
// inTransactions is set, after their statement.
func (p *Proxy) endSessions(inTransactions bool, isChosen func(*session) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		if isChosen(s) {
			s.stop(inTransactions)
		}
	}
}

// stop ends the session between two statements. An open transaction goes on until its end
// unless inTransaction is set.
func (s *session) stop(inTransaction bool) {
	if s.relay != nil {
		s.relay.Stop(inTransaction)
		return
	}
	s.stopping.Store(true)
	if s.inTransaction.Load() && !inTransaction {
		return
	}
	s.interrupted.Store(true)
	s.caller.Interrupt()
}

// sessionCount returns how many sessions are open.
func (p *Proxy) sessionCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}
