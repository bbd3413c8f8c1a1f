package instance

import (
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"anviltack/core"
	"anviltack/core/group"
	"anviltack/core/mark"
	"anviltack/core/patch"
	"anviltack/core/pool"
	"anviltack/io/caller"
	"anviltack/settings"
)

// answerFunc returns the answer of a scripted primary to a simple query; without one the primary
// closes the connection.
type answerFunc func(sql string) []pgproto3.BackendMessage

// answerTag returns the answer to a query that succeeded.
func answerTag(tag string, status byte) []pgproto3.BackendMessage {
	return []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte(tag)}, &pgproto3.ReadyForQuery{TxStatus: status}}
}

// answerStatus returns the answer to a status request of a primary at (1, 50).
func answerStatus(sql string, status byte) []pgproto3.BackendMessage {
	number, _, _ := strings.Cut(strings.TrimPrefix(sql, "SELECT *, "), " ")
	row := &pgproto3.DataRow{}
	for _, v := range []string{"primary", "1", "1", "50", "50", "1", "50", number} {
		row.Values = append(row.Values, []byte(v))
	}
	return append([]pgproto3.BackendMessage{&pgproto3.RowDescription{}, row}, answerTag("SELECT 1", status)...)
}

// serve answers the queries of one connection.
func (f answerFunc) serve(nc net.Conn) {
	defer nc.Close() //nolint:errcheck // The connection is not used again.
	b := pgproto3.NewBackend(nc, nc)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for b.Flush() == nil {
		m, err := b.Receive()
		q, ok := m.(*pgproto3.Query)
		if err != nil || !ok {
			return
		}
		answer := f(q.String)
		if answer == nil {
			return
		}
		for _, a := range answer {
			b.Send(a)
		}
	}
}

// newWriter returns a session whose group has one member, a scripted primary in term 1, and the
// caller's end of the session.
func newWriter(t *testing.T, f answerFunc) (*session, *sink) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(nc)
		}
	}()
	in := New(settings.Settings{Answer: time.Hour, Connect: time.Minute, User: "anviltack"})
	in.control = newControl(in, in.supervisor("samplers"))
	config := patch.Endpoint{Address: netip.MustParseAddrPort(l.Addr().String()), Slots: 3, Connections: 20}
	m := &Member{
		Name: "p", Slots: config.Slots, Status: core.Status{Role: core.RolePrimary, Fence: 1, Term: 1, Received: 50, Applied: 50},
		pool: newEndpointPool(in, "p", config), readStats: newReadStats(),
	}
	t.Cleanup(m.pool.close)
	awaitUsableSlots(t, m.pool)
	c, e := m.pool.acquire(admissionRequest{deadline: time.Now().Add(time.Minute), work: pool.WorkWrite})
	if e != nil {
		t.Fatal(e)
	}
	m.pool.release(c, true)
	g := &Group{Name: "g", notifyWaiting: func() {}}
	g.publish(&GroupState{Term: 1, Primary: "p", Members: map[core.Endpoint]*Member{"p": m}, Availability: group.Availability{Serving: true, Replicating: true}})
	out := &sink{}
	s := &session{
		sessionEntry: &sessionEntry{}, instance: in, group: g, login: caller.Login{Database: "index"},
		conn: caller.NewConn(out, 1<<20), marks: mark.New(time.Now()), reads: readState{router: in.newRouter()},
	}
	return s, out
}

// losePrimary publishes that the session's group has no primary and will not have one soon.
func losePrimary(s *session) {
	state := *s.group.State()
	state.Primary, state.Availability = "", group.Availability{Since: time.Now().Add(-time.Hour)}
	s.group.publish(&state)
}

// query returns a pipeline of one simple query.
func query(sql string, a annotation) *pipeline {
	now := time.Now()
	return &pipeline{simple: true, sql: sql, executions: 1, arrived: now, deadline: now.Add(10 * time.Second), annotation: a}
}

// TestSubmissionThatMayHaveRunIsNotRefused guards against a refusal, which says that nothing ran,
// of a submission whose first attempt was lost while it was committed and whose second attempt
// found no primary or could not store the key.
func TestSubmissionThatMayHaveRunIsNotRefused(t *testing.T) {
	const insertKey, diskFull = "INSERT INTO anviltack_submission", "53100"
	for _, c := range []struct {
		name, lostAt string
		// keepsPrimary is true if the second attempt finds a primary, which cannot store the key.
		keepsPrimary bool
		code         string
	}{
		{"lost before the statement was sent", insertKey, false, "AT2002"},
		{"lost after the commit was sent", commitStatement, false, "AT3001"},
		{"key not stored after the commit was sent", commitStatement, true, "AT3001"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s *session
			var lost atomic.Bool
			s, out := newWriter(t, func(sql string) []pgproto3.BackendMessage {
				switch {
				case strings.HasPrefix(sql, c.lostAt) && !lost.Swap(true):
					if !c.keepsPrimary {
						losePrimary(s)
					}
					return nil
				case strings.HasPrefix(sql, insertKey) && lost.Load():
					return []pgproto3.BackendMessage{&pgproto3.ErrorResponse{Code: diskFull}, &pgproto3.ReadyForQuery{TxStatus: 'E'}}
				case sql == beginStatement:
					return answerTag(beginStatement, 'T')
				case strings.HasPrefix(sql, "INSERT"):
					return answerTag("INSERT 0 1", 'T')
				case sql == rollbackStatement:
					return answerTag(rollbackTag, 'I')
				}
				return answerStatus(sql, 'I')
			})
			is.NoErr(s.serveWrite(query("INSERT INTO item (key, value) VALUES ('a', '1')", annotation{submission: "s"})))
			is.True(strings.Contains(string(out.last), c.code))
		})
	}
}

