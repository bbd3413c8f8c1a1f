package process

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"anviltack/core"
	"anviltack/standin/endpoint"
)

// statementCount returns the number of statements that an endpoint ran.
func (h *harness) statementCount(e core.Endpoint) int {
	h.t.Helper()
	response, err := http.Get("http://" + h.controls[e].String() + "/stats")
	if err != nil {
		h.t.Fatal(err)
	}
	defer response.Body.Close() //nolint:errcheck // The body is only read.
	var stats endpoint.Stats
	if err := json.NewDecoder(response.Body).Decode(&stats); err != nil {
		h.t.Fatal(err)
	}
	return stats.Statements
}

// isLeaving reports whether an instance sees an endpoint as leaving.
func (p *instance) isLeaving(e core.Endpoint) bool {
	got, err := p.fetchStatus()
	if err != nil {
		return false
	}
	for _, g := range got.Groups {
		for _, x := range g.Endpoints {
			if x.Endpoint == e {
				return x.Leaving
			}
		}
	}
	return false
}

// registerEndpoint registers an endpoint and its state in the platform's service
// list.
func (h *harness) registerEndpoint(e core.Endpoint, state string) {
	h.t.Helper()
	body := fmt.Sprintf(`{"ID":%q,"Name":"anviltack-endpoint","Address":"127.0.0.1","Port":1,"Meta":{"state":%q}}`, e, state)
	r, err := http.NewRequest(http.MethodPut, "http://"+h.platform.String()+"/v1/agent/service/register", strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		h.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// TestLeavingEndpoint checks that an endpoint that is marked as leaving, in the
// configuration or in the platform's service list, gets no new reads from any
// instance, including those that do not watch that list, and that a leaving
// primary is replaced.
func TestLeavingEndpoint(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	h := newHarness(t)
	h.startEndpoints()
	var sessions []*pgx.Conn
	for i := range 4 {
		h.startInstance(fmt.Sprint("i", i), "a")
	}
	h.awaitInstances(4)
	h.submit(h.instances["i0"], h.firstPatch())
	h.awaitVersion()
	h.registerEndpoint("e1", "live")
	for _, p := range h.instances {
		sessions = append(sessions, h.mustConnect(ctx, p))
	}
	read := func() {
		for _, c := range sessions {
			for range 20 {
				_, err := c.Exec(ctx, "SELECT value FROM item WHERE key = 'k' /*kind='series'*/")
				is.NoErr(err)
			}
		}
	}
	awaitLeaving := func(e core.Endpoint) {
		for _, p := range h.instances {
			h.waitFor(p.name+" sees the endpoint as leaving", func() bool { return p.isLeaving(e) })
		}
	}
	h.waitFor("reads on both replicas", func() bool {
		e2, e3 := h.statementCount("e2"), h.statementCount("e3")
		read()
		return h.statementCount("e2") > e2 && h.statementCount("e3") > e3
	})

	h.submit(h.instances["i1"], json.RawMessage(`{"groups":{"g":{"endpoints":{"e2":{"leaving":true}}}}}`))
	awaitLeaving("e2")
	e2, e3 := h.statementCount("e2"), h.statementCount("e3")
	read()
	is.Equal(h.statementCount("e2"), e2)
	is.True(h.statementCount("e3") > e3)

	h.registerEndpoint("e3", "leaving")
	awaitLeaving("e3")
	e2, e3 = h.statementCount("e2"), h.statementCount("e3")
	read()
	is.Equal(h.statementCount("e2"), e2)
	is.Equal(h.statementCount("e3"), e3)

	h.registerEndpoint("e3", "live")
	h.waitFor("reads on e3 again", func() bool {
		read()
		return h.statementCount("e3") > e3
	})

	h.submit(h.instances["i2"], json.RawMessage(`{"groups":{"g":{"endpoints":{"e2":{"leaving":false},"e1":{"leaving":true}}}}}`))
	for _, p := range h.instances {
		h.waitFor(p.name+" has another primary", func() bool {
			got, err := p.fetchStatus()
			return err == nil && len(got.Groups) == 1 && got.Groups[0].Primary != "" && got.Groups[0].Primary != "e1"
		})
	}
	e1 := h.statementCount("e1")
	for i, c := range sessions {
		_, err := c.Exec(ctx, fmt.Sprintf("INSERT INTO item (key, value) VALUES ('after %d', '1')", i))
		is.NoErr(err)
	}
	read()
	is.Equal(h.statementCount("e1"), e1)
}
