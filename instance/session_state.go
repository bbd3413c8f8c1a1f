package instance

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"anviltack/core"
)

const (
	// resetStatement restores what SET changes; RESET ALL excludes the user and the role.
	resetStatement = "RESET SESSION AUTHORIZATION; RESET ROLE; RESET ALL"
	// maxSettings is the maximum number of SET and RESET statements that one
	// session may accumulate.
	maxSettings = 50
)

// sessionState holds the run-time parameters that a caller set for its session;
// they are set on every connection before it runs the session's statements.
type sessionState struct {
	// key identifies the state; it is empty if the session set nothing.
	key        string
	statements []string
}

// beginReadOnly is the prepared statement that begins the transaction of a read.
var beginReadOnly = newBeginReadOnly()

func newBeginReadOnly() *prepared {
	p := &prepared{name: "anviltack_begin", sql: beginReadOnlyStatement}
	p.encoded = encodeFixed(&pgproto3.Parse{Name: p.name, Query: p.sql})
	return p
}

// isSetStatement reports whether a statement is a SET or RESET of a run-time
// parameter for the session. SET LOCAL and SET TRANSACTION are not, because they
// end with their transaction.
func isSetStatement(sql string) bool {
	words := strings.Fields(strings.ToLower(sql))
	if len(words) < 2 {
		return false
	}
	switch words[0] {
	case "reset":
		return true
	case "set":
		return words[1] != "local" && words[1] != "transaction" && words[1] != "constraints"
	}
	return false
}

// add returns the state after one more statement.
func (s sessionState) add(sql string) (sessionState, *core.Error) {
	if len(s.statements) >= maxSettings {
		return s, core.NewError(core.CodeTooLarge, "more than %d settings in one session", maxSettings)
	}
	statements := append(append([]string(nil), s.statements...), sql)
	return sessionState{key: strings.Join(statements, "\x00"), statements: statements}, nil
}
