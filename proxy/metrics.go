package proxy

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"anviltack/core"
)

// sampleSize is how many values a histogram keeps.
const sampleSize = 512

// counts are the instance's counters and histograms.
type counts struct {
	statements    metrics.Counter
	refusals      metrics.Counter
	readsMoved    metrics.Counter
	reports       metrics.Counter
	connections   metrics.Counter
	own           metrics.Counter
	closed        metrics.Counter
	eventsDropped metrics.Counter
	relayed       metrics.Counter
	relaysLost    metrics.Counter
	readTime      metrics.Histogram
	writeTime     metrics.Histogram
	confirmTime   metrics.Histogram
}

func newCounts(r metrics.Registry) counts {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewUniformSample(sampleSize))
	}
	return counts{
		statements:    metrics.GetOrRegisterCounter("statements", r),
		refusals:      metrics.GetOrRegisterCounter("refusals", r),
		readsMoved:    metrics.GetOrRegisterCounter("reads_moved", r),
		reports:       metrics.GetOrRegisterCounter("reports", r),
		connections:   metrics.GetOrRegisterCounter("connections_opened", r),
		own:           metrics.GetOrRegisterCounter("own_statements", r),
		closed:        metrics.GetOrRegisterCounter("statements_without_primary", r),
		eventsDropped: metrics.GetOrRegisterCounter("control_events_dropped", r),
		relayed:       metrics.GetOrRegisterCounter("sessions_relayed", r),
		relaysLost:    metrics.GetOrRegisterCounter("relayed_statements_lost", r),
		readTime:      histogram("read_ns"),
		writeTime:     histogram("write_ns"),
		confirmTime:   histogram("confirm_ns"),
	}
}

// measured counts an answered statement and explains one that failed.
func (p *Proxy) measured(s *session, st Statement, a Answer, arrived time.Time) {
	p.counts.statements.Inc(1)
	took := p.now().Sub(arrived)
	switch st.Kind {
	case KindRead:
		p.counts.readTime.Update(int64(took))
	case KindWrite, KindCommit:
		p.counts.writeTime.Update(int64(took))
	}
	if a.Err != nil {
		p.refusedStatement(s, st, a.Err, took)
	}
}

// refusedStatement logs why a statement was not answered with success.
func (p *Proxy) refusedStatement(s *session, st Statement, err error, took time.Duration) {
	p.counts.refusals.Inc(1)
	if !p.lines.Allow() {
		p.skipped.Add(1)
		return
	}
	e := asError(err)
	l := p.event(core.EventRefused).WithField("id", st.ID).WithField("kind", st.Kind).WithField("database", s.caller.Database)
	l = l.WithField("code", int(e.Code)).WithField("reason", e.Reason).WithField("retry_ms", e.RetryAfter.Milliseconds())
	l = l.WithField("took_ms", took.Milliseconds()).WithField("transaction", s.inTransaction.Load())
	if r, g, err := s.routeAndGroup(); err == nil {
		v := g.state.Load()
		l = l.WithField("group", r.Group).WithField("version", p.config.Load().Version).WithField("term", v.term)
		l = l.WithField("confirmed_age_ms", p.ageOf(v.confirmed.AsOf))
	}
	if n := p.skipped.Swap(0); n > 0 {
		l = l.WithField("lines_skipped", n)
	}
	l.Warn("statement not served")
}

// ageOf returns the age of a proof in milliseconds, -1 when there never was one.
func (p *Proxy) ageOf(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return p.now().Sub(t).Milliseconds()
}

// refused logs a session that was refused.
func (p *Proxy) refused(c *Caller, id string, err error) {
	p.counts.refusals.Inc(1)
	if p.lines.Allow() {
		p.event(core.EventRefused).WithField("id", id).WithField("database", c.Database).WithError(err).Warn("session refused")
	}
}

// writeMetrics answers with every counter and histogram, a line each.
func (p *Proxy) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	p.metrics.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			fmt.Fprintf(w, "anviltack_%s %d\n", name, m.Count())
		case metrics.Histogram:
			s := m.Snapshot()
			fmt.Fprintf(w, "anviltack_%s_count %d\n", name, s.Count())
			for _, q := range []float64{0.5, 0.95, 0.99} {
				fmt.Fprintf(w, "anviltack_%s{quantile=\"%v\"} %.0f\n", name, q, s.Percentile(q))
			}
		}
	})
}

// groupDump is the state of one group in the dump.
type groupDump struct {
	Group   core.Group
	Term    uint64
	Primary core.Endpoint
	// ConfirmedAgeMs is the age of the last proof that the primary was not
	// replaced; -1 without one.
	ConfirmedAgeMs int64
	Open           bool
	Endpoints      []endpointDump
}

// endpointDump is the state of one endpoint in the dump.
type endpointDump struct {
	Endpoint core.Endpoint
	Visible  string
	Lag      time.Duration
	Open     int
	Idle     int
	Waiting  int
	Limit    int
}

// writeDump answers with the state of the process.
func (p *Proxy) writeDump(w http.ResponseWriter, _ *http.Request) {
	var groups []groupDump
	for name, g := range *p.groups.Load() {
		v := g.state.Load()
		d := groupDump{Group: name, Term: v.term, Open: v.isOpen(), ConfirmedAgeMs: p.ageOf(v.confirmed.AsOf)}
		if v.primary != nil {
			d.Primary = v.primary.info.Name
		}
		for _, e := range v.endpoints {
			d.Endpoints = append(d.Endpoints, e.dump())
		}
		groups = append(groups, d)
	}
	body := struct {
		Instance string
		Ready    bool
		Version  uint64
		Sessions int
		Groups   []groupDump
	}{Instance: p.settings.Instance, Ready: p.IsReady(), Sessions: p.count(), Groups: groups}
	if c := p.config.Load(); c != nil {
		body.Version = c.Version
	}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		p.event(core.EventSessionError).WithError(err).Info("state dump was not read to its end")
	}
}

func (e *endpoint) dump() endpointDump {
	e.mu.Lock()
	defer e.mu.Unlock()
	return endpointDump{
		Endpoint: e.info.Name, Visible: e.visible.String(), Lag: e.lag,
		Open: e.open, Idle: len(e.idle), Waiting: e.queue.Len(), Limit: e.maxConnections,
	}
}
