package proxy

import (
	"time"

	"anviltack/core"
)

// Freshness is what a route promises its reads.
type Freshness string

// The promises to reads.
const (
	// FreshnessNewest reads everything acknowledged before the read came.
	FreshnessNewest Freshness = "newest"
	// FreshnessBounded reads everything acknowledged Staleness before.
	FreshnessBounded Freshness = "bounded"
	// FreshnessSession reads as FreshnessBounded and the session's own writes.
	FreshnessSession Freshness = "session"
)

// Route says how the statements of a database are served.
type Route struct {
	Group     core.Group
	Freshness Freshness
	Staleness time.Duration
	// Timeout bounds one statement.
	Timeout time.Duration
	// TargetTime is how long an operation should take.
	TargetTime time.Duration
	// Priority is the lower the more important.
	Priority int
	// shortest is the shortest target of the group's routes.
	shortest time.Duration
}

// GroupSettings are what the configuration says of a group.
type GroupSettings struct {
	// MaxConnections bounds the connections to each endpoint, from all instances
	// together.
	MaxConnections int
}

// Config is one version of the configuration; it does not change.
type Config struct {
	Version uint64
	Routes  map[core.Database]Route
	Groups  map[core.Group]GroupSettings
	// TransactionIdleTimeout is how long a transaction may stay idle.
	TransactionIdleTimeout time.Duration
}

// compareTargets tells each route the shortest target of its group's routes.
func (c *Config) compareTargets() {
	shortest := make(map[core.Group]time.Duration, len(c.Groups))
	for _, r := range c.Routes {
		if s, ok := shortest[r.Group]; !ok || r.TargetTime < s {
			shortest[r.Group] = r.TargetTime
		}
	}
	for d, r := range c.Routes {
		r.shortest = shortest[r.Group]
		c.Routes[d] = r
	}
}
