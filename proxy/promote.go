package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"anviltack/core"
	failover "anviltack/core/group"
	"anviltack/core/lease"
)

var (
	errLeaseHeld    = errors.New("proxy: another instance holds the promotion lease")
	errLeaseExpired = errors.New("proxy: the promotion lease expired before the promotion was requested")
	errNotPrimary   = errors.New("proxy: the endpoint did not become primary in time")
)

// leaseReadInterval is the time between reads of the promotion lease while fences are
// unresolved.
const leaseReadInterval = 100 * time.Millisecond

// resolveFences reads the group's promotion lease, so that its age is known when the next
// one is to be acquired, and to find out whether a promotion under it may still take
// effect.
func (g *groupControl) resolveFences(now time.Time) {
	if g.readingLease {
		return
	}
	g.readingLease, g.leaseReadAt = true, now
	go g.readLease(now)
}

// readLease reads the promotion lease for resolveFences; the read was requested at asOf.
func (g *groupControl) readLease(asOf time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), lease.Duration)
	defer cancel()
	stored, err := g.control.proxy.dependencies.LeaseStore.Get(ctx, string(g.group.name))
	g.control.post(context.Background(), func(now time.Time) {
		g.readingLease = false
		if err != nil {
			return
		}
		g.lease.Observe(now, stored.Revision, stored.Value)
		if g.lease.IsInactive(stored.Revision, asOf) {
			g.perform(now, g.machine.FencesResolved(now, asOf))
		}
	})
}

// heldLease is a promotion lease that this instance acquired.
type heldLease struct {
	revision core.Revision
	// token is the fencing token that revision stands for.
	token uint64
	// requestedAt is when the lease was requested; the lease ends lease.Duration later,
	// whether or not the store is restored in the meantime: nobody acquires the next one
	// sooner in a new era either.
	requestedAt time.Time
	value       lease.Value
}

// startFailover acquires the group's promotion lease and fences the endpoints under it.
// If another instance holds the lease, nothing is fenced and the failover is postponed.
func (g *groupControl) startFailover(now time.Time, term uint64, reason failover.Reason, endpoints []*endpoint) {
	p := g.control.proxy
	log := p.event(core.EventFailoverBegun).WithField("group", g.group.name).WithField("term", term).WithField("reason", reason)
	if d := g.lease.AcquireDelay(now, p.settings.Instance); d > 0 {
		log.WithField("wait_ms", d.Milliseconds()).Info("failover waits for another instance's promotion lease to expire")
		g.perform(now, g.machine.PostponeFailover(now, d))
		return
	}
	log.Warn("failover started")
	go g.acquireAndFence(term, endpoints)
}

// acquireAndFence acquires the promotion lease and fences the endpoints.
func (g *groupControl) acquireAndFence(term uint64, endpoints []*endpoint) {
	p := g.control.proxy
	l, err := g.acquireLease()
	withError(p.event(core.EventTurn).WithField("group", g.group.name).WithField("token", l.token).WithField("revision", l.revision.String()), err).Info("promotion lease requested")
	if err != nil {
		g.control.post(context.Background(), func(now time.Time) { g.perform(now, g.machine.PostponeFailover(now, acquireRetryDelay)) })
		return
	}
	g.control.post(context.Background(), func(time.Time) { g.heldLease = l })
	for _, e := range endpoints {
		go g.fence(e, term)
	}
}

// acquireRetryDelay is how long a failover is postponed after the lease could not be
// acquired.
const acquireRetryDelay = 250 * time.Millisecond

// fence fences an endpoint up to a term.
func (g *groupControl) fence(e *endpoint, term uint64) {
	role := core.RoleReplica
	if s := g.group.state.Load(); s.primary == e {
		role = core.RolePrimary
	}
	r, err := e.fence(term, role)
	if err == nil && role == core.RolePrimary && r.Fence < term {
		// A primary that stepped down may still follow one of a lower term.
		r, err = e.fence(term, core.RoleReplica)
	}
	withError(g.control.proxy.event(core.EventFailoverBegun).WithField("group", g.group.name).WithField("endpoint", e.info.Name).WithField("term", term).WithField("held", r.Fence).WithField("point", r.Last.String()), err).Info("fence requested at an endpoint")
	g.control.post(context.Background(), func(now time.Time) {
		g.perform(now, g.machine.FenceDone(now, e.info.Name, term, r.Status, err == nil && r.Fence >= term))
	})
}

