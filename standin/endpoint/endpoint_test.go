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

const safety = 30 * time.Second

// bench is one group of three endpoints and the sessions on them.
type bench struct {
	t        *testing.T
	is       *is.I
	ctx      context.Context
	members  map[string]*Endpoint
	sessions map[string]*pgx.Conn
	pending  map[string]chan string
}

func newBench(t *testing.T) *bench {
	ctx, cancel := context.WithCancel(t.Context())
	b := &bench{t: t, is: is.New(t), ctx: ctx, members: map[string]*Endpoint{}, sessions: map[string]*pgx.Conn{}, pending: map[string]chan string{}}
	listeners := make([]net.Listener, 6)
	addresses := make([]netip.AddrPort, len(listeners))
	for i := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		b.is.NoErr(err)
		listeners[i], addresses[i] = l, netip.MustParseAddrPort(l.Addr().String())
	}
	done := make(chan error, 3)
	for i, name := range []string{"a", "b", "c"} {
		options := []Option{WithPeers(addresses[3+(i+1)%3], addresses[3+(i+2)%3]), WithConnections(4), WithSlots(2), WithDataCentre("here"), WithDelay(time.Millisecond)}
		if i == 0 {
			options = append(options, WithPrimary())
		}
		e := New(addresses[i], addresses[3+i], options...)
		b.members[name] = e
		go func() { done <- e.Serve(ctx, listeners[i], listeners[3+i]) }()
	}
	t.Cleanup(func() {
		cancel()
		for range b.members {
			b.is.NoErr(<-done)
		}
	})
	return b
}

func (b *bench) session(d *datadriven.TestData) *pgx.Conn {
	var on string
	name := "first"
	d.ScanArgs(b.t, "on", &on)
	user := "u"
	d.MaybeScanArgs(b.t, "session", &name)
	d.MaybeScanArgs(b.t, "user", &user)
	c := b.sessions[on+name]
	if c == nil || c.IsClosed() {
		var err error
		c, err = pgx.Connect(b.ctx, fmt.Sprintf("postgres://%s@%s/d?sslmode=prefer", user, b.members[on].listen))
		b.is.NoErr(err)
		b.sessions[on+name] = c
	}
	return c
}

func simple(ctx context.Context, c *pgx.Conn, query string) string {
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
		fmt.Fprintln(&out, describe(err))
	}
	return fmt.Sprintf("%sstatus %c\n", out.String(), c.PgConn().TxStatus())
}

func describe(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Severity + " " + e.Code
	}
	return "no answer"
}

// extended runs a statement by the client's default mode; arguments are on the
// lines after the first.
func extended(ctx context.Context, c *pgx.Conn, input string) string {
	lines := strings.Split(input, "\n")
	var arguments []any
	for _, l := range lines[1:] {
		arguments = append(arguments, l)
	}
	rows, err := c.Query(ctx, lines[0], arguments...)
	if err != nil {
		return describe(err)
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
		return out.String() + describe(rows.Err())
	}
	return out.String() + rows.CommandTag().String()
}

func (b *bench) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "sql":
		return simple(b.ctx, b.session(d), d.Input)
	case "extended":
		return extended(b.ctx, b.session(d), d.Input)
	case "start":
		c := b.session(d)
		answer := make(chan string, 1)
		b.pending[d.CmdArgs[len(d.CmdArgs)-1].Vals[0]] = answer
		input := d.Input
		go func() { answer <- simple(b.ctx, c, input) }()
		return ""
	case "finish":
		select {
		case answer := <-b.pending[d.CmdArgs[0].Key]:
			return answer
		case <-time.After(safety):
			return "no answer"
		}
	case "cancel":
		return fmt.Sprint(b.session(d).PgConn().CancelRequest(b.ctx))
	case "connect":
		return b.connect(d)
	case "fault":
		return b.request(d, http.MethodPut, "/fault", d.Input)
	case "log":
		return strings.ReplaceAll(b.request(d, http.MethodGet, "/log", ""), "},{\"term", "},\n{\"term")
	case "waiting":
		return b.await(d, func(e *Endpoint) string { return fmt.Sprintf("locks=%d used=%d", len(e.locks), len(e.slots)) })
	case "status":
		return b.await(d, func(e *Endpoint) string {
			s := e.status()
			return fmt.Sprintf("%s fence=%d term=%d received=%d applied=%d last=%s", s.Role, s.Fence, s.Term, s.Received, s.Applied, s.Last)
		})
	}
	d.Fatalf(b.t, "unknown command")
	return ""
}

func (b *bench) connect(d *datadriven.TestData) string {
	var on string
	d.ScanArgs(b.t, "on", &on)
	c, err := pgx.Connect(b.ctx, fmt.Sprintf("postgres://u@%s/d?sslmode=disable", b.members[on].listen))
	if err != nil {
		return describe(err)
	}
	b.is.NoErr(c.Close(b.ctx))
	return "connected"
}

func (b *bench) request(d *datadriven.TestData, method, path, body string) string {
	var on string
	d.ScanArgs(b.t, "on", &on)
	w := httptest.NewRecorder()
	b.members[on].controlHandler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	b.is.Equal(w.Code, http.StatusOK)
	return w.Body.String()
}

// await waits for the expected text and returns what it saw last.
func (b *bench) await(d *datadriven.TestData, look func(*Endpoint) string) string {
	var on string
	d.ScanArgs(b.t, "on", &on)
	e := b.members[on]
	end := time.Now().Add(safety)
	for {
		e.mu.Lock()
		seen := look(e)
		changed := e.changed
		e.mu.Unlock()
		if seen+"\n" == d.Expected || time.Now().After(end) {
			return seen
		}
		wait(b.ctx, changed, 5*time.Millisecond)
	}
}

func TestEndpoint(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		b := newBench(t)
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return b.run(d) })
	})
}

func TestTakeAnswersWhereToGoBack(t *testing.T) {
	is := is.New(t)
	e := New(netip.AddrPort{}, netip.AddrPort{})
	var p Push
	is.NoErr(json.Unmarshal([]byte(`{"term":2,"previous":{"term":2,"position":7},"entries":[]}`), &p))
	is.Equal(e.take(p), PushAnswer{Fence: 2, Back: 0})
	is.Equal(e.take(Push{Term: 1}), PushAnswer{Fence: 2})
	p.Previous.Term, p.Previous.Position = 0, 0
	is.Equal(e.take(p), PushAnswer{Fence: 2, Matched: true})
}
