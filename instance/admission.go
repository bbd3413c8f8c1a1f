package instance

import (
	"context"
	"slices"
	"time"

	"anviltack/core"
	"anviltack/core/admit"
	"anviltack/core/member"
	"anviltack/core/pool"
)

// maintenancePeriod is the time between two maintenance runs for every
// endpoint's slots and connections. It must stay well below the membership skew
// that slot lending assumes.
const maintenancePeriod = 50 * time.Millisecond

// applyOutput carries out the output of admission control. The lock must be
// held.
func (p *endpointPool) applyOutput(now time.Time, o admit.Output) {
	for _, a := range o.Actions {
		p.resolve(now, a)
	}
	for _, g := range o.Grants {
		p.answerSlotRequest(g)
	}
	for _, r := range o.Recalls {
		go p.sendRecall(r)
	}
	for _, m := range o.Messages {
		if m.Return {
			go p.sendReturn(m)
		} else {
			go p.sendSlotRequest(m)
		}
	}
	p.applyActions(p.connections.Maintain(now, p.sharing.Waiting()))
	if at, ok := p.sharing.NextTick(now); ok && p.timer == nil {
		p.timer = time.AfterFunc(at.Sub(now), p.tick)
	}
}

// resolve starts or rejects a waiting statement.
func (p *endpointPool) resolve(now time.Time, a admit.Action) {
	w := p.waiters[a.ID]
	if w == nil {
		return
	}
	delete(p.waiters, a.ID)
	if a.Err != nil {
		p.instance.counters.queueRefusals.Inc(1)
		w.result <- admissionResult{err: a.Err}
		return
	}
	c := w.transactionConn
	if c == nil {
		c = w.connection.conn
		p.inUse[c] = w.connection
	}
	pc := p.inUse[c]
	pc.request = a.ID
	p.connections.SetDeadline(now, pc.number, w.work, now.Add(p.responseTimeout()))
	w.result <- admissionResult{conn: c}
}

// responseTimeout returns how long a response may take before its connection is
// suspect.
func (p *endpointPool) responseTimeout() time.Duration {
	return max(minResponseTimeout, responseTimeoutFactor*p.sharing.ServiceTime())
}

func (p *endpointPool) tick() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = nil
	if !p.closed {
		p.applyOutput(now, p.sharing.Tick(now))
	}
}

// maintain handles timeouts and a change of the live instances.
func (p *endpointPool) maintain(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.updateInstances(now)
	p.applyOutput(now, p.sharing.Tick(now))
}

// updateInstances passes the live instances to sharing, and the number of
// instances that are not dead to connections, if they changed.
func (p *endpointPool) updateInstances(now time.Time) {
	var live []core.Instance
	count := 0
	for _, m := range p.instance.membership.Load().members {
		if m.State == member.StateLive {
			live = append(live, m.Instance)
		}
		if m.State != member.StateDead {
			count++
		}
	}
	if p.liveInstances == nil || !slices.Equal(live, p.liveInstances) {
		p.liveInstances = append([]core.Instance{}, live...)
		p.applyOutput(now, p.sharing.SetInstances(now, live))
	}
	if count != p.instanceCount {
		p.instanceCount = count
		p.applyActions(p.connections.SetInstances(now, count))
	}
}

// rejectWaiting rejects every statement that waits for a connection.
func (p *endpointPool) rejectWaiting(now time.Time, e *core.Error) {
	for id, w := range p.waiters {
		if w.transactionConn == nil && p.sharing.Cancel(now, id) {
			delete(p.waiters, id)
			w.result <- admissionResult{err: e}
		}
	}
}

// poolMaintainer maintains every endpoint's slots and connections periodically.
type poolMaintainer struct {
	instance *Instance
}

// Serve runs until the context ends.
func (pm *poolMaintainer) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, g := range pm.instance.View().Groups {
			for _, m := range g.State().Members {
				m.pool.maintain(time.Now())
			}
		}
		sleep(ctx, maintenancePeriod)
	}
	return ctx.Err()
}

// workKind returns the kind of work of a pipeline outside a transaction. A
// submission with a key is idempotent, so that it may leave a suspect
// connection as a read does.
func workKind(pl *pipeline) pool.Work {
	if pl.isRead() || pl.annotation.submission != "" {
		return pool.WorkRead
	}
	return pool.WorkWrite
}
