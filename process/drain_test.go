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

func (s *site) connect(ctx context.Context, p *instance) (*pgx.Conn, error) {
	return pgx.Connect(ctx, fmt.Sprintf("postgres://valuer:%s@%s/index?sslmode=disable", password, p.callers))
}

func (s *site) mustConnect(ctx context.Context, p *instance) *pgx.Conn {
	s.t.Helper()
	var conn *pgx.Conn
	s.until("a session on "+p.name, func() bool {
		c, err := s.connect(ctx, p)
		conn = c
		return err == nil
	})
	return conn
}

func state(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

// result is what became of a statement that ran beside the stop.
type result struct {
	tag pgconn.CommandTag
	err error
}

func begin(ctx context.Context, c *pgx.Conn, sql string) <-chan result {
	done := make(chan result, 1)
	go func() {
		tag, err := c.Exec(ctx, sql)
		done <- result{tag, err}
	}()
	return done
}

// TestDrain stops an instance with an open transaction, a long read, an idle
// session and a write that waits for another transaction's row. None of the
// requests is cut; the idle session is told, and so are new callers.
func TestDrain(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s := newSite(t)
	s.startEndpoints()
	a, b := s.start("a", "a"), s.start("b", "a")
	s.awaitMembers(2)
	s.submit(a, s.firstPatch())
	s.awaitVersion()

	open, long, idle, waiting, other := s.mustConnect(ctx, a), s.mustConnect(ctx, a), s.mustConnect(ctx, a), s.mustConnect(ctx, a), s.mustConnect(ctx, b)
	var err error
	s.until("a first write", func() bool {
		_, err = idle.Exec(ctx, "INSERT INTO item (key, value) VALUES ('k', '1')")
		return err == nil || state(err) == "23505"
	})
	_, err = open.Exec(ctx, "BEGIN")
	is.NoErr(err)
	_, err = open.Exec(ctx, "INSERT INTO item (key, value) VALUES ('in transaction', '1')")
	is.NoErr(err)
	_, err = other.Exec(ctx, "BEGIN")
	is.NoErr(err)
	_, err = other.Exec(ctx, "UPDATE item SET value = '2' WHERE key = 'k'")
	is.NoErr(err)
	longDone := begin(ctx, long, "SELECT pg_sleep(1.5)")
	waitingDone := begin(ctx, waiting, "UPDATE item SET value = '3' WHERE key = 'k'")
	s.until("three connections are in use", func() bool { return s.busy(a) == 3 })

	is.NoErr(a.command.Process.Signal(syscall.SIGTERM))
	is.NoErr(a.command.Process.Signal(syscall.SIGTERM))
	s.until("the other instance hears of it", func() bool { return b.live() == 1 })
	s.until("new callers are refused", func() bool {
		c, err := s.connect(ctx, a)
		if err == nil {
			_ = c.Close(ctx)
		}
		return err != nil && strings.Contains(err.Error(), "57P01")
	})
	_, err = idle.Exec(ctx, "SELECT 1")
	is.Equal(state(err), "57P01")

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

// busy counts the endpoint connections on which an instance runs statements.
func (s *site) busy(p *instance) int {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// TestDrainLimit checks that the stated limit ends a stop that a transaction
// holds up, and says what it cut.
func TestDrainLimit(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s := newSite(t)
	s.startEndpoints()
	a := s.start("a", "a", `, "drain": "300ms"`)
	s.awaitMembers(1)
	s.submit(a, s.firstPatch())
	s.awaitVersion()
	open := s.mustConnect(ctx, a)
	defer open.Close(ctx) //nolint:errcheck // The connection is gone by then.
	_, err := open.Exec(ctx, "BEGIN")
	is.NoErr(err)
	is.NoErr(a.command.Process.Signal(syscall.SIGTERM))
	<-a.ended
	is.Equal(a.status, 0)
	log, err := os.ReadFile(a.log)
	is.NoErr(err)
	is.True(strings.Contains(string(log), `"event":105`))
	is.True(strings.Contains(string(log), `"transactions":1`))
}
