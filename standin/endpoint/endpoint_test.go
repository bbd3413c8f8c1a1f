package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
)

const waitTimeout = 30 * time.Second

// harness is one group of three endpoints and the sessions on them.
type harness struct {
	t        *testing.T
	is       *is.I
	ctx      context.Context
	members  map[string]*Endpoint
	sessions map[string]*pgx.Conn
	pending  map[string]chan string
}

func newHarness(t *testing.T) *harness {
	ctx, cancel := context.WithCancel(t.Context())
	h := &harness{t: t, is: is.New(t), ctx: ctx, members: map[string]*Endpoint{}, sessions: map[string]*pgx.Conn{}, pending: map[string]chan string{}}
	listeners := make([]net.Listener, 6)
	addresses := make([]netip.AddrPort, len(listeners))
	for i := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		h.is.NoErr(err)
		listeners[i], addresses[i] = l, netip.MustParseAddrPort(l.Addr().String())
	}
	done := make(chan error, 3)
	for i, name := range []string{"a", "b", "c"} {
		options := []Option{WithPeers(addresses[3+(i+1)%3], addresses[3+(i+2)%3]), WithMaxConnections(4), WithSlots(2), WithDataCentre("here"), WithNetworkDelay(time.Millisecond)}
		if i == 0 {
			options = append(options, WithPrimary())
		}
		e := New(addresses[i], addresses[3+i], options...)
		h.members[name] = e
		go func() { done <- e.Serve(ctx, listeners[i], listeners[3+i]) }()
	}
	t.Cleanup(func() {
		cancel()
		for range h.members {
			h.is.NoErr(<-done)
		}
	})
	return h
}

func (h *harness) session(d *datadriven.TestData) *pgx.Conn {
	var on string
	name := "first"
	d.ScanArgs(h.t, "on", &on)
	user := "u"
	d.MaybeScanArgs(h.t, "session", &name)
	d.MaybeScanArgs(h.t, "user", &user)
	c := h.sessions[on+name]
	if c == nil || c.IsClosed() {
		var err error
		c, err = pgx.Connect(h.ctx, fmt.Sprintf("postgres://%s@%s/d?sslmode=prefer", user, h.members[on].listen))
		h.is.NoErr(err)
		h.sessions[on+name] = c
	}
	return c
}

func execSimple(ctx context.Context, c *pgx.Conn, query string) string {
	var out strings.Builder
	results, err := c.PgConn().Exec(ctx, query).ReadAll()
	for _, r := range results {
		if r.Err != nil {
			continue
		}
		for _, row := range r.Rows {
			for i, v := range row {
				fmt.Fprintf(&out, "%s=%s ", r.FieldDescriptions[i].Name, v)
			}
			out.WriteString("\n")
		}
		fmt.Fprintln(&out, r.CommandTag)
	}
	if err != nil {
		fmt.Fprintln(&out, errorText(err))
	}
	return fmt.Sprintf("%sstatus %c\n", out.String(), c.PgConn().TxStatus())
}

func errorText(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Severity + " " + e.Code
	}
	return "no answer"
}

// execExtended runs the first line of the input as a statement in the driver's
// default mode, which uses the extended protocol; the other lines are its
// arguments.
func execExtended(ctx context.Context, c *pgx.Conn, input string) string {
	lines := strings.Split(input, "\n")
	var arguments []any
	for _, l := range lines[1:] {
		arguments = append(arguments, l)
	}
	rows, err := c.Query(ctx, lines[0], arguments...)
	if err != nil {
		return errorText(err)
	}
	var out strings.Builder
	for rows.Next() {
		values, err := rows.Values()
		if err != nil {
			return err.Error()
		}
		fmt.Fprintln(&out, values...)
	}
	if rows.Err() != nil {
		return out.String() + errorText(rows.Err())
	}
	return out.String() + rows.CommandTag().String()
}

func (h *harness) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "sql":
		return execSimple(h.ctx, h.session(d), d.Input)
	case "extended":
		return execExtended(h.ctx, h.session(d), d.Input)
	case "start":
		c := h.session(d)
		answer := make(chan string, 1)
		h.pending[d.CmdArgs[len(d.CmdArgs)-1].Vals[0]] = answer
		input := d.Input
		go func() { answer <- execSimple(h.ctx, c, input) }()
		return ""
	case "finish":
		select {
		case answer := <-h.pending[d.CmdArgs[0].Key]:
			return answer
		case <-time.After(waitTimeout):
			return "no answer"
		}
	case "cancel":
		return fmt.Sprint(h.session(d).PgConn().CancelRequest(h.ctx))
	case "connect":
		return h.connect(d)
	case "fault":
		return h.request(d, http.MethodPut, "/fault", d.Input)
	case "log":
		return strings.ReplaceAll(h.request(d, http.MethodGet, "/log", ""), "},{\"term", "},\n{\"term")
	case "waiting":
		return h.waitForState(d, func(e *Endpoint) string { return fmt.Sprintf("locks=%d used=%d", len(e.locks), len(e.slots)) })
	case "status":
		return h.waitForState(d, func(e *Endpoint) string {
			s := e.status()
			return fmt.Sprintf("%s fence=%d term=%d received=%d applied=%d last=%s", s.Role, s.Fence, s.Term, s.Received, s.Applied, s.Last)
		})
	}
	d.Fatalf(h.t, "unknown command")
	return ""
}

func (h *harness) connect(d *datadriven.TestData) string {
	var on string
	d.ScanArgs(h.t, "on", &on)
	c, err := pgx.Connect(h.ctx, fmt.Sprintf("postgres://u@%s/d?sslmode=disable", h.members[on].listen))
	if err != nil {
		return errorText(err)
	}
	h.is.NoErr(c.Close(h.ctx))
	return "connected"
}

func (h *harness) request(d *datadriven.TestData, method, path, body string) string {
	var on string
	d.ScanArgs(h.t, "on", &on)
	w := httptest.NewRecorder()
	h.members[on].controlHandler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	h.is.Equal(w.Code, http.StatusOK)
	return w.Body.String()
}

// waitForState waits until the state equals the expected text and returns the
// last state.
func (h *harness) waitForState(d *datadriven.TestData, describeState func(*Endpoint) string) string {
	var on string
	d.ScanArgs(h.t, "on", &on)
	e := h.members[on]
	end := time.Now().Add(waitTimeout)
	for {
		e.mu.Lock()
		state := describeState(e)
		changed := e.changed
		e.mu.Unlock()
		if state+"\n" == d.Expected || time.Now().After(end) {
			return state
		}
		wait(h.ctx, changed, 5*time.Millisecond)
	}
}

func TestEndpoint(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		h := newHarness(t)
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return h.run(d) })
	})
}

func TestHandleAppendReportsRejectHint(t *testing.T) {
	is := is.New(t)
	e := New(netip.AddrPort{}, netip.AddrPort{})
	var request AppendRequest
	is.NoErr(json.Unmarshal([]byte(`{"term":2,"previous":{"term":2,"position":7},"entries":[]}`), &request))
	is.Equal(e.handleAppend(request), AppendResponse{Fence: 2, RejectHint: 0})
	is.Equal(e.handleAppend(AppendRequest{Term: 1}), AppendResponse{Fence: 2})
	request.Previous.Term, request.Previous.Position = 0, 0
	is.Equal(e.handleAppend(request), AppendResponse{Fence: 2, Matched: true})
}
