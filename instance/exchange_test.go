package instance

import (
	"strconv"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"anviltack/core"
	"anviltack/io/caller"
	"anviltack/io/endpoint"
)

// TestPreparedStatementsAreBounded gathers prepared statements on one connection.
func TestPreparedStatementsAreBounded(t *testing.T) {
	is := is.New(t)
	c := &endpoint.Conn{NamedStatements: make(map[string]struct{})}
	x := newExchange(c, caller.NewConn(&sink{}, 1<<10))
	for i := range maxNamed - 1 {
		x.parse(&prepared{name: strconv.Itoa(i)}, true)
	}
	is.True(!c.Altered)
	x.parse(&prepared{name: "0"}, true)
	is.True(!c.Altered)
	x.parse(&prepared{name: "last"}, true)
	is.True(c.Altered)
}

// TestUnnamedStatementIsKnownByItsWholeMessage prepares one text with two sets of
// parameter types.
func TestUnnamedStatementIsKnownByItsWholeMessage(t *testing.T) {
	is := is.New(t)
	c := &endpoint.Conn{NamedStatements: make(map[string]struct{})}
	x := newExchange(c, caller.NewConn(&sink{}, 1<<10))
	x.parse(&prepared{sql: "SELECT $1", encoded: []byte("text")}, true)
	x.parse(&prepared{sql: "SELECT $1", encoded: []byte("text")}, false)
	is.Equal(len(x.replies), 1)
	x.parse(&prepared{sql: "SELECT $1", encoded: []byte("integer")}, false)
	is.Equal(len(x.replies), 2)
}

// TestUnitIsBounded sends one batch after the other without Sync.
func TestUnitIsBounded(t *testing.T) {
	is := is.New(t)
	s := &session{prepared: make(map[string]*prepared)}
	u := &unit{}
	large := &pgproto3.Parse{Query: strings.Repeat("x", maxPreparedBytes)}
	s.addStep(u, large)
	is.Equal(u.fault.Code, core.CodeTooLarge)
	is.Equal(len(s.prepared), 0)
	u = &unit{}
	s.addStep(u, &pgproto3.Parse{Query: "SELECT $1"})
	values := &pgproto3.Bind{Parameters: [][]byte{make([]byte, maxUnitBytes/2)}}
	s.addStep(u, values)
	is.True(u.fault == nil)
	s.addStep(u, values)
	is.Equal(u.fault.Code, core.CodeTooLarge)
	steps := len(u.steps)
	s.addStep(u, &pgproto3.Execute{})
	is.Equal(len(u.steps), steps)
}
