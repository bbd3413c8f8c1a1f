package proxy

import (
	"time"

	"anviltack/core"
)

// Freshness is the consistency that a route guarantees for reads.
type Freshness string

// The consistency levels of reads.
const (
	// FreshnessNewest returns everything acknowledged before the read arrived.
	FreshnessNewest Freshness = "newest"
	// FreshnessBounded returns everything acknowledged at least Staleness before the read arrived.
	FreshnessBounded Freshness = "bounded"
	// FreshnessSession is FreshnessBounded and also returns the session's own writes.
	FreshnessSession Freshness = "session"
)

// Route configures how the statements of a database are served.
type Route struct {
	Group     core.Group
	Freshness Freshness
	Staleness time.Duration
	// Timeout bounds one statement.
	Timeout time.Duration
	// TargetTime is how long an operation should take at most.
	TargetTime time.Duration
	// Priority is lower for more important routes.
	Priority int
	// Public routes serve callers without a known key too.
	Public bool
	// shortestTarget is the shortest TargetTime of all routes of the group.
	shortestTarget time.Duration
}

// GroupSettings is the configuration of a group.
type GroupSettings struct {
	// MaxConnections bounds the connections to each endpoint from all instances
	// together.
	MaxConnections int
}

// OrganisationSettings is the configuration of an organisation.
type OrganisationSettings struct {
	Keys []core.Key
	// Rate and Burst limit the operations of the organisation over all instances: in any
	// period at most Rate for each second of it and Burst more. A Rate of zero stands for no
	// limit.
	Rate  float64
	Burst float64
}

// Config is one version of the configuration. It is immutable once in force.
type Config struct {
	Version uint64
	Routes  map[core.Database]Route
	Groups  map[core.Group]GroupSettings
	// Organisations are those whose callers are served. If it is nil, callers are not
	// identified and belong to no organisation.
	Organisations map[core.Organisation]OrganisationSettings
	// keyHolders are the organisations by their keys.
	keyHolders map[core.Key]core.Organisation
	// weights are the shares of the organisations in the queues; nil without organisations.
	weights map[core.Organisation]float64
	// TransactionIdleTimeout is how long a transaction may stay idle.
	TransactionIdleTimeout time.Duration
}

// setShortestTargets sets shortestTarget of every route.
func (c *Config) setShortestTargets() {
	shortest := make(map[core.Group]time.Duration, len(c.Groups))
	for _, r := range c.Routes {
		if s, ok := shortest[r.Group]; !ok || r.TargetTime < s {
			shortest[r.Group] = r.TargetTime
		}
	}
	for d, r := range c.Routes {
		r.shortestTarget = shortest[r.Group]
		c.Routes[d] = r
	}
}
