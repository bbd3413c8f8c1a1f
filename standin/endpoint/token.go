package endpoint

import "strings"

// tokenKind says what a token is.
type tokenKind string

const (
	tokenWord      tokenKind = "word"
	tokenString    tokenKind = "string"
	tokenParameter tokenKind = "parameter"
	tokenSymbol    tokenKind = "symbol"
)

// token is one token of a statement. The text of a word is in upper case, that
// of a string is unquoted.
type token struct {
	kind tokenKind
	text string
}

// scan splits a query string into statements of tokens and skips comments.
func scan(query string) ([][]token, error) {
	var all [][]token
	var current []token
	for rest := query; ; {
		rest = skipSpace(rest)
		if rest == "" {
			break
		}
		if rest[0] == ';' {
			all = appendStatement(all, current)
			current = nil
			rest = rest[1:]
			continue
		}
		t, size, err := nextToken(rest)
		if err != nil {
			return nil, err
		}
		current = append(current, t)
		rest = rest[size:]
	}
	return appendStatement(all, current), nil
}

func appendStatement(all [][]token, current []token) [][]token {
	if len(current) == 0 {
		return all
	}
	return append(all, current)
}

// skipSpace drops white space and comments from the start of a query string.
func skipSpace(s string) string {
	for {
		s = strings.TrimLeft(s, " \t\r\n")
		end := ""
		switch {
		case strings.HasPrefix(s, "/*"):
			end = "*/"
		case strings.HasPrefix(s, "--"):
			end = "\n"
		default:
			return s
		}
		_, after, found := strings.Cut(s[2:], end)
		if !found {
			return ""
		}
		s = after
	}
}

func nextToken(s string) (token, int, error) {
	switch {
	case s[0] == '\'':
		return nextString(s, false)
	case strings.HasPrefix(s, "E'"):
		t, size, err := nextString(s[1:], true)
		return t, size + 1, err
	case s[0] == '$':
		n := 1 + prefixLength(s[1:], isDigit)
		return token{kind: tokenParameter, text: s[1:n]}, n, nil
	case isWordByte(s[0]):
		n := prefixLength(s, isWordByte)
		return token{kind: tokenWord, text: strings.ToUpper(s[:n])}, n, nil
	}
	return token{kind: tokenSymbol, text: s[:1]}, 1, nil
}

// nextString reads a string; in an escaped one, a backslash stands before a character that has no
// meaning of its own.
func nextString(s string, isEscaped bool) (token, int, error) {
	var b strings.Builder
	for i := 1; i < len(s); i++ {
		if isEscaped && s[i] == '\\' && i+1 < len(s) {
			i++
			b.WriteByte(s[i])
			continue
		}
		if s[i] != '\'' {
			b.WriteByte(s[i])
			continue
		}
		if i+1 < len(s) && s[i+1] == '\'' {
			b.WriteByte('\'')
			i++
			continue
		}
		return token{kind: tokenString, text: b.String()}, i + 1, nil
	}
	return token{}, 0, newSQLError(stateSyntax, "unterminated quoted string")
}

func prefixLength(s string, is func(byte) bool) int {
	for i := range len(s) {
		if !is(s[i]) {
			return i
		}
	}
	return len(s)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordByte(c byte) bool {
	return isDigit(c) || c == '_' || c == '.' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}
