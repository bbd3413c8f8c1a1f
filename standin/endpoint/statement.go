package endpoint

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// verb is the kind of a statement.
type verb string

const (
	verbEmpty         verb = "empty"
	verbInsert        verb = "insert"
	verbSubmit        verb = "submit"
	verbDigest        verb = "digest"
	verbUpdate        verb = "update"
	verbDelete        verb = "delete"
	verbSelect        verb = "select"
	verbCount         verb = "count"
	verbOne           verb = "one"
	verbSleep         verb = "sleep"
	verbBegin         verb = "begin"
	verbBeginReadOnly verb = "begin read only"
	verbReadOnly      verb = "read only"
	verbCommit        verb = "commit"
	verbRollback      verb = "rollback"
	verbSet           verb = "set"
	verbDiscard       verb = "discard"
	verbDeallocate    verb = "deallocate"
	verbStatus        verb = "status"
	verbFence         verb = "fence"
	verbPromote       verb = "promote"
)

// forms lists the supported statements. In a form, a question mark stands for a
// value and a trailing asterisk for any tokens.
var forms = []struct {
	form string
	verb verb
	tag  string
}{
	{"INSERT INTO ITEM ( KEY , VALUE ) VALUES ( ? , ? )", verbInsert, "INSERT 0 1"},
	{"INSERT INTO ANVILTACK_SUBMISSION ( KEY ) VALUES ( ? ) ON CONFLICT DO NOTHING", verbSubmit, "INSERT 0 1"},
	{"INSERT INTO ANVILTACK_SUBMISSION ( KEY , DIGEST ) VALUES ( ? , ? ) ON CONFLICT DO NOTHING", verbSubmit, "INSERT 0 1"},
	{"SELECT DIGEST FROM ANVILTACK_SUBMISSION WHERE KEY = ?", verbDigest, "SELECT 1"},
	{"UPDATE ITEM SET VALUE = ? WHERE KEY = ?", verbUpdate, "UPDATE 1"},
	{"DELETE FROM ITEM WHERE KEY = ?", verbDelete, "DELETE 1"},
	{"SELECT VALUE FROM ITEM WHERE KEY = ?", verbSelect, "SELECT 1"},
	{"SELECT COUNT ( * ) FROM ITEM", verbCount, "SELECT 1"},
	{"SELECT PG_SLEEP ( ? )", verbSleep, "SELECT 1"},
	{"SELECT * FROM ANVILTACK_STATUS ( )", verbStatus, "SELECT 1"},
	{"SELECT * , ? FROM ANVILTACK_STATUS ( )", verbStatus, "SELECT 1"},
	{"SELECT * FROM ANVILTACK_FENCE ( ? )", verbFence, "SELECT 1"},
	{"SELECT * FROM ANVILTACK_PROMOTE ( ? )", verbPromote, "SELECT 1"},
	{"SELECT 1", verbOne, "SELECT 1"},
	{"BEGIN", verbBegin, "BEGIN"},
	{"BEGIN TRANSACTION", verbBegin, "BEGIN"},
	{"BEGIN READ WRITE", verbBegin, "BEGIN"},
	{"BEGIN READ ONLY", verbBeginReadOnly, "BEGIN"},
	{"BEGIN TRANSACTION READ ONLY", verbBeginReadOnly, "BEGIN"},
	{"START TRANSACTION", verbBegin, "START TRANSACTION"},
	{"START TRANSACTION READ WRITE", verbBegin, "START TRANSACTION"},
	{"START TRANSACTION READ ONLY", verbBeginReadOnly, "START TRANSACTION"},
	{"SET TRANSACTION READ ONLY", verbReadOnly, "SET"},
	{"COMMIT", verbCommit, "COMMIT"},
	{"COMMIT TRANSACTION", verbCommit, "COMMIT"},
	{"END", verbCommit, "COMMIT"},
	{"ROLLBACK", verbRollback, "ROLLBACK"},
	{"ROLLBACK TRANSACTION", verbRollback, "ROLLBACK"},
	{"ABORT", verbRollback, "ROLLBACK"},
	{"SET *", verbSet, "SET"},
	{"RESET *", verbSet, "RESET"},
	{"DISCARD ALL", verbDiscard, "DISCARD ALL"},
	{"DEALLOCATE ALL", verbDeallocate, "DEALLOCATE ALL"},
}

