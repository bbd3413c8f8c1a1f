package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"anviltack/core"
	"anviltack/core/patch"
)

const testSecret = "SCRAM-SHA-256$4096:c2FsdA==$MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY=:MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY="

const testPatch = `{"callers":{"c":{"secret":"` + testSecret + `"}},"limits":{"deadline":"1s","transaction_idle":"1s","queue":1}}`

// memoryPlatform keeps the document in memory and can report accepted patches as unknown.
type memoryPlatform struct {
	d             patch.Document
	lostResponses int
}

func (m *memoryPlatform) submit(_ context.Context, r patch.Request) (uint64, error) {
	next, err := m.d.Apply(r, time.Unix(0, 0))
	if err != nil {
		return 0, err
	}
	m.d = next
	e, _ := next.Entry(r.ID)
	if m.lostResponses > 0 {
		m.lostResponses--
		return 0, &patch.UnknownError{ID: r.ID, Err: errors.New("lost")}
	}
	return e.Version, nil
}

func startServer(t *testing.T, m *memoryPlatform) Client {
	registry := metrics.NewRegistry()
	metrics.NewRegisteredCounter("statements", registry).Inc(3)
	metrics.NewRegisteredTimer("latency", registry).Update(time.Millisecond)
	s := Server{
		Token: "correct horse", Metrics: registry,
		Dump:    func() any { return struct{ Name string }{"dump"} },
		Status:  func() Status { return Status{Instance: "a"} },
		InForce: func() patch.Document { return m.d },
		Stored:  func(context.Context) (patch.Document, error) { return m.d, nil },
		Submit:  m.submit,
	}
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return Client{
		Addresses: []netip.AddrPort{netip.MustParseAddrPort(h.Listener.Addr().String())}, Token: "correct horse", HTTP: h.Client(),
	}
}

func TestToken(t *testing.T) {
	is := is.New(t)
	c := startServer(t, &memoryPlatform{})
	for _, token := range []string{"", "wrong", "correct hors"} {
		for _, path := range []string{"/dump", "/status", "/metrics", "/config", "/config/history", "/patch/x", "/nothing"} {
			c.Token = token
			var e *Error
			err := c.Get(context.Background(), path, &json.RawMessage{})
			is.True(errors.As(err, &e))
			is.Equal(e.Code, core.CodeOperatorForbidden)
		}
	}
	h := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/dump", nil)
	r.Header.Set("Authorization", "Bearer ")
	Server{Dump: func() any { return 1 }}.Handler().ServeHTTP(h, r)
	is.Equal(h.Code, http.StatusUnauthorized)
}

func TestPatch(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := &memoryPlatform{lostResponses: 2}
	c := startServer(t, m)
	r := patch.Request{ID: "p1", Who: "ana", Why: "start", Patch: json.RawMessage(testPatch)}
	a, err := c.Submit(ctx, r)
	is.NoErr(err)
	is.Equal(a.Version, uint64(1))
	is.Equal(m.lostResponses, 0)

	var e *Error
	_, err = c.Submit(ctx, patch.Request{ID: "p2", Who: "ben", Why: "late", Patch: json.RawMessage(`{"limits":{"queue":2}}`)})
	is.True(errors.As(err, &e))
	is.Equal(e.Code, core.CodePatchConflict)
	is.Equal(len(e.Since), 1)
	is.True(!strings.Contains(string(e.Since[0].Patch), testSecret))

	_, err = c.Submit(ctx, patch.Request{ID: "p3", Base: 1, Who: "ben", Why: "bad", Patch: json.RawMessage(`{"limits":{"queue":0,"hue":1}}`)})
	is.True(errors.As(err, &e))
	is.Equal(e.Code, core.CodePatchInvalid)
	is.Equal(len(e.Faults), 2)

	result, err := c.PatchOutcome(ctx, "p1", 0)
	is.NoErr(err)
	is.Equal(result, patch.Result{Outcome: patch.OutcomeAccepted, Version: 1})
	result, err = c.PatchOutcome(ctx, "p2", 0)
	is.NoErr(err)
	is.Equal(result.Outcome, patch.OutcomeRefused)
}

// TestNoSecrets checks that no response contains a secret.
func TestNoSecrets(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := startServer(t, &memoryPlatform{})
	_, err := c.Submit(ctx, patch.Request{ID: "p1", Who: "ana", Why: "start", Patch: json.RawMessage(testPatch)})
	is.NoErr(err)
	for _, path := range []string{"/config", "/config/history", "/config/diff?from=0&to=1", "/metrics", "/status"} {
		text, err := c.GetText(ctx, path)
		is.NoErr(err)
		is.True(len(text) > 0)
		is.True(!strings.Contains(text, testSecret))
	}
	text, err := c.GetText(ctx, "/metrics")
	is.NoErr(err)
	is.True(strings.Contains(text, "statements 3\n"))
	is.True(strings.Contains(text, "latency_p99 1e+06\n"))
}
