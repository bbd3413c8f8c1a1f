package instance

import (
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"anviltack/core"
	"anviltack/core/statement"
	"anviltack/io/caller"
)

// stepKind is the kind of one message of the extended protocol.
type stepKind string

// The kinds of steps.
const (
	stepParse             stepKind = "parse"
	stepBind              stepKind = "bind"
	stepDescribeStatement stepKind = "describe statement"
	stepDescribePortal    stepKind = "describe portal"
	stepExecute           stepKind = "execute"
	stepClosePortal       stepKind = "close"
	// stepCloseStatement is answered by the instance; the endpoint keeps its
	// prepared statement.
	stepCloseStatement stepKind = "close statement"
)

// prepared is a prepared statement of one session.
type prepared struct {
	// name is the statement's name at endpoints; empty for the unnamed
	// statement.
	name string
	sql  string
	// encoded is the whole Parse message with that name.
	encoded []byte
	// annotation is the statement's annotation, given the session defaults in
	// defaults.
	annotation annotation
	defaults   annotation
	// parameter is set if the statement is a SET of one of anviltack's own
	// parameters.
	parameter *parameterStatement
}

// step is one message of the extended protocol.
type step struct {
	kind stepKind
	// encoded is the message for the endpoint. It is empty for parse steps, whose
	// message is in statement, and for close statement steps.
	encoded []byte
	// statement is set for parse, bind and describe statement steps.
	statement *prepared
}

// pipeline holds a caller's messages up to and including one Query or Sync.
type pipeline struct {
	arrived  time.Time
	deadline time.Time
	// simple is true for a simple query, whose text is in sql; otherwise the
	// messages are in steps.
	simple bool
	sql    string
	steps  []step
	// bytes is the total length of the steps' messages.
	bytes int
	// executions counts the statements that the steps execute.
	executions int
	annotation annotation
	// digest covers the statements of a submission.
	digest submissionDigest
	// mayHaveRun is true if an earlier attempt was lost after its commit was sent, so
	// that the pipeline may no longer be refused.
	mayHaveRun bool
	// err is the first error in the pipeline; if it is set, nothing of the
	// pipeline may run.
	err *core.Error
	// isRefused is true if err was sent to the caller before Sync.
	isRefused bool
}

const (
	// maxPipelineSteps is the maximum number of messages in one pipeline.
	maxPipelineSteps = 10000
	// maxPipelineBytes is the maximum total size of these messages.
	maxPipelineBytes = 64 << 20
)

// readPipeline reads messages up to the next Query or Sync. It returns nil if
// the caller ended the session.
func (s *session) readPipeline() (*pipeline, error) {
	pl := &pipeline{annotation: s.defaults}
	for {
		m, err := s.conn.Receive()
		if err != nil {
			return nil, err
		}
		if pl.arrived.IsZero() {
			pl.arrived = time.Now()
			if !s.setBusy() {
				return nil, drainingError()
			}
		}
		switch m := m.(type) {
		case *pgproto3.Terminate:
			return nil, nil
		case *pgproto3.Query:
			if pl.executions > 0 {
				pl.fail(core.NewError(core.CodeUnsupported, "a simple query before the Sync of other statements is not supported"))
			}
			s.setQuery(pl, m.String)
			return pl, nil
		case *pgproto3.Sync:
			return pl, nil
		case *pgproto3.Flush:
			pl.fail(core.NewError(core.CodeUnsupported, "Flush without Sync is not supported"))
			if err := s.refuseBeforeSync(pl); err != nil {
				return nil, err
			}
		default:
			s.addStep(pl, m)
		}
	}
}

// refuseBeforeSync sends the error of a pipeline to a caller that sends no Sync before it has an
// answer. In a transaction the error ends the session.
func (s *session) refuseBeforeSync(pl *pipeline) error {
	if s.transaction != nil {
		return pl.err
	}
	if pl.isRefused {
		return nil
	}
	pl.isRefused = true
	s.instance.counters.refusals.Inc(1)
	s.conn.SendError(caller.SeverityError, pl.err)
	return s.conn.Flush()
}

func (pl *pipeline) fail(e *core.Error) {
	if pl.err == nil {
		pl.err = e
	}
}

func (s *session) setQuery(pl *pipeline, sql string) {
	pl.simple = true
	pl.isRefused = false // a query gets an answer of its own
	pl.sql = sql
	pl.executions = 1
	a, e := parseAnnotation(sql, s.defaults)
	pl.annotation = a
	if a.submission != "" {
		pl.digest.add(sql)
	}
	if e != nil {
		pl.fail(e)
	}
	if isCopy(sql) {
		pl.fail(copyUnsupportedError())
	}
}

// addStep adds one message; messages after an error are ignored up to Sync.
func (s *session) addStep(pl *pipeline, m pgproto3.FrontendMessage) {
	if pl.err != nil {
		return
	}
	if len(pl.steps) >= maxPipelineSteps {
		pl.fail(core.NewError(core.CodeTooLarge, "more than %d messages before Sync", maxPipelineSteps))
		return
	}
	switch m := m.(type) {
	case *pgproto3.Parse:
		s.addParse(pl, m)
	case *pgproto3.Bind:
		s.addBind(pl, m)
	case *pgproto3.Describe:
		s.addDescribe(pl, m)
	case *pgproto3.Execute:
		pl.executions++
		pl.add(step{kind: stepExecute}, m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			s.dropPrepared(m.Name)
			pl.steps = append(pl.steps, step{kind: stepCloseStatement})
			return
		}
		pl.add(step{kind: stepClosePortal}, m)
	default:
		pl.fail(core.NewError(core.CodeUnsupported, "message %T is not supported", m))
	}
}