// openTransaction opens a transaction of a session by a statement.
func openTransaction(t *testing.T, s *session) {
	t.Helper()
	if err := s.servePipeline(query(beginStatement, annotation{})); err != nil {
		t.Fatal(err)
	}
	if s.transaction == nil {
		t.Fatal("no transaction is open")
	}
}

// TestTransactionThatMayHaveRunIsNotRefused guards against a refusal that says that no change of a
// transaction took effect although its commit, in the same pipeline as a later write, did before
// the primary was replaced.
func TestTransactionThatMayHaveRunIsNotRefused(t *testing.T) {
	for _, c := range []struct {
		name, sql, code string
		answer          []pgproto3.BackendMessage
	}{
		{
			"write", "UPDATE item SET value = '1' WHERE key = 'a'", "AT2008",
			[]pgproto3.BackendMessage{&pgproto3.ErrorResponse{Code: sqlStateReadOnly}, &pgproto3.ReadyForQuery{TxStatus: 'E'}},
		},
		{
			"read and write", "SELECT 1; UPDATE item SET value = '1' WHERE key = 'a'", "AT2008",
			[]pgproto3.BackendMessage{
				&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
				&pgproto3.ErrorResponse{Code: sqlStateReadOnly}, &pgproto3.ReadyForQuery{TxStatus: 'E'},
			},
		},
		{
			"commit and write", "COMMIT; UPDATE item SET value = '1' WHERE key = 'a'", "AT3001",
			[]pgproto3.BackendMessage{
				&pgproto3.CommandComplete{CommandTag: []byte(commitStatement)},
				&pgproto3.ErrorResponse{Code: sqlStateReadOnly}, &pgproto3.ReadyForQuery{TxStatus: 'I'},
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s *session
			s, out := newWriter(t, func(sql string) []pgproto3.BackendMessage {
				switch sql {
				case beginStatement:
					return answerTag(beginStatement, 'T')
				case c.sql:
					state := *s.group.State()
					state.Term = 2
					s.group.publish(&state)
					return c.answer
				}
				return answerStatus(sql, 'T')
			})
			openTransaction(t, s)
			pl := query(c.sql, annotation{})
			pl.deadline = pl.arrived.Add(time.Second)
			err := s.servePipeline(pl)
			answer := string(out.last)
			if err != nil {
				answer = err.Error()
			}
			is.True(strings.Contains(answer, c.code))
		})
	}
}

// TestRefusedParameterKeepsTheTransaction guards against a refusal in a transaction that says that
// no transaction is open, after which the caller's next statement would still run in it.
func TestRefusedParameterKeepsTheTransaction(t *testing.T) {
	is := is.New(t)
	s, out := newWriter(t, func(sql string) []pgproto3.BackendMessage {
		if sql == beginStatement {
			return answerTag(beginStatement, 'T')
		}
		return answerStatus(sql, 'T')
	})
	openTransaction(t, s)
	is.NoErr(s.servePipeline(query("SET anviltack.deadline = 'never'", annotation{})))
	is.True(strings.Contains(string(out.last), "AT4004"))
	is.True(s.transaction != nil)
	is.Equal(out.last[len(out.last)-1], byte('T')) // the status in ReadyForQuery
}

// TestCommitThatOpensATransactionIsConfirmed guards against a commit that is acknowledged before a
// majority holds it, because its pipeline ends in another transaction or in a rollback.
func TestCommitThatOpensATransactionIsConfirmed(t *testing.T) {
	for _, c := range []struct {
		sql    string
		status byte
		tags   []string
	}{
		{"COMMIT AND CHAIN", 'T', []string{commitStatement}},
		{"COMMIT; BEGIN", 'T', []string{commitStatement, beginStatement}},
		{"COMMIT; BEGIN; ROLLBACK", 'I', []string{commitStatement, beginStatement, rollbackTag}},
	} {
		t.Run(c.sql, func(t *testing.T) {
			is := is.New(t)
			s, out := newWriter(t, func(sql string) []pgproto3.BackendMessage {
				if sql == beginStatement {
					return answerTag(beginStatement, 'T')
				}
				if sql != c.sql {
					return answerStatus(sql, 'T')
				}
				var answer []pgproto3.BackendMessage
				for _, tag := range c.tags {
					answer = append(answer, &pgproto3.CommandComplete{CommandTag: []byte(tag)})
				}
				return append(answer, &pgproto3.ReadyForQuery{TxStatus: c.status})
			})
			openTransaction(t, s)
			out.last = nil
			pl := query(c.sql, annotation{})
			pl.deadline = pl.arrived.Add(time.Second)
			err := s.servePipeline(pl)
			is.True(!strings.Contains(string(out.last), commitStatement)) // nothing confirmed it
			answer := string(out.last)
			if err != nil {
				answer = err.Error()
			}
			is.True(strings.Contains(answer, "AT3001"))
			s.end()

			confirmed := *s.group.State()
			confirmed.Confirmation = group.Confirmation{Term: 1, Position: 50, AsOf: time.Now().Add(time.Hour)}
			s.group.publish(&confirmed)
			openTransaction(t, s)
			is.NoErr(s.servePipeline(query(c.sql, annotation{})))
			is.True(strings.Contains(string(out.last), commitStatement))
			is.Equal(out.last[len(out.last)-1], c.status)
			is.Equal(s.transaction != nil, c.status == 'T')
		})
	}
}