// column is one column of a result.
type column struct {
	name string
	oid  uint32
}

// statement is one parsed statement; its values are string literals or
// parameters.
type statement struct {
	verb   verb
	tag    string
	values []token
	// parameters is the highest parameter number.
	parameters int
}

// parse splits a query string into statements.
func parse(query string) ([]statement, error) {
	scanned, err := scan(query)
	if err != nil {
		return nil, err
	}
	out := make([]statement, 0, len(scanned))
	for _, tokens := range scanned {
		s, err := parseStatement(tokens)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

func parseStatement(tokens []token) (statement, error) {
	for _, f := range forms {
		values, ok := matchForm(strings.Fields(f.form), tokens)
		if !ok {
			continue
		}
		s := statement{verb: f.verb, tag: f.tag, values: values}
		for _, v := range values {
			if v.kind != tokenParameter {
				continue
			}
			n, err := strconv.Atoi(v.text)
			if err != nil || n < 1 {
				return statement{}, newSQLError(stateSyntax, "invalid parameter number $%s", v.text)
			}
			s.parameters = max(s.parameters, n)
		}
		return s, nil
	}
	return statement{}, newSQLError(stateSyntax, "the stand-in does not support this statement")
}

func matchForm(form []string, tokens []token) ([]token, bool) {
	var values []token
	for i, f := range form {
		if f == "*" && i == len(form)-1 {
			return values, len(tokens) > i
		}
		if i >= len(tokens) {
			return nil, false
		}
		t := tokens[i]
		switch {
		case f == "?" && t.kind != tokenSymbol:
			values = append(values, t)
		case t.kind == tokenString || t.kind == tokenParameter || t.text != f:
			return nil, false
		}
	}
	return values, len(form) == len(tokens)
}

// bind returns the values of a statement with its parameters filled in.
func (s statement) bind(arguments []string) ([]string, error) {
	if len(arguments) != s.parameters {
		return nil, newSQLError(stateProtocol, "statement has %d parameters, %d given", s.parameters, len(arguments))
	}
	out := make([]string, len(s.values))
	for i, v := range s.values {
		out[i] = v.text
		if v.kind == tokenParameter {
			n, _ := strconv.Atoi(v.text)
			out[i] = arguments[n-1]
		}
	}
	return out, nil
}

// columns returns the columns of the result, or nil if it has none.
func (s statement) columns() []column {
	switch s.verb {
	case verbSelect:
		return []column{{"value", pgtype.TextOID}}
	case verbDigest:
		return []column{{"digest", pgtype.TextOID}}
	case verbCount:
		return []column{{"count", pgtype.Int8OID}}
	case verbOne:
		return []column{{"?column?", pgtype.Int4OID}}
	case verbSleep:
		return []column{{"pg_sleep", pgtype.TextOID}}
	case verbStatus, verbFence, verbPromote:
		columns := []column{
			{"role", pgtype.TextOID},
			{"fence", pgtype.TextOID},
			{"term", pgtype.TextOID},
			{"received", pgtype.TextOID},
			{"applied", pgtype.TextOID},
			{"last_term", pgtype.TextOID},
			{"last_position", pgtype.TextOID},
		}
		if s.verb == verbStatus && len(s.values) > 0 {
			columns = append(columns, column{"?column?", pgtype.TextOID})
		}
		return columns
	}
	return nil
}

// isControl reports whether the statement reads the status, raises the fence or
// promotes; these statements need no slot.
func (s statement) isControl() bool {
	return s.verb == verbStatus || s.verb == verbFence || s.verb == verbPromote
}

// isSessionCommand reports whether the statement only starts or ends a
// transaction or changes the session; it does no work of its own.
func (s statement) isSessionCommand() bool {
	switch s.verb {
	case verbBegin, verbBeginReadOnly, verbReadOnly, verbCommit, verbRollback, verbSet, verbDiscard, verbDeallocate:
		return true
	}
	return false
}

// isRead reports whether the statement reads rows.
func (s statement) isRead() bool {
	return s.verb == verbSelect || s.verb == verbCount
}
