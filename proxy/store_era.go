package proxy

import (
	"context"
	"time"

	"anviltack/core"
	"anviltack/core/lease"
)

const (
	// eraValueRankDelay is the additional delay per rank among the instances that may
	// write the value that begins an era.
	eraValueRankDelay = time.Second
	// eraValueRetryInterval is the time between attempts of one instance to write it.
	eraValueRetryInterval = time.Second
)

// noteEra logs and counts a restore of the store.
func (c *control) noteEra() {
	era, known := c.proxy.dependencies.LeaseStore.Era()
	if !known || c.eraKnown && era <= c.era {
		return
	}
	if c.eraKnown {
		c.proxy.counts.storeRestores.Inc(1)
		c.proxy.event(core.EventRestored).WithField("old_era", c.era).WithField("new_era", era).Warn("the store was restored from an older copy; promotion leases wait until those of the old era have expired")
	}
	c.era, c.eraKnown = era, true
}

// followEra reads the group's promotion lease in a new era of the store, which starts the
// wait for leases of the earlier ones, and records the end of that wait.
func (g *groupControl) followEra(now time.Time) {
	if g.control.era > g.lease.Revision().Era && now.Sub(g.leaseReadAt) >= leaseReadInterval {
		g.resolveFences(now)
	}
	delay := time.Duration(g.rank) * eraValueRankDelay
	if g.lease.LacksEraValue(now.Add(-delay)) && now.Sub(g.eraValueSentAt) >= eraValueRetryInterval {
		g.eraValueSentAt = now
		go g.recordEra(g.lease.Revision())
	}
}

// recordEra writes the value that begins an era, so that an instance which starts later
// need not wait for leases of earlier eras, and reads it again.
func (g *groupControl) recordEra(revision core.Revision) {
	ctx, cancel := context.WithTimeout(context.Background(), lease.Duration)
	defer cancel()
	written, err := g.control.proxy.dependencies.LeaseStore.CompareAndSwap(ctx, string(g.group.name), revision, lease.EraValue(revision.Era).String())
	withError(g.control.proxy.event(core.EventTurn).WithField("group", g.group.name).WithField("era", revision.Era).WithField("written", written.Number > 0), err).Info("end of the promotion leases of earlier eras recorded")
	g.control.post(context.Background(), g.resolveFences)
}
