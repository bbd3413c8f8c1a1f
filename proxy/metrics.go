package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/rcrowley/go-metrics"

	"anviltack/core"
	"anviltack/core/pool"
)

// histogramSampleSize is how many values a histogram keeps.
const histogramSampleSize = 512

// counts are the instance's counters and histograms.
type counts struct {
	statements      metrics.Counter
	refusals        metrics.Counter
	readsMoved      metrics.Counter
	controlRequests metrics.Counter
	connections     metrics.Counter
	connsReplaced   metrics.Counter
	ownStatements   metrics.Counter
	// messagesRefused counts statements and requests for connections that were not sent because
	// they cannot be written as messages, setupsRejected the batches of session values and
	// preparations that an endpoint did not accept, and namesUnknown the prepared statements
	// that it did not know although they were prepared on the connection.
	messagesRefused metrics.Counter
	setupsRejected  metrics.Counter
	namesUnknown    metrics.Counter
	withoutPrimary  metrics.Counter
	eventsDropped   metrics.Counter
	relayed         metrics.Counter
	relaysLost      metrics.Counter
	// relayEnds counts the relayed sessions that ended, by cause.
	relayEnds     map[RelayCause]metrics.Counter
	sessionPanics metrics.Counter
	keysDenied    metrics.Counter
	storeRestores metrics.Counter
	limitsGranted metrics.Counter
	limitsRefused metrics.Counter
	limitsAsked   metrics.Counter
	homesMoved    metrics.Counter
	homesSlow     metrics.Counter
	readTime      metrics.Histogram
	writeTime     metrics.Histogram
	confirmTime   metrics.Histogram
	// heldTime is how long statements waited for a configuration; those that did not wait are
	// left out.
	heldTime metrics.Histogram
	idleEnds metrics.Counter
}

func newCounts(r metrics.Registry) counts {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewUniformSample(histogramSampleSize))
	}
	relayEnds := make(map[RelayCause]metrics.Counter)
	for _, c := range []RelayCause{RelayCallerLeft, RelayStopped, RelayHomeStopped, RelayHomeClosed, RelayHomeLate, RelayNotSent} {
		relayEnds[c] = metrics.GetOrRegisterCounter("relays_ended_"+string(c), r)
	}
	return counts{
		relayEnds:       relayEnds,
		statements:      metrics.GetOrRegisterCounter("statements", r),
		refusals:        metrics.GetOrRegisterCounter("refusals", r),
		readsMoved:      metrics.GetOrRegisterCounter("reads_moved", r),
		controlRequests: metrics.GetOrRegisterCounter("reports", r),
		connections:     metrics.GetOrRegisterCounter("connections_opened", r),
		connsReplaced:   metrics.GetOrRegisterCounter("connections_replaced", r),
		ownStatements:   metrics.GetOrRegisterCounter("own_statements", r),
		messagesRefused: metrics.GetOrRegisterCounter("messages_refused", r),
		setupsRejected:  metrics.GetOrRegisterCounter("setups_rejected", r),
		namesUnknown:    metrics.GetOrRegisterCounter("names_unknown", r),
		withoutPrimary:  metrics.GetOrRegisterCounter("statements_without_primary", r),
		eventsDropped:   metrics.GetOrRegisterCounter("control_events_dropped", r),
		relayed:         metrics.GetOrRegisterCounter("sessions_relayed", r),
		relaysLost:      metrics.GetOrRegisterCounter("relayed_statements_lost", r),
		sessionPanics:   metrics.GetOrRegisterCounter("session_panics", r),
		keysDenied:      metrics.GetOrRegisterCounter("sessions_denied", r),
		storeRestores:   metrics.GetOrRegisterCounter("store_restores", r),
		limitsGranted:   metrics.GetOrRegisterCounter("limits_granted", r),
		limitsRefused:   metrics.GetOrRegisterCounter("limits_refused", r),
		limitsAsked:     metrics.GetOrRegisterCounter("limits_asked", r),
		homesMoved:      metrics.GetOrRegisterCounter("homes_moved", r),
		homesSlow:       metrics.GetOrRegisterCounter("homes_slow", r),
		readTime:        histogram("read_ns"),
		writeTime:       histogram("write_ns"),
		confirmTime:     histogram("confirm_ns"),
		heldTime:        histogram("config_wait_ns"),
		idleEnds:        metrics.GetOrRegisterCounter("transactions_idle_ended", r),
	}
}

// recordStatement counts an answered statement and logs one that failed.
func (p *Proxy) recordStatement(s *session, st Statement, a Answer, arrived time.Time) {
	p.counts.statements.Inc(1)
	elapsed := p.now().Sub(arrived)
	switch st.Kind {
	case KindRead:
		p.counts.readTime.Update(int64(elapsed))
	case KindWrite, KindCommit:
		p.counts.writeTime.Update(int64(elapsed))
	}
	if st.Held > 0 {
		p.counts.heldTime.Update(int64(st.Held))
	}
	if a.Err != nil {
		p.recordFailure(s, st, a.Err, elapsed)
	}
}

// recordIdleEnd counts and logs a session that ended because its caller was idle inside a
// transaction for longer than limit.
func (s *session) recordIdleEnd(limit time.Duration, err error) {
	p := s.proxy
	if limit == 0 || s.interrupted.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	p.counts.idleEnds.Inc(1)
	if p.requestLogs.Allow() {
		p.event(core.EventSessionError).WithField("database", s.caller.Database).WithField("relayed", s.caller.Relayed).WithField("limit_ms", limit.Milliseconds()).Info("session ended: its transaction was idle for too long")
	}
}

