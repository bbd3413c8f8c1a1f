package instance

import (
	"net/url"
	"strings"
	"time"

	"anviltack/core"
)

// The names that a caller may state in a trailing comment or, prefixed with
// "anviltack.", as a session parameter.
const (
	nameKind       = "kind"
	nameSubmission = "submission"
	nameDeadline   = "deadline"
	nameMark       = "mark"

	parameterPrefix = "anviltack."
)

// maxSubmissionBytes bounds a submission key.
const maxSubmissionBytes = 200

// annotation is what a caller states about one statement.
type annotation struct {
	// kind is the kind of read; empty for everything that may write.
	kind core.Kind
	// submission names a statement that runs at most once; empty for none.
	submission string
	// deadline is how long the statement may take; zero for the default.
	deadline time.Duration
}

// parseAnnotation reads the trailing comment of a statement, in the form that
// sqlcommenter publishes: /*name='value',name='value'*/.
func parseAnnotation(sql string, base annotation) (annotation, *core.Error) {
	a := base
	_, comment := cutComment(sql)
	for _, pair := range strings.Split(comment, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			continue
		}
		decoded, err := url.PathUnescape(strings.Trim(value, "'"))
		if err != nil {
			continue
		}
		if e := a.set(name, decoded); e != nil {
			return base, e
		}
	}
	return a, nil
}

// cutComment parts a statement from the text of its trailing comment.
func cutComment(sql string) (statement, comment string) {
	text := strings.TrimRight(sql, " \t\r\n;")
	start := strings.LastIndex(text, "/*")
	if start < 0 || !strings.HasSuffix(text[start+2:], "*/") {
		return text, ""
	}
	return strings.TrimRight(text[:start], " \t\r\n;"), text[start+2 : len(text)-2]
}

// set takes in one stated value; names that mean nothing here are passed over.
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
			return core.NewError(core.CodeBadParameter, "a deadline is a duration above zero, such as '500ms'")
		}
		a.deadline = d
	}
	return nil
}
