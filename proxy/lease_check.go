package proxy

import (
	"context"
	"time"

	"anviltack/core"
	"anviltack/core/mark"
)

const (
	// leaseCheckInterval is the time between lease checks for a primary whose replicas do
	// not answer. Bounded reads need a check within their staleness bound.
	leaseCheckInterval = 600 * time.Millisecond
	// demandedLeaseCheckInterval is the time between them while a statement waits for one.
	demandedLeaseCheckInterval = 50 * time.Millisecond
)

// confirmWithoutQuorum starts a lease check while the voters are known and the primary's
// replicas do not answer. A promotion requires the promotion lease, so an idle lease proves
// that the primary has not been replaced. Reads continue at the primary; writes do not, since
// no majority would hold them.
func (g *groupControl) confirmWithoutQuorum(now time.Time) {
	if g.checkingLease || !g.voters.set.IsKnown() || !g.machine.IsPrimaryWithoutQuorum() || !g.control.proxy.dependencies.LeaseStore.IsHealthy() {
		return
	}
	elapsed := now.Sub(g.leaseCheckedAt)
	if elapsed < demandedLeaseCheckInterval || elapsed < leaseCheckInterval && !g.machine.IsAsOfDemanded() {
		return
	}
	term, primary := g.machine.Primary()
	g.checkingLease, g.leaseCheckedAt = true, now
	go g.checkLease(now, term, g.endpoints[primary])
}

// checkLease reads the group's promotion lease and then the end of the primary's log,
// which contains everything acknowledged before the lease was read.
func (g *groupControl) checkLease(asOf time.Time, term uint64, e *endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	stored, err := g.control.proxy.dependencies.LeaseStore.Get(ctx, string(g.group.name))
	var point core.Point
	var upSince time.Time
	if err == nil {
		_, upSince, err = e.request(false, func(c *Conn) (Report, error) {
			var err error
			point, err = c.CheckPrimary(sampleTimeout)
			return Report{}, err
		})
	}
	g.control.post(context.Background(), func(now time.Time) {
		g.checkingLease = false
		if err != nil {
			return
		}
		g.lease.Observe(now, stored.Revision, stored.Value)
		if !g.lease.IsIdleSince(stored.Revision, g.machine.Confirmed().AsOf) {
			return
		}
		g.machine.SetUpSince(e.info.Name, upSince)
		g.tracker.History().Add(mark.GroupSample{At: asOf, Point: point})
		g.perform(now, g.machine.PrimaryUnreplaced(now, term, asOf))
	})
}
