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

// statements returns how many statements an endpoint ran.
func (s *site) statements(e core.Endpoint) int {
	s.t.Helper()
	answer, err := http.Get("http://" + s.controls[e].String() + "/stats")
	if err != nil {
		s.t.Fatal(err)
	}
	defer answer.Body.Close() //nolint:errcheck // Nothing is left to read.
	var stats endpoint.Stats
	if err := json.NewDecoder(answer.Body).Decode(&stats); err != nil {
		s.t.Fatal(err)
	}
	return stats.Statements
}

// isLeaving reports whether an instance sees an endpoint as leaving.
func (p *instance) isLeaving(e core.Endpoint) bool {
	got, err := p.statusOf()
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

// list puts an endpoint on the platform's list.
func (s *site) list(e core.Endpoint, state string) {
	s.t.Helper()
	body := fmt.Sprintf(`{"ID":%q,"Name":"anviltack-endpoint","Address":"127.0.0.1","Port":1,"Meta":{"state":%q}}`, e, state)
	r, err := http.NewRequest(http.MethodPut, "http://"+s.platform.String()+"/v1/agent/service/register", strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = answer.Body.Close()
}

// TestLeavingEndpoint checks that an endpoint that the configuration or the
// platform's list calls leaving gets no new reads from any instance, also from
// those that do not watch the list, and that a leaving primary is relieved.
func TestLeavingEndpoint(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s := newSite(t)
	s.startEndpoints()
	var sessions []*pgx.Conn
	for i := range 4 {
		s.start(fmt.Sprint("i", i), "a")
	}
	s.awaitMembers(4)
	s.submit(s.instances["i0"], s.firstPatch())
	s.awaitVersion()
	s.list("e1", "live")
	for _, p := range s.instances {
		sessions = append(sessions, s.mustConnect(ctx, p))
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
		for _, p := range s.instances {
			s.until(p.name+" sees it leaving", func() bool { return p.isLeaving(e) })
		}
	}
	s.until("reads on both replicas", func() bool {
		e2, e3 := s.statements("e2"), s.statements("e3")
		read()
		return s.statements("e2") > e2 && s.statements("e3") > e3
	})

	s.submit(s.instances["i1"], json.RawMessage(`{"groups":{"g":{"endpoints":{"e2":{"leaving":true}}}}}`))
	awaitLeaving("e2")
	e2, e3 := s.statements("e2"), s.statements("e3")
	read()
	is.Equal(s.statements("e2"), e2)
	is.True(s.statements("e3") > e3)

	s.list("e3", "leaving")
	awaitLeaving("e3")
	e2, e3 = s.statements("e2"), s.statements("e3")
	read()
	is.Equal(s.statements("e2"), e2)
	is.Equal(s.statements("e3"), e3)

	s.list("e3", "live")
	s.until("reads on e3 again", func() bool {
		read()
		return s.statements("e3") > e3
	})

	s.submit(s.instances["i2"], json.RawMessage(`{"groups":{"g":{"endpoints":{"e2":{"leaving":false},"e1":{"leaving":true}}}}}`))
	for _, p := range s.instances {
		s.until(p.name+" has another primary", func() bool {
			got, err := p.statusOf()
			return err == nil && len(got.Groups) == 1 && got.Groups[0].Primary != "" && got.Groups[0].Primary != "e1"
		})
	}
	e1 := s.statements("e1")
	for i, c := range sessions {
		_, err := c.Exec(ctx, fmt.Sprintf("INSERT INTO item (key, value) VALUES ('after %d', '1')", i))
		is.NoErr(err)
	}
	read()
	is.Equal(s.statements("e1"), e1)
}