// recordFailure counts a statement that failed and logs the reason.
func (p *Proxy) recordFailure(s *session, st Statement, err error, elapsed time.Duration) {
	p.counts.refusals.Inc(1)
	if !p.requestLogs.Allow() {
		p.skippedLogs.Add(1)
		return
	}
	e := asError(err)
	entry := p.event(core.EventRefused).WithField("id", loggedID(st.ID)).WithField("kind", st.Kind).WithField("database", s.caller.Database)
	entry = entry.WithField("code", int(e.Code)).WithField("reason", e.Reason).WithField("retry_ms", e.RetryAfter.Milliseconds())
	entry = entry.WithField("held_ms", st.Held.Milliseconds()).WithField("took_ms", elapsed.Milliseconds()).WithField("transaction", s.inTransaction.Load())
	if r, g, err := s.routeAndGroup(); err == nil {
		state := g.state.Load()
		entry = entry.WithField("group", r.Group).WithField("version", p.config.Load().Version).WithField("term", state.term)
		entry = entry.WithField("confirmed_age_ms", p.ageMs(state.confirmed.AsOf))
	}
	if n := p.skippedLogs.Swap(0); n > 0 {
		entry = entry.WithField("lines_skipped", n)
	}
	entry.Warn("statement not served")
}

// ageMs returns the time since t in milliseconds, or -1 if t is zero.
func (p *Proxy) ageMs(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return p.now().Sub(t).Milliseconds()
}

// recordRejectedSession counts and logs a session that was rejected.
func (p *Proxy) recordRejectedSession(c *Caller, id string, err error) {
	p.counts.refusals.Inc(1)
	if p.requestLogs.Allow() {
		p.event(core.EventRefused).WithField("id", loggedID(id)).WithField("database", c.Database).WithError(err).Warn("session rejected")
	}
}

// writeMetrics writes every counter and histogram, one value a line.
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
	p.limits.writeMetrics(w)
}

// groupDump is the state of one group in the dump.
type groupDump struct {
	Group   core.Group
	Term    uint64
	Primary core.Endpoint
	// ConfirmedAgeMs is the time since the primary was last confirmed not to have been
	// replaced, or -1 if it never was.
	ConfirmedAgeMs int64
	Open           bool
	// VotersVersion is the version of the group's set of voters, zero while it is not known,
	// and UnlistedVoters how many of them are not listed.
	VotersVersion  uint64
	UnlistedVoters int
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
	// IdleOf counts the idle connections of the organisations that have most.
	IdleOf []pool.Idle
}

// dumpedOrganisations limits the organisations listed for each endpoint in the dump.
const dumpedOrganisations = 5

// homeDump is another home instance of a group in the dump.
type homeDump struct {
	Instance core.Instance
	Cores    float64
	LinkMbps float64
	// ResponseMs is how long it took to open sessions lately, or zero.
	ResponseMs int64
	Slow       bool
}

// dumpHomes returns the other home instances of the groups.
func (p *Proxy) dumpHomes() map[core.Group][]homeDump {
	dump := make(map[core.Group][]homeDump)
	for g, homes := range p.placement.Load().homes {
		for _, h := range homes {
			took, slow := p.homeResponses.recent(p.now(), h.Name)
			dump[g] = append(dump[g], homeDump{Instance: h.Name, Cores: h.Strength.Cores, LinkMbps: h.Strength.LinkMbps, ResponseMs: took.Milliseconds(), Slow: slow})
		}
	}
	return dump
}

// writeDump writes the state of the instance.
func (p *Proxy) writeDump(w http.ResponseWriter, _ *http.Request) {
	var groups []groupDump
	for name, g := range p.placement.Load().groups {
		state := g.state.Load()
		d := groupDump{
			Group: name, Term: state.term, Open: state.isOpen(), ConfirmedAgeMs: p.ageMs(state.confirmed.AsOf),
			VotersVersion: state.votersVersion, UnlistedVoters: state.unlistedVoters,
		}
		if state.primary != nil {
			d.Primary = state.primary.info.Name
		}
		for _, e := range state.endpoints {
			d.Endpoints = append(d.Endpoints, e.dump())
		}
		groups = append(groups, d)
	}
	body := struct {
		Instance string
		Ready    bool
		Version  uint64
		// StoreEra is the newest known era of the platform's store.
		StoreEra uint64
		Sessions int
		// TextBytes is the size of the values and prepared statements of all sessions.
		TextBytes int64
		Groups    []groupDump
		Limits    limitsDump
		// Homes are the other home instances of each group.
		Homes map[core.Group][]homeDump
	}{
		Instance: p.settings.Instance, Ready: p.IsReady(), Sessions: p.sessionCount(), TextBytes: p.textBytes.Load(), Groups: groups,
		Limits: p.limits.dump(), Homes: p.dumpHomes(),
	}
	body.StoreEra, _ = p.dependencies.LeaseStore.Era()
	if c := p.config.Load(); c != nil {
		body.Version = c.Version
	}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		p.event(core.EventSessionError).WithError(err).Info("could not write the state dump")
	}
}

func (e *endpoint) dump() endpointDump {
	e.mu.Lock()
	defer e.mu.Unlock()
	return endpointDump{
		Endpoint: e.info.Name, Visible: e.visible.String(), Lag: e.lag,
		Open: e.mix.Open, Idle: len(e.idle), Waiting: e.queue.Len(), Limit: e.mix.MaxOpen,
		IdleOf: e.mix.LargestIdle(dumpedOrganisations),
	}
}
