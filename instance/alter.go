package instance

import "strings"

// harmless are the first words of statements that leave the session state as it
// was, unless a function in them changes it.
var harmless = map[string]bool{
	"select": true, "insert": true, "update": true, "delete": true, "with": true, "values": true, "table": true,
	"begin": true, "start": true, "commit": true, "end": true, "rollback": true, "abort": true,
	"savepoint": true, "release": true, "fetch": true, "close": true, "explain": true, "show": true, "": true,
}

// suspicious are parts of names by which a harmless first word changes the
// session state after all.
var suspicious = []string{"set_config", "advisory", "temp", "declare", "setseed", "dblink"}

// mayAlter reports whether a text may change the session state at the endpoint in
// a way that is not tracked here.
func mayAlter(sql string) bool {
	lower := strings.ToLower(sql)
	for _, s := range suspicious {
		if strings.Contains(lower, s) {
			return true
		}
	}
	for _, statement := range strings.Split(lower, ";") {
		if !harmless[firstWord(statement)] {
			return true
		}
	}
	return false
}

// firstWord returns the leading letters of a statement behind blanks, opening
// brackets and comments.
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
		end := strings.IndexFunc(s, func(r rune) bool { return r < 'a' || r > 'z' })
		if end < 0 {
			return s
		}
		if end == 0 && s != "" {
			return "other"
		}
		return s[:end]
	}
}

// mayAlter reports whether the unit may change the session state untracked.
func (u *unit) mayAlter() bool {
	if u.simple {
		return !isSet(u.sql) && mayAlter(u.sql) || isSet(u.sql) && strings.Contains(strings.TrimRight(u.sql, "; \t\r\n"), ";")
	}
	for _, st := range u.steps {
		if st.statement != nil && mayAlter(st.statement.sql) {
			return true
		}
	}
	return false
}
