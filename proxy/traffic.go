package proxy

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"anviltack/core"
)

// TrafficKind names what bytes are exchanged with or for.
type TrafficKind string

// The kinds of traffic. TrafficLists, counted where they are sent, are part of
// TrafficStreams, and TrafficConfigurations of TrafficStreams and TrafficSessions.
const (
	// TrafficStore is calls to the store, TrafficWatches the watches of it.
	TrafficStore   TrafficKind = "store"
	TrafficWatches TrafficKind = "watches"
	// TrafficStreams is what instances pass on to one another from the store.
	TrafficStreams TrafficKind = "streams"
	// TrafficSessions is sessions relayed from and to other instances.
	TrafficSessions       TrafficKind = "sessions"
	TrafficLists          TrafficKind = "lists"
	TrafficConfigurations TrafficKind = "configurations"
	TrafficEndpoints      TrafficKind = "endpoints"
	TrafficCallers        TrafficKind = "callers"
	TrafficPromotions     TrafficKind = "promotions"
	// TrafficLimits is questions about the limits of organisations and their answers.
	TrafficLimits TrafficKind = "limits"
)

// trafficKinds are all kinds.
var trafficKinds = []TrafficKind{
	TrafficStore, TrafficWatches, TrafficStreams, TrafficSessions, TrafficLists, TrafficConfigurations,
	TrafficEndpoints, TrafficCallers, TrafficPromotions, TrafficLimits,
}

// trafficLogInterval is the time between two log lines with the totals.
const trafficLogInterval = 10 * time.Second

// ByteCount counts the bytes of one kind of traffic; nil counts nothing.
type ByteCount struct {
	sent, received metrics.Counter
}

// AddSent counts sent bytes.
func (c *ByteCount) AddSent(n int) {
	if c != nil {
		c.sent.Inc(int64(n))
	}
}

// AddReceived counts received bytes.
func (c *ByteCount) AddReceived(n int) {
	if c != nil {
		c.received.Inc(int64(n))
	}
}

// Sent returns the bytes sent since the start.
func (c *ByteCount) Sent() int64 { return c.sent.Count() }

// Received returns the bytes received since the start.
func (c *ByteCount) Received() int64 { return c.received.Count() }

// Traffic counts the bytes of an instance by kind; nil counts nothing.
type Traffic struct {
	// counts has an entry for each of trafficKinds; it does not change.
	counts map[TrafficKind]*ByteCount
}

// NewTraffic returns counters that start at zero.
func NewTraffic() *Traffic {
	t := &Traffic{counts: make(map[TrafficKind]*ByteCount, len(trafficKinds))}
	for _, k := range trafficKinds {
		t.counts[k] = &ByteCount{sent: metrics.NewCounter(), received: metrics.NewCounter()}
	}
	return t
}

// Count returns the counter of a kind.
func (t *Traffic) Count(k TrafficKind) *ByteCount {
	if t == nil {
		return nil
	}
	return t.counts[k]
}

// register adds the counters to a registry.
func (t *Traffic) register(r metrics.Registry) {
	if t == nil {
		return
	}
	for k, c := range t.counts {
		_ = r.Register("sent_bytes_"+string(k), c.sent)
		_ = r.Register("received_bytes_"+string(k), c.received)
	}
}

// logTraffic logs the totals since the start.
func (p *Proxy) logTraffic() {
	t := p.dependencies.Traffic
	if t == nil {
		return
	}
	sent, received := make(map[TrafficKind]int64), make(map[TrafficKind]int64)
	for k, c := range t.counts {
		sent[k], received[k] = c.Sent(), c.Received()
	}
	entry := p.event(core.EventTraffic).WithField("sent", sent).WithField("received", received)
	entry = entry.WithField("connections_opened", p.counts.connections.Count()).WithField("reports", p.counts.controlRequests.Count())
	entry.WithField("sessions_relayed", p.counts.relayed.Count()).WithField("groups", len(p.placement.Load().groups)).Info("traffic since the start")
}

// reportTraffic logs the totals at intervals until ctx ends.
func (p *Proxy) reportTraffic(ctx context.Context) error {
	return repeat(ctx, trafficLogInterval, p.logTraffic)
}
