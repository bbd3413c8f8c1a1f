package instance

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"anviltack/core"
	"anviltack/io/caller"
)

// newSessionPair returns a registered session, without its goroutine, and its caller's end.
func newSessionPair(t *testing.T, entries *sessions) (*session, net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	s := &session{conn: caller.NewConn(near, 1<<20)}
	var err error
	if s.sessionEntry, err = entries.register(10, s.conn); err != nil {
		t.Fatal(err)
	}
	return s, far
}

// TestCutSessionsGetAFinalAnswer guards against a drain limit that leaves a statement without a
// final answer, and against one that says that nothing ran of a statement that may have.
func TestCutSessionsGetAFinalAnswer(t *testing.T) {
	for _, c := range []struct {
		name                    string
		isBusy, isInTransaction bool
		code                    string
	}{
		{"running", true, false, "AT3001"},
		{"running in a transaction", true, true, "AT3001"},
		{"idle in a transaction", false, true, "AT2004"},
		{"idle", false, false, "AT2004"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			entries := newSessions()
			s, far := newSessionPair(t, entries)
			s.setIdle(c.isInTransaction)
			if c.isBusy {
				is.True(s.setBusy())
			}
			answer := make(chan []byte, 1)
			go func() {
				b, _ := io.ReadAll(far)
				answer <- b
			}()
			running, inTransaction := entries.cutAll()
			is.Equal(running, count(c.isBusy))
			is.Equal(inTransaction, count(!c.isBusy && c.isInTransaction))
			is.True(!s.setBusy()) // a request that arrives now does not run

			s.conn.Send(&pgproto3.CommandComplete{CommandTag: []byte("late")})
			is.True(errors.Is(s.conn.Flush(), net.ErrClosed)) // nothing follows the final answer
			s.conn.End(core.NewError(core.CodeDraining, "second"))
			s.conn.Close()
			got := <-answer
			is.True(bytes.Contains(got, []byte(c.code)))
			is.Equal(bytes.Count(got, []byte("FATAL")), 2) // the severity and its unlocalized form
			is.True(!bytes.Contains(got, []byte("late")))
		})
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestCutIsBoundedByEndTimeout guards against a caller that does not read holding up the end of
// a planned stop.
func TestCutIsBoundedByEndTimeout(t *testing.T) {
	is := is.New(t)
	entries := newSessions()
	s, _ := newSessionPair(t, entries)
	is.True(s.setBusy())
	flushed := make(chan error, 1)
	s.conn.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	go func() { flushed <- s.conn.Flush() }()
	done := make(chan struct{})
	go func() {
		entries.cutAll()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the cut did not end")
	}
	is.True(<-flushed != nil)
}
