package instance

import (
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"anviltack/core"
)

// parameterStatement is a SET of one of anviltack's own parameters.
type parameterStatement struct {
	name  string
	value string
	// isValid is false if the statement does not end with one value.
	isValid bool
}

const setTag = "SET"

// parameterPattern matches a SET of one of anviltack's own parameters and extracts its name and
// the text of its value.
var parameterPattern = regexp.MustCompile(`(?is)^\s*set\s+(?:session\s+)?anviltack\.([^\s=]+)(?:\s*=|\s+to\s)\s*(.+)$`)

// parseParameterStatement parses SET anviltack.NAME = 'VALUE' and SET
// anviltack.NAME TO VALUE.
func parseParameterStatement(sql string) (parameterStatement, bool) {
	statement, _ := cutComment(sql)
	m := parameterPattern.FindStringSubmatch(statement)
	if m == nil {
		return parameterStatement{}, false
	}
	value, isValid := unquote(m[2])
	return parameterStatement{name: strings.ToLower(m[1]), value: value, isValid: isValid}, true
}

// unquote returns the text that an SQL literal or a word stands for.
func unquote(text string) (string, bool) {
	for _, quote := range []string{"'", `"`} {
		quoted, ok := strings.CutPrefix(text, quote)
		if !ok {
			continue
		}
		inner, closed := strings.CutSuffix(quoted, quote)
		isOne := !strings.Contains(strings.ReplaceAll(inner, quote+quote, ""), quote)
		return strings.ReplaceAll(inner, quote+quote, quote), closed && isOne
	}
	return text, !strings.ContainsAny(text, "'\"; \t\r\n")
}

// serveParameter answers a SET of one of anviltack's own parameters.
func (s *session) serveParameter(pl *pipeline) (bool, error) {
	if pl.err != nil {
		return false, nil
	}
	if !pl.simple {
		return s.serveParameterSteps(pl)
	}
	p, ok := parseParameterStatement(pl.sql)
	if !ok {
		return false, nil
	}
	if e := s.applyParameter(p); e != nil {
		return true, s.refuse(e)
	}
	s.conn.Send(&pgproto3.CommandComplete{CommandTag: []byte(setTag)})
	return true, s.sendReady(s.transactionStatus())
}

// serveParameterSteps answers a pipeline of the extended protocol that sets
// anviltack's own parameters.
func (s *session) serveParameterSteps(pl *pipeline) (bool, error) {
	own, others := 0, 0
	for _, st := range pl.steps {
		switch {
		case st.statement == nil:
		case st.statement.parameter != nil:
			own++
		default:
			others++
		}
	}
	if own == 0 {
		return false, nil
	}
	if others > 0 {
		return true, s.refuse(core.NewError(core.CodeUnsupported, "an anviltack parameter cannot be set in a pipeline with other statements"))
	}
	base := s.conn.Len()
	var bound *parameterStatement
	for _, st := range pl.steps {
		if st.kind == stepBind {
			bound = st.statement.parameter
		}
		if e := s.serveParameterStep(st.kind, bound); e != nil {
			s.conn.Truncate(base)
			return true, s.refuse(e)
		}
	}
	return true, s.sendReady(s.transactionStatus())
}

// serveParameterStep answers one step of a SET.
func (s *session) serveParameterStep(kind stepKind, bound *parameterStatement) *core.Error {
	switch kind {
	case stepParse:
		s.conn.Send(&pgproto3.ParseComplete{})
	case stepBind:
		s.conn.Send(&pgproto3.BindComplete{})
	case stepDescribeStatement:
		s.conn.Send(&pgproto3.ParameterDescription{})
		s.conn.Send(&pgproto3.NoData{})
	case stepDescribePortal:
		s.conn.Send(&pgproto3.NoData{})
	case stepExecute:
		if bound == nil {
			return core.NewError(core.CodeUnsupported, "the portal was bound in another pipeline")
		}
		if e := s.applyParameter(*bound); e != nil {
			return e
		}
		s.conn.Send(&pgproto3.CommandComplete{CommandTag: []byte(setTag)})
	case stepClosePortal, stepCloseStatement:
		s.conn.Send(&pgproto3.CloseComplete{})
	}
	return nil
}

// applyParameter sets the parameter of a statement.
func (s *session) applyParameter(p parameterStatement) *core.Error {
	if !p.isValid {
		return core.NewError(core.CodeBadParameter, "a SET of %s%s needs one value and no other statement", parameterPrefix, p.name)
	}
	return s.setParameter(parameterPrefix+p.name, p.value)
}

// setParameter sets one of anviltack's own run-time parameters; those of
// PostgreSQL are ignored.
func (s *session) setParameter(name, value string) *core.Error {
	own, ok := cutPrefixFold(name, parameterPrefix)
	if !ok {
		return nil
	}
	switch own {
	case nameMark:
		return s.acceptMark(value)
	case nameKind, nameDeadline:
		return s.defaults.set(own, value)
	}
	return core.NewError(core.CodeBadParameter, "there is no parameter %s%s", parameterPrefix, own)
}
