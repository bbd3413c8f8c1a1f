package instance

import (
	"net/url"
	"strings"
	"time"

	"anviltack/core"
)

// The names of attributes in a trailing comment and, prefixed with
// "anviltack.", of session parameters.
const (
	nameKind       = "kind"
	nameSubmission = "submission"
	nameDeadline   = "deadline"
	nameMark       = "mark"

	parameterPrefix = "anviltack."
)

// maxSubmissionBytes is the maximum length of a submission key.
const maxSubmissionBytes = 200

// annotation holds the attributes that a caller sets for one statement.
type annotation struct {
	// kind is the kind of read; empty for every statement that may write.
	kind core.Kind
	// submission is the key of a statement that runs at most once; empty for
	// none.
	submission string
	// deadline is how long the statement may take; zero for the default.
	deadline time.Duration
}

// parseAnnotation reads the attributes in a statement's trailing comment, in
// the format of sqlcommenter: /*name='value',name='value'*/. Attributes that
// are missing there are taken from base; unknown names are ignored.
func parseAnnotation(sql string, base annotation) (annotation, *core.Error) {
	a := base
	_, comment := cutComment(sql)
	for _, pair := range strings.Split(comment, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok || !isAttribute(name) {
			continue
		}
		decoded, ok := decodeAttribute(value)
		if !ok {
			return base, core.NewError(core.CodeBadParameter, "the value of %s is not quoted and URL-encoded", name)
		}
		if e := a.set(name, decoded); e != nil {
			return base, e
		}
	}
	return a, nil
}

func isAttribute(name string) bool {
	return name == nameKind || name == nameSubmission || name == nameDeadline
}

// decodeAttribute returns the value that a text stands for. The text is not valid if it has a
// quote at one end only, as a value with a comma has that is not URL-encoded, or stands for a
// value with a zero byte, which ends a text in a message.
func decodeAttribute(text string) (string, bool) {
	if quoted, ok := strings.CutPrefix(text, "'"); ok {
		if text, ok = strings.CutSuffix(quoted, "'"); !ok {
			return "", false
		}
	}
	if strings.Trim(text, "'") != text {
		return "", false
	}
	value, err := url.PathUnescape(text)
	return value, err == nil && !strings.ContainsRune(value, 0)
}

// cutComment splits a statement into its text and the content of its trailing
// comment.
func cutComment(sql string) (statement, comment string) {
	text := strings.TrimRight(sql, " \t\r\n;")
	start := strings.LastIndex(text, "/*")
	if start < 0 || !strings.HasSuffix(text[start+2:], "*/") {
		return text, ""
	}
	return strings.TrimRight(text[:start], " \t\r\n;"), text[start+2 : len(text)-2]
}

// set sets one attribute; unknown names are ignored.
func (a *annotation) set(name, value string) *core.Error {
	switch name {
	case nameKind:
		a.kind = core.Kind(value)
	case nameSubmission:
		if len(value) > maxSubmissionBytes {
			return core.NewError(core.CodeBadParameter, "a submission key has at most %d bytes", maxSubmissionBytes)
		}
		a.submission = value
	case nameDeadline:
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 {
			return core.NewError(core.CodeBadParameter, "a deadline must be a positive duration, such as '500ms'")
		}
		a.deadline = d
	}
	return nil
}
