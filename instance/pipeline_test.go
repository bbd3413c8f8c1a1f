package instance

import (
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"anviltack/core"
	"anviltack/io/caller"
)

// readMessages returns the pipeline that a session reads from a caller's messages.
func readMessages(t *testing.T, messages ...pgproto3.FrontendMessage) (*pipeline, error) {
	t.Helper()
	near, far := net.Pipe()
	defer near.Close() //nolint:errcheck // The connection is not used again.
	conn := caller.NewConn(near, 1<<20)
	go func() { _, _ = far.Read(make([]byte, 1<<10)) }()
	if err := conn.CompleteStartup(caller.CancelKey{}, nil); err != nil {
		t.Fatal(err)
	}
	go func() {
		var b []byte
		for _, m := range messages {
			b, _ = m.Encode(b)
		}
		_, _ = far.Write(b)
		_ = far.Close()
	}()
	s := &session{sessionEntry: &sessionEntry{setReadDeadline: func(time.Time) {}}, conn: conn, prepared: make(map[string]*prepared)}
	return s.readPipeline()
}

// TestQueryBeforeSyncIsRefused guards against statements that are dropped without an answer,
// because a simple query follows them before their Sync.
func TestQueryBeforeSyncIsRefused(t *testing.T) {
	is := is.New(t)
	insert := &pgproto3.Parse{Query: "INSERT INTO item (key, value) VALUES ('a', '1')"}
	pl, err := readMessages(t, insert, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Query{String: "SELECT 1"})
	is.NoErr(err)
	is.True(pl.err != nil)
	is.Equal(pl.err.Code, core.CodeUnsupported)

	pl, err = readMessages(t, &pgproto3.Query{String: "SELECT 1"})
	is.NoErr(err)
	is.True(pl.err == nil)
}
