package instance

import "strings"

// harmless are the first words of statements that leave the session state as it
// was, unless a function in them changes it.
var harmless = []string{
	"", "select", "insert", "update", "delete", "with", "values", "begin", "start", "commit", "end", "rollback",
	"abort", "savepoint", "release", "fetch", "close", "explain", "show", "table",
}

// suspicious are parts of names by which a harmless first word changes the
// session state after all.
var suspicious = []string{"set_config", "advisory", "temp", "declare", "setseed", "dblink"}

// mayAlter reports whether a text may change the session state at the endpoint in
// a way that is not tracked here.
func mayAlter(sql string) bool {
	for _, s := range suspicious {
		if containsFold(sql, s) {
			return true
		}
	}
	for more := true; more; {
		var statement string
		statement, sql, more = strings.Cut(sql, ";")
		if !isHarmless(firstWord(statement)) {
			return true
		}
	}
	return false
}

func isHarmless(word string) bool {
	for _, h := range harmless {
		if strings.EqualFold(word, h) {
			return true
		}
	}
	return false
}

// containsFold reports whether s holds a part in lower case, in any case.
func containsFold(s, part string) bool {
	for i := 0; i+len(part) <= len(s); i++ {
		if s[i]|0x20 == part[0] && strings.EqualFold(s[i:i+len(part)], part) {
			return true
		}
	}
	return false
}

// firstWord returns the leading letters of a statement behind blanks, opening
// brackets and comments, and "other" for one that starts with something else.
func firstWord(s string) string {
	for {
		s = strings.TrimLeft(s, " \t\r\n(")
		if rest, ok := strings.CutPrefix(s, "/*"); ok {
			_, s, _ = strings.Cut(rest, "*/")
			continue
		}
		if rest, ok := strings.CutPrefix(s, "--"); ok {
			_, s, _ = strings.Cut(rest, "\n")
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

// mayAlter reports whether the unit may change the session state untracked.
func (u *unit) mayAlter() bool {
	if u.simple {
		isAlone := !strings.Contains(strings.TrimRight(u.sql, "; \t\r\n"), ";")
		return mayAlter(u.sql) && (!isAlone || !isSet(u.sql))
	}
	for _, st := range u.steps {
		if st.statement != nil && mayAlter(st.statement.sql) {
			return true
		}
	}
	return false
}