// add appends a step with its encoded message.
func (pl *pipeline) add(st step, m pgproto3.FrontendMessage) {
	encoded, err := m.Encode(nil)
	if err != nil {
		pl.fail(core.NewError(core.CodeBadMessage, "message could not be re-encoded"))
		return
	}
	if pl.bytes += len(encoded); pl.bytes > maxPipelineBytes {
		pl.fail(core.NewError(core.CodeTooLarge, "more than %d bytes before Sync", maxPipelineBytes))
		return
	}
	st.encoded = encoded
	pl.steps = append(pl.steps, st)
}

func (s *session) addParse(pl *pipeline, m *pgproto3.Parse) {
	if len(s.prepared) >= maxPrepared {
		pl.fail(core.NewError(core.CodeTooLarge, "more than %d prepared statements", maxPrepared))
		return
	}
	if isCopy(m.Query) {
		pl.fail(copyUnsupportedError())
		return
	}
	p, e := newPrepared(m, s.defaults)
	if e != nil {
		pl.fail(e)
		return
	}
	s.dropPrepared(m.Name)
	if s.preparedBytes+len(p.encoded) > maxPreparedBytes {
		pl.fail(core.NewError(core.CodeTooLarge, "prepared statements exceed %d bytes in total", maxPreparedBytes))
		return
	}
	s.prepared[m.Name] = p
	s.preparedBytes += len(p.encoded)
	pl.steps = append(pl.steps, step{kind: stepParse, statement: p})
	pl.annotate(s.annotationOf(p))
}

// findPrepared returns a prepared statement of the session, or fails the
// pipeline if there is none with this name.
func (s *session) findPrepared(pl *pipeline, name string) *prepared {
	p, ok := s.prepared[name]
	if !ok {
		pl.fail(core.NewError(core.CodeUnknownPrepared, "prepared statement %q does not exist", name))
	}
	return p
}

func (s *session) addBind(pl *pipeline, m *pgproto3.Bind) {
	p := s.findPrepared(pl, m.PreparedStatement)
	if p == nil {
		return
	}
	m.PreparedStatement = p.name
	pl.add(step{kind: stepBind, statement: p}, m)
	pl.annotate(s.annotationOf(p))
	pl.addBindToDigest(p, m)
}

func (s *session) addDescribe(pl *pipeline, m *pgproto3.Describe) {
	if m.ObjectType != 'S' {
		pl.add(step{kind: stepDescribePortal}, m)
		return
	}
	p := s.findPrepared(pl, m.Name)
	if p == nil {
		return
	}
	m.Name = p.name
	pl.add(step{kind: stepDescribeStatement, statement: p}, m)
	pl.annotate(s.annotationOf(p))
}

// annotate applies the annotation of one of the pipeline's statements. A
// pipeline whose statements differ in kind is not a read.
func (pl *pipeline) annotate(a annotation) {
	if len(pl.steps) <= 1 {
		pl.annotation = a
		return
	}
	if a.kind != pl.annotation.kind {
		pl.annotation.kind = ""
	}
	if a.submission != pl.annotation.submission {
		pl.fail(core.NewError(core.CodeUnsupported, "statements with different submission keys in one pipeline"))
	}
}

const (
	// maxPrepared is the maximum number of prepared statements of one session.
	maxPrepared = 1000
	// maxPreparedBytes is the maximum total size of their Parse messages.
	maxPreparedBytes = 32 << 20
)

// dropPrepared removes a prepared statement of the session, if there is one.
func (s *session) dropPrepared(name string) {
	if p, ok := s.prepared[name]; ok {
		s.preparedBytes -= len(p.encoded)
		delete(s.prepared, name)
	}
}

func newPrepared(m *pgproto3.Parse, defaults annotation) (*prepared, *core.Error) {
	a, e := parseAnnotation(m.Query, defaults)
	if e != nil {
		return nil, e
	}
	p := &prepared{sql: m.Query, annotation: a, defaults: defaults}
	if set, ok := parseParameterStatement(m.Query); ok {
		p.parameter = &set
	}
	if m.Name != "" {
		p.name = preparedName(m)
	}
	renamed := pgproto3.Parse{Name: p.name, Query: m.Query, ParameterOIDs: m.ParameterOIDs}
	encoded, err := renamed.Encode(nil)
	if err != nil {
		return nil, core.NewError(core.CodeBadMessage, "message could not be re-encoded")
	}
	p.encoded = encoded
	return p, nil
}

// annotationOf returns a prepared statement's annotation under the session's
// current defaults.
func (s *session) annotationOf(p *prepared) annotation {
	if p.defaults != s.defaults {
		if a, e := parseAnnotation(p.sql, s.defaults); e == nil {
			p.annotation, p.defaults = a, s.defaults
		}
	}
	return p.annotation
}

// preparedName derives a statement's name at endpoints from its text and its
// parameter types, so that sessions share it.
func preparedName(m *pgproto3.Parse) string {
	fields := []string{m.Query}
	for _, oid := range m.ParameterOIDs {
		fields = append(fields, strconv.FormatUint(uint64(oid), 10))
	}
	return statement.Name(fields...)
}

func isCopy(sql string) bool {
	word, _, _ := strings.Cut(strings.TrimSpace(sql), " ")
	return strings.EqualFold(word, "copy")
}

func copyUnsupportedError() *core.Error {
	return core.NewError(core.CodeUnsupported, "COPY is not supported")
}
