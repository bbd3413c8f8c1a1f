package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"anviltack/core"
	"anviltack/standin/endpoint"
)

// script runs the checker on scripted writes, reads and logs.
type script struct {
	t       *testing.T
	load    *Load
	callers map[string]*caller
	entries []endpoint.Entry
	rows    map[string]endpoint.RowValue
	now     time.Time
}

func newScript(t *testing.T) *script {
	l := New([]netip.AddrPort{{}}, []Database{{Name: "d"}})
	return &script{t: t, load: l, callers: map[string]*caller{}, rows: map[string]endpoint.RowValue{}, now: time.Unix(0, 0)}
}

func (s *script) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "write":
		var key, outcome, batch string
		d.ScanArgs(s.t, "key", &key)
		d.ScanArgs(s.t, "outcome", &outcome)
		d.MaybeScanArgs(s.t, "batch", &batch)
		w := s.load.history.beginWrite("d", key, batch)
		s.load.history.recordOutcome(w, Outcome(outcome))
		s.now = s.now.Add(time.Second)
		w.AnsweredAt = s.now
		return w.Value()
	case "read":
		return s.read(d)
	case "log":
		s.log(d.Input)
		return ""
	case "judge":
		s.load.checkDatabase("d", s.entries, endpoint.Rows{Rows: s.rows})
		return s.violations()
	}
	d.Fatalf(s.t, "unknown command")
	return ""
}

func (s *script) read(d *datadriven.TestData) string {
	var session, key, value string
	var before int64
	d.ScanArgs(s.t, "session", &session)
	d.ScanArgs(s.t, "key", &key)
	d.MaybeScanArgs(s.t, "value", &value)
	d.ScanArgs(s.t, "before", &before)
	if s.callers[session] == nil {
		s.callers[session] = s.load.newCaller("d", session, 0)
	}
	var values []string
	if value != "" {
		values = strings.Split(value, "+")
	}
	s.load.checkRead(s.callers[session], key, values, time.Unix(before, 0))
	return s.violations()
}

func (s *script) log(input string) {
	for _, line := range strings.Split(input, "\n") {
		e := endpoint.Entry{Point: core.Point{Term: 1, Position: uint64(len(s.entries)) + 1}}
		for _, value := range strings.Fields(line) {
			key, _, _ := parseValue(value)
			e.Changes = append(e.Changes, endpoint.Change{Table: endpoint.TableItem, Key: key, Value: value})
			s.rows[key] = endpoint.RowValue{Value: value}
		}
		s.entries = append(s.entries, e)
	}
}

// violations returns the violations since its last call.
func (s *script) violations() string {
	var out strings.Builder
	for _, k := range slices.Sorted(maps.Keys(s.load.results.violations)) {
		fmt.Fprintf(&out, "%s: %d\n", k, s.load.results.violations[k])
	}
	clear(s.load.results.violations)
	return out.String()
}

func TestChecker(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScript(t)
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.run(d) })
	})
}

func TestOutcomes(t *testing.T) {
	is := is.New(t)
	is.Equal(outcomeOf(nil), OutcomeAcknowledged)
	is.Equal(outcomeOf(errors.New("connection reset")), OutcomeUnknown)
	is.Equal(outcomeOf(&pgconn.PgError{Code: "08007", Message: "AT3001: unknown"}), OutcomeUnknown)
	is.Equal(outcomeOf(&pgconn.PgError{Code: "23505", Message: "AT1001: ran"}), OutcomeAcknowledged)
	is.Equal(outcomeOf(&pgconn.PgError{Code: "53300", Message: "AT2001: full"}), OutcomeRefused)
	is.True(isProtocolError(errors.New("unexpected message")))
	is.True(!isProtocolError(fmt.Errorf("receive: %w", io.ErrUnexpectedEOF)))
	is.True(!isProtocolError(&pgconn.PgError{Code: "08007"}))
	is.Equal(retryAfter(&pgconn.PgError{Hint: "retry after 250ms"}), 250*time.Millisecond)
	is.Equal(retryAfter(&pgconn.PgError{Hint: "retry after 1h"}), maxRetryDelay)
}

// TestRun runs callers directly on a primary and expects no violation.
func TestRun(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var listeners []net.Listener
	var addresses []netip.AddrPort
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners = append(listeners, l)
		addresses = append(addresses, netip.MustParseAddrPort(l.Addr().String()))
	}
	e := endpoint.New(addresses[0], addresses[1], endpoint.WithPrimary(), endpoint.WithMaxConnections(100))
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx, listeners[0], listeners[1]) }()
	report, err := New(addresses[:1], []Database{{Name: "d", ControlAddresses: addresses[1:]}},
		WithKinds(map[core.Kind]time.Duration{"snapshot": time.Second}),
		WithDuration(500*time.Millisecond),
		WithCallers(2, 2),
	).Run(ctx)
	is.NoErr(err)
	is.Equal(report.Violations(), 0)
	is.Equal(report.Writes.Refused+report.Writes.Unknown, 0)
	is.True(report.Writes.Acknowledged > 0)
	is.True(report.ReadsPrimary > 0)
	cancel()
	is.NoErr(<-done)
}
