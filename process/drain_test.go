package process

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
)

func (h *harness) connect(ctx context.Context, p *instance) (*pgx.Conn, error) {
	return pgx.Connect(ctx, fmt.Sprintf("postgres://valuer:%s@%s/index?sslmode=disable", password, p.callers))
}

// mustConnect retries until a session on an instance is open.
func (h *harness) mustConnect(ctx context.Context, p *instance) *pgx.Conn {
	h.t.Helper()
	var conn *pgx.Conn
	h.waitFor("a session on "+p.name, func() bool {
		c, err := h.connect(ctx, p)
		conn = c
		return err == nil
	})
	return conn
}

// sqlState returns the SQLSTATE of a PostgreSQL error, or the text of another one.
func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

// execResult is the result of a statement that ran in the background.
type execResult struct {
	tag pgconn.CommandTag
	err error
}

// execAsync runs a statement in the background.
func execAsync(ctx context.Context, c *pgx.Conn, sql string) <-chan execResult {
	done := make(chan execResult, 1)
	go func() {
		tag, err := c.Exec(ctx, sql)
		done <- execResult{tag, err}
	}()
	return done
}

// TestDrain drains an instance that has an open transaction, a long read, an idle
// session and a write that waits for another transaction's row lock. All three
// requests must complete; the idle session and new callers must get 57P01. The
// second SIGTERM must not cut the drain short.
func TestDrain(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	h := newHarness(t)
	h.startEndpoints()
	a, b := h.startInstance("a", "a"), h.startInstance("b", "a")
	h.awaitInstances(2)
	h.submit(a, h.firstPatch())
	h.awaitVersion()

	open, long, idle, waiting, other := h.mustConnect(ctx, a), h.mustConnect(ctx, a), h.mustConnect(ctx, a), h.mustConnect(ctx, a), h.mustConnect(ctx, b)
	var err error
	h.waitFor("a first write", func() bool {
		_, err = idle.Exec(ctx, "INSERT INTO item (key, value) VALUES ('k', '1')")
		return err == nil || sqlState(err) == "23505"
	})
	_, err = open.Exec(ctx, "BEGIN")
	is.NoErr(err)
	_, err = open.Exec(ctx, "INSERT INTO item (key, value) VALUES ('in transaction', '1')")
	is.NoErr(err)
	_, err = other.Exec(ctx, "BEGIN")
	is.NoErr(err)
	_, err = other.Exec(ctx, "UPDATE item SET value = '2' WHERE key = 'k'")
	is.NoErr(err)
	longDone := execAsync(ctx, long, "SELECT pg_sleep(1.5)")
	waitingDone := execAsync(ctx, waiting, "UPDATE item SET value = '3' WHERE key = 'k'")
	h.waitFor("three connections are in use", func() bool { return h.busyConnections(a) == 3 })

	is.NoErr(a.command.Process.Signal(syscall.SIGTERM))
	is.NoErr(a.command.Process.Signal(syscall.SIGTERM))
	h.waitFor("the other instance sees one live instance", func() bool { return b.liveInstances() == 1 })
	h.waitFor("new callers are refused", func() bool {
		c, err := h.connect(ctx, a)
		if err == nil {
			_ = c.Close(ctx)
		}
		return err != nil && strings.Contains(err.Error(), "57P01")
	})
	_, err = idle.Exec(ctx, "SELECT 1")
	is.Equal(sqlState(err), "57P01")

	_, err = open.Exec(ctx, "UPDATE item SET value = '4' WHERE key = 'in transaction'")
	is.NoErr(err)
	is.True(a.isRunning())
	_, err = other.Exec(ctx, "COMMIT")
	is.NoErr(err)
	got := <-waitingDone
	is.NoErr(got.err)
	is.Equal(got.tag.String(), "UPDATE 1")
	got = <-longDone
	is.NoErr(got.err)
	tag, err := open.Exec(ctx, "COMMIT")
	is.NoErr(err)
	is.Equal(tag.String(), "COMMIT")
	<-a.ended
	is.Equal(a.status, 0)
	var value string
	is.NoErr(other.QueryRow(ctx, "SELECT value FROM item WHERE key = 'in transaction'").Scan(&value))
	is.Equal(value, "4")
	is.NoErr(other.QueryRow(ctx, "SELECT value FROM item WHERE key = 'k'").Scan(&value))
	is.Equal(value, "3")
}

// busyConnections returns the number of endpoint connections on which an
// instance runs statements.
func (h *harness) busyConnections(p *instance) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var dump struct {
		Groups []struct {
			Members []struct{ Links struct{ Busy int } }
		}
	}
	if err := p.client().Get(ctx, "/dump", &dump); err != nil {
		return 0
	}
	n := 0
	for _, g := range dump.Groups {
		for _, m := range g.Members {
			n += m.Links.Busy
		}
	}
	return n
}

// TestDrainLimit checks that a long statement and an open transaction delay a drain only up to the
// configured limit, and that the log then states the numbers of those that were ended by it. It
// guards against a limit that closes connections without a final answer: the statement must get
// one that says that its outcome is unknown, the transaction one that says that it was rolled back.
func TestDrainLimit(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	h := newHarness(t)
	h.startEndpoints()
	a := h.startInstance("a", "a", `, "drain": "300ms"`)
	h.awaitInstances(1)
	h.submit(a, h.firstPatch())
	h.awaitVersion()
	open, long := h.mustConnect(ctx, a), h.mustConnect(ctx, a)
	defer open.Close(ctx) //nolint:errcheck // The drain has closed the connection.
	defer long.Close(ctx) //nolint:errcheck // The drain has closed the connection.
	_, err := open.Exec(ctx, "BEGIN")
	is.NoErr(err)
	longDone := execAsync(ctx, long, "SELECT pg_sleep(30) /*deadline='30s'*/")
	h.waitFor("two connections are in use", func() bool { return h.busyConnections(a) == 2 })
	is.NoErr(a.command.Process.Signal(syscall.SIGTERM))
	<-a.ended
	is.Equal(a.status, 0)
	got := <-longDone
	is.Equal(sqlState(got.err), "08007")
	is.True(strings.Contains(got.err.Error(), "AT3001"))
	_, err = open.Exec(ctx, "COMMIT")
	is.Equal(sqlState(err), "57P01")
	is.True(strings.Contains(err.Error(), "AT2004"))
	log, err := os.ReadFile(a.log)
	is.NoErr(err)
	is.True(strings.Contains(string(log), `"event":105`))
	is.True(strings.Contains(string(log), `"transactions":1`))
	is.True(strings.Contains(string(log), `"running":1`))
}