// TestStreamedStatementIsNotRetried guards against rows that a caller gets twice, because a statement
// whose first rows were sent already was tried again after the primary was replaced.
func TestStreamedStatementIsNotRetried(t *testing.T) {
	is := is.New(t)
	const sql = "SELECT record(value) FROM item"
	var sent atomic.Int64
	s, out := newWriter(t, func(q string) []pgproto3.BackendMessage {
		if q != sql {
			answer := answerStatus(q, 'I')
			answer[1].(*pgproto3.DataRow).Values[0] = []byte("replica")
			return answer
		}
		sent.Add(1)
		return []pgproto3.BackendMessage{
			&pgproto3.RowDescription{}, &pgproto3.DataRow{Values: [][]byte{make([]byte, streamThreshold)}},
			&pgproto3.ErrorResponse{Code: sqlStateReadOnly}, &pgproto3.ReadyForQuery{TxStatus: 'I'},
		}
	})
	is.NoErr(s.serveWrite(query(sql, annotation{})))
	is.Equal(sent.Load(), int64(1))
	is.True(strings.Contains(string(out.last), sqlStateReadOnly))
}

// TestCommitInASubmissionIsConfirmed guards against a commit inside a submission that is
// acknowledged before a majority holds it, or refused, because what follows it was rolled back.
func TestCommitInASubmissionIsConfirmed(t *testing.T) {
	const sql = "COMMIT; BEGIN; INSERT INTO item (key, value) VALUES ('a', '1')"
	const duplicate = "23505"
	tags := []pgproto3.BackendMessage{
		&pgproto3.CommandComplete{CommandTag: []byte(commitStatement)}, &pgproto3.CommandComplete{CommandTag: []byte(beginStatement)},
	}
	for _, c := range []struct {
		name           string
		answer, commit []pgproto3.BackendMessage
	}{
		{
			"statement failed",
			append(slices.Clone(tags), &pgproto3.ErrorResponse{Code: duplicate}, &pgproto3.ReadyForQuery{TxStatus: 'E'}),
			answerTag(rollbackTag, 'I'),
		},
		{
			"last commit failed",
			append(slices.Clone(tags), answerTag("INSERT 0 1", 'T')...),
			[]pgproto3.BackendMessage{&pgproto3.ErrorResponse{Code: duplicate}, &pgproto3.ReadyForQuery{TxStatus: 'I'}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, out := newWriter(t, func(q string) []pgproto3.BackendMessage {
				switch {
				case q == sql:
					return c.answer
				case q == commitStatement:
					return c.commit
				case q == beginStatement:
					return answerTag(beginStatement, 'T')
				case strings.HasPrefix(q, "INSERT INTO anviltack_submission"):
					return answerTag("INSERT 0 1", 'T')
				}
				return answerStatus(q, 'I')
			})
			pl := query(sql, annotation{submission: "s"})
			pl.deadline = pl.arrived.Add(time.Second)
			is.NoErr(s.serveWrite(pl))
			is.True(!strings.Contains(string(out.last), commitStatement)) // nothing confirmed it
			is.True(strings.Contains(string(out.last), "AT3001"))
		})
	}
}

// TestWriteBehindASettingIsNotReplayed guards against a write that is acknowledged before a majority
// holds it, and repeated on other connections, because a SET stands before it in the same query.
func TestWriteBehindASettingIsNotReplayed(t *testing.T) {
	is := is.New(t)
	const sql = "SET work_mem = '1MB'; INSERT INTO item (key, value) VALUES ('a', '1')"
	s, out := newWriter(t, func(q string) []pgproto3.BackendMessage {
		if q == sql {
			return []pgproto3.BackendMessage{
				&pgproto3.CommandComplete{CommandTag: []byte("SET")}, &pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")},
				&pgproto3.ReadyForQuery{TxStatus: 'I'},
			}
		}
		return answerStatus(q, 'I')
	})
	pl := query(sql, annotation{})
	pl.deadline = pl.arrived.Add(time.Second)
	is.NoErr(s.serveWrite(pl))
	is.Equal(len(s.state.statements), 0)
	is.True(strings.Contains(string(out.last), "AT3001")) // nothing confirmed it
}
