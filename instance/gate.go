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

// keeperPeriod is the time between two looks at every endpoint's slots and
// connections; it is well below the spread that lending assumes.
const keeperPeriod = 50 * time.Millisecond

// apply carries out what followed from an event; the lock is held.
func (l *links) apply(now time.Time, o admit.Output) {
	for _, a := range o.Actions {
		l.answer(now, a)
	}
	for _, g := range o.Grants {
		l.grant(g)
	}
	for _, r := range o.Recalls {
		go l.sendRecall(r)
	}
	for _, m := range o.Messages {
		if m.Return {
			go l.sendReturn(m)
		} else {
			go l.sendAsk(m)
		}
	}
	l.perform(l.connections.Maintain(now, l.sharing.Waiting()))
	if at, ok := l.sharing.NextTick(now); ok && l.timer == nil {
		l.timer = time.AfterFunc(at.Sub(now), l.tick)
	}
}

// answer tells a waiting statement that it starts or is refused.
func (l *links) answer(now time.Time, a admit.Action) {
	w := l.waiters[a.ID]
	if w == nil {
		return
	}
	delete(l.waiters, a.ID)
	if a.Err != nil {
		l.instance.counters.queueRefusals.Inc(1)
		w.verdict <- verdict{err: a.Err}
		return
	}
	c := w.held
	if c == nil {
		c = w.link.conn
		l.uses[c] = w.link
	}
	u := l.uses[c]
	u.request = a.ID
	l.connections.SetDeadline(now, u.number, w.work, now.Add(l.patience()))
	w.verdict <- verdict{conn: c}
}

// patience is how long an answer may take before its connection is doubted.
func (l *links) patience() time.Duration {
	return max(doubtAfter, doubtFactor*l.sharing.ServiceTime())
}

func (l *links) tick() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = nil
	if !l.closed {
		l.apply(now, l.sharing.Tick(now))
	}
}

// keep lets time act and takes in a change of the live instances.
func (l *links) keep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.enlist(now)
	l.apply(now, l.sharing.Tick(now))
}

// enlist tells sharing and connections of the live instances when they changed.
func (l *links) enlist(now time.Time) {
	var live []core.Instance
	count := 0
	for _, m := range l.instance.membership.Load().members {
		if m.State == member.StateLive {
			live = append(live, m.Instance)
		}
		if m.State != member.StateDead {
			count++
		}
	}
	if l.members == nil || !slices.Equal(live, l.members) {
		l.members = append([]core.Instance{}, live...)
		l.apply(now, l.sharing.SetMembers(now, live))
	}
	if count != l.count {
		l.count = count
		l.perform(l.connections.SetInstances(now, count))
	}
}

// refuseWaiting refuses every statement that waits for a connection.
func (l *links) refuseWaiting(now time.Time, e *core.Error) {
	for id, w := range l.waiters {
		if w.held == nil && l.sharing.Cancel(now, id) {
			delete(l.waiters, id)
			w.verdict <- verdict{err: e}
		}
	}
}

// keeper looks at every endpoint's slots and connections from time to time.
type keeper struct {
	instance *Instance
}

// Serve looks until the context ends.
func (k *keeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, g := range k.instance.View().Groups {
			for _, m := range g.State().Members {
				m.connections.keep(time.Now())
			}
		}
		sleep(ctx, keeperPeriod)
	}
	return ctx.Err()
}

// workOf returns what kind of work a unit outside a transaction is. A submission
// with a key is idempotent, so that it may leave a doubted connection as a read
// does.
func workOf(u *unit) pool.Work {
	if u.isRead() || u.annotation.submission != "" {
		return pool.WorkRead
	}
	return pool.WorkWrite
}