// promote promotes the endpoint and reports the outcome to the machine.
func (g *groupControl) promote(e *endpoint, term uint64, l heldLease) {
	p := g.control.proxy
	log := p.event(core.EventFailover).WithField("group", g.group.name).WithField("endpoint", e.info.Name).WithField("term", term).WithField("token", l.token)
	r, err := g.promoteAndWait(e, l)
	if err != nil {
		log.WithError(err).Warn("promotion failed")
	} else {
		log.WithField("point", r.Last.String()).Info("promotion done")
		go g.releaseLease(l)
	}
	g.control.post(context.Background(), func(now time.Time) {
		g.perform(now, g.machine.PromoteDone(now, e.info.Name, term, err == nil, r.Status))
	})
}

// promoteAndWait requests the promotion, waits until the endpoint is the primary and
// returns its status.
func (g *groupControl) promoteAndWait(e *endpoint, l heldLease) (Report, error) {
	p := g.control.proxy
	remaining := lease.Remaining(p.now(), l.requestedAt)
	if remaining == 0 {
		return Report{}, errLeaseExpired
	}
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	if err := p.dependencies.Promoter.Promote(ctx, g.group.name, e.info.Name, l.token); err != nil {
		return Report{}, fmt.Errorf("proxy: could not promote %s: %w", e.info.Name, err)
	}
	for deadline := p.now().Add(promoteTimeout); p.now().Before(deadline); {
		r, _, err := e.sample(false)
		if err == nil && r.Role == core.RolePrimary {
			return r, nil
		}
		time.Sleep(promotePollInterval)
	}
	return Report{}, errNotPrimary
}

// releaseLease marks the lease as released because its promotion took effect, so that
// an instance that starts later need not wait for it to expire.
func (g *groupControl) releaseLease(l heldLease) {
	ctx, cancel := context.WithTimeout(context.Background(), lease.Duration)
	defer cancel()
	l.value.Released = true
	_, err := g.control.proxy.dependencies.LeaseStore.CompareAndSwap(ctx, string(g.group.name), l.revision, l.value.String())
	withError(g.control.proxy.event(core.EventTurn).WithField("group", g.group.name).WithField("token", l.token), err).Info("release of the promotion lease requested")
}

// acquireLease acquires the group's promotion lease.
func (g *groupControl) acquireLease() (heldLease, error) {
	p := g.control.proxy
	ctx, cancel := context.WithTimeout(context.Background(), lease.Duration)
	defer cancel()
	stored, err := p.dependencies.LeaseStore.Get(ctx, string(g.group.name))
	if err != nil {
		return heldLease{}, fmt.Errorf("proxy: could not read the promotion lease: %w", err)
	}
	delay := make(chan time.Duration, 1)
	g.control.post(ctx, func(now time.Time) {
		g.lease.Observe(now, stored.Revision, stored.Value)
		delay <- g.lease.AcquireDelay(now, p.settings.Instance)
	})
	select {
	case d := <-delay:
		if d > 0 {
			return heldLease{}, fmt.Errorf("%w: wait %v", errLeaseHeld, d)
		}
	case <-ctx.Done():
		return heldLease{}, ctx.Err()
	}
	l := heldLease{
		requestedAt: p.now(),
		value:       lease.Value{Holder: p.settings.Instance, Nonce: strconv.FormatUint(rand.Uint64(), 36), Era: stored.Revision.Era},
	}
	l.revision, err = p.dependencies.LeaseStore.CompareAndSwap(ctx, string(g.group.name), stored.Revision, l.value.String())
	if err != nil {
		l.revision, err = g.readAcquired(ctx, l.value)
	}
	if err == nil && l.revision.Number == 0 {
		err = errLeaseHeld
	}
	if err == nil {
		l.token, err = l.revision.Token()
	}
	return l, err
}

// readAcquired finds out whether a compare-and-swap that returned an error took effect,
// and returns the revision if so. A lease that is found in a later era than it was
// requested in is not used: when it was acquired is not known.
func (g *groupControl) readAcquired(ctx context.Context, value lease.Value) (core.Revision, error) {
	stored, err := g.control.proxy.dependencies.LeaseStore.Get(ctx, string(g.group.name))
	if err != nil {
		return core.Revision{}, fmt.Errorf("proxy: could not read the promotion lease after a failed change: %w", err)
	}
	if stored.Value != value.String() || stored.Revision.Era != value.Era {
		return core.Revision{}, errLeaseHeld
	}
	return stored.Revision, nil
}
