package instance

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"anviltack/core"
)

// parameterStatement is a SET of one of anviltack's own parameters.
type parameterStatement struct {
	name  string
	value string
}

const setTag = "SET"

// parseParameterStatement parses SET anviltack.NAME = 'VALUE' and SET
// anviltack.NAME TO VALUE.
func parseParameterStatement(sql string) (parameterStatement, bool) {
	words := strings.Fields(strings.TrimRight(strings.ReplaceAll(sql, "=", " = "), " \t\r\n;"))
	if len(words) == 5 && strings.EqualFold(words[1], "session") {
		words = append(words[:1], words[2:]...)
	}
	if len(words) != 4 || !strings.EqualFold(words[0], "set") {
		return parameterStatement{}, false
	}
	name, ok := strings.CutPrefix(strings.ToLower(words[1]), parameterPrefix)
	if !ok || (words[2] != "=" && !strings.EqualFold(words[2], "to")) {
		return parameterStatement{}, false
	}
	return parameterStatement{name: name, value: strings.Trim(words[3], "'\"")}, true
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
	if e := s.setParameter(parameterPrefix+p.name, p.value); e != nil {
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
		if e := s.setParameter(parameterPrefix+bound.name, bound.value); e != nil {
			return e
		}
		s.conn.Send(&pgproto3.CommandComplete{CommandTag: []byte(setTag)})
	case stepClosePortal, stepCloseStatement:
		s.conn.Send(&pgproto3.CloseComplete{})
	}
	return nil
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
