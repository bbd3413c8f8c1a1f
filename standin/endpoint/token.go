package endpoint

import "strings"

// tokenKind says what a token is.
type tokenKind string

const (
	tokenWord      tokenKind = "word"
	tokenText      tokenKind = "text"
	tokenParameter tokenKind = "parameter"
	tokenMark      tokenKind = "mark"
)

// token is one piece of a statement; a word is in upper case and a text holds
// the value without its quotes.
type token struct {
	kind tokenKind
	text string
}

// scan splits a query string into statements of tokens and passes over
// comments.
func scan(query string) ([][]token, error) {
	var all [][]token
	var current []token
	for rest := query; ; {
		rest = skipBlank(rest)
		if rest == "" {
			break
		}
		if rest[0] == ';' {
			all = appendStatement(all, current)
			current = nil
			rest = rest[1:]
			continue
		}
		t, size, err := next(rest)
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

// skipBlank drops blanks and comments from the start of a query string.
func skipBlank(s string) string {
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

func next(s string) (token, int, error) {
	switch {
	case s[0] == '\'':
		return nextText(s)
	case s[0] == '$':
		n := 1 + prefixLength(s[1:], isDigit)
		return token{kind: tokenParameter, text: s[1:n]}, n, nil
	case isWord(s[0]):
		n := prefixLength(s, isWord)
		return token{kind: tokenWord, text: strings.ToUpper(s[:n])}, n, nil
	}
	return token{kind: tokenMark, text: s[:1]}, 1, nil
}

func nextText(s string) (token, int, error) {
	var b strings.Builder
	for i := 1; i < len(s); i++ {
		if s[i] != '\'' {
			b.WriteByte(s[i])
			continue
		}
		if i+1 < len(s) && s[i+1] == '\'' {
			b.WriteByte('\'')
			i++
			continue
		}
		return token{kind: tokenText, text: b.String()}, i + 1, nil
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

func isWord(c byte) bool {
	return isDigit(c) || c == '_' || c == '.' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}
