package instance

import "strings"

// statelessKeywords are the first words of statements that do not change the
// session state, unless a function in them does.
var statelessKeywords = []string{
	"", "select", "insert", "update", "delete", "with", "values", "begin", "start", "commit", "end", "rollback",
	"abort", "savepoint", "release", "fetch", "close", "explain", "show", "table",
}

// statefulNameParts are parts of names that mark a statement as changing the
// session state, whatever its first word is.
var statefulNameParts = []string{"set_config", "advisory", "temp", "declare", "setseed", "dblink"}

// mayAlter reports whether an SQL text may change the session state at the
// endpoint in a way that is not tracked by sessionState.
func mayAlter(sql string) bool {
	for _, part := range statefulNameParts {
		if containsFold(sql, part) {
			return true
		}
	}
	for more := true; more; {
		var statement string
		statement, sql, more = strings.Cut(sql, ";")
		if !isStateless(firstWord(statement)) {
			return true
		}
	}
	return false
}

func isStateless(word string) bool {
	for _, k := range statelessKeywords {
		if strings.EqualFold(word, k) {
			return true
		}
	}
	return false
}

// containsFold reports whether s contains part, which is in lower case,
// ignoring case.
func containsFold(s, part string) bool {
	for i := 0; i+len(part) <= len(s); i++ {
		if s[i]|0x20 == part[0] && strings.EqualFold(s[i:i+len(part)], part) {
			return true
		}
	}
	return false
}

// firstWord returns the leading letters of a statement after whitespace,
// opening brackets and comments, or "other" if it starts with something else.
func firstWord(s string) string {
	for {
		s = strings.TrimLeft(s, " \t\r\n(")
		if rest, ok := strings.CutPrefix(s, "/*"); ok {
			_, s, _ = strings.Cut(rest, "*/")
			continue
		}
		if rest, ok := strings.CutPrefix(s, "--"); ok {
			s = afterLine(rest)
			continue
		}
		end := strings.IndexFunc(s, func(r rune) bool { return r|0x20 < 'a' || r|0x20 > 'z' })
		switch {
		case end < 0:
			return s
		case end == 0:
			return "other"
		}
		return s[:end]
	}
}

// afterLine returns a text without its first line, which a CR ends too, as in PostgreSQL.
func afterLine(s string) string {
	i := strings.IndexAny(s, "\r\n")
	if i < 0 {
		return ""
	}
	return s[i+1:]
}

// mayAlter reports whether the pipeline may change the session state in a way
// that is not tracked. A lone SET is tracked outside a transaction.
func (pl *pipeline) mayAlter() bool {
	if pl.simple {
		isAlone := !strings.Contains(strings.TrimRight(pl.sql, "; \t\r\n"), ";")
		return mayAlter(pl.sql) && (!isAlone || !isSetStatement(pl.sql))
	}
	for _, st := range pl.steps {
		if st.statement != nil && mayAlter(st.statement.sql) {
			return true
		}
	}
	return false
}
