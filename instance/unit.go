package instance

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"anviltack/core"
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
	stepClose             stepKind = "close"
	// stepCloseStatement is answered here; the endpoint keeps its statement.
	stepCloseStatement stepKind = "close statement"
)

// prepared is a prepared statement of one session.
type prepared struct {
	// name is the name at endpoints; empty for the unnamed statement.
	name string
	sql  string
	// encoded is the whole parse message with that name.
	encoded []byte
	// annotation is what is stated about the statement when defaults are what
	// the session's parameters state.
	annotation annotation
	defaults   annotation
	// parameter is set for a SET of one of anviltack's own parameters.
	parameter *parameterStatement
}

// step is one message of the extended protocol.
type step struct {
	kind stepKind
	// encoded is the message for the endpoint; empty for parse steps, whose
	// message is in statement, and for close statement steps.
	encoded []byte
	// statement is set for parse, bind and describe statement steps.
	statement *prepared
}

// unit is what a caller sends up to and including one Query or Sync.
type unit struct {
	arrived  time.Time
	deadline time.Time
	// simple tells a simple query, whose text is sql, from steps.
	simple bool
	sql    string
	steps  []step
	// bytes is the length of the steps' messages.
	bytes int
	// executions counts the statements that the steps run.
	executions int
	annotation annotation
	// digest covers the statements of a submission.
	digest submissionDigest
	// fault is the first thing wrong with the unit; nothing of it may run.
	fault *core.Error
}

const (
	// maxUnitSteps bounds the messages of one unit.
	maxUnitSteps = 10000
	// maxUnitBytes bounds them together.
	maxUnitBytes = 64 << 20
)

// nextUnit reads messages up to the next Query or Sync. It returns nil when the
// caller ended the session.
func (s *session) nextUnit() (*unit, error) {
	u := &unit{annotation: s.defaults}
	for {
		m, err := s.conn.Receive()
		if err != nil {
			return nil, err
		}
		if u.arrived.IsZero() {
			u.arrived = time.Now()
			s.busy()
		}
		switch m := m.(type) {
		case *pgproto3.Terminate:
			return nil, nil
		case *pgproto3.Query:
			s.simple(u, m.String)
			return u, nil
		case *pgproto3.Sync:
			return u, nil
		case *pgproto3.Flush:
			u.fail(core.NewError(core.CodeUnsupported, "Flush without Sync is not carried"))
		default:
			s.addStep(u, m)
		}
	}
}

func (u *unit) fail(e *core.Error) {
	if u.fault == nil {
		u.fault = e
	}
}

func (s *session) simple(u *unit, sql string) {
	u.simple = true
	u.sql = sql
	u.executions = 1
	a, e := parseAnnotation(sql, s.defaults)
	u.annotation = a
	if a.submission != "" {
		u.digest.add(sql)
	}
	if e != nil {
		u.fail(e)
	}
	if isCopy(sql) {
		u.fail(copyRefused())
	}
}

// addStep takes in one message; those behind a fault are passed over up to Sync.
func (s *session) addStep(u *unit, m pgproto3.FrontendMessage) {
	if u.fault != nil {
		return
	}
	if len(u.steps) >= maxUnitSteps {
		u.fail(core.NewError(core.CodeTooLarge, "more than %d messages before Sync", maxUnitSteps))
		return
	}
	switch m := m.(type) {
	case *pgproto3.Parse:
		s.addParse(u, m)
	case *pgproto3.Bind:
		s.addBind(u, m)
	case *pgproto3.Describe:
		s.addDescribe(u, m)
	case *pgproto3.Execute:
		u.executions++
		u.add(step{kind: stepExecute}, m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			s.forget(m.Name)
			u.steps = append(u.steps, step{kind: stepCloseStatement})
			return
		}
		u.add(step{kind: stepClose}, m)
	default:
		u.fail(core.NewError(core.CodeUnsupported, "message %T is not carried here", m))
	}
}

// add appends a step with its encoded message.
func (u *unit) add(st step, m pgproto3.FrontendMessage) {
	encoded, err := m.Encode(nil)
	if err != nil {
		u.fail(core.NewError(core.CodeBadMessage, "message could not be encoded again"))
		return
	}
	if u.bytes += len(encoded); u.bytes > maxUnitBytes {
		u.fail(core.NewError(core.CodeTooLarge, "more than %d bytes before Sync", maxUnitBytes))
		return
	}
	st.encoded = encoded
	u.steps = append(u.steps, st)
}

func (s *session) addParse(u *unit, m *pgproto3.Parse) {
	if len(s.prepared) >= maxPrepared {
		u.fail(core.NewError(core.CodeTooLarge, "more than %d prepared statements", maxPrepared))
		return
	}
	if isCopy(m.Query) {
		u.fail(copyRefused())
		return
	}
	p, e := newPrepared(m, s.defaults)
	if e != nil {
		u.fail(e)
		return
	}
	s.forget(m.Name)
	if s.preparedBytes+len(p.encoded) > maxPreparedBytes {
		u.fail(core.NewError(core.CodeTooLarge, "prepared statements of more than %d bytes", maxPreparedBytes))
		return
	}
	s.prepared[m.Name] = p
	s.preparedBytes += len(p.encoded)
	u.steps = append(u.steps, step{kind: stepParse, statement: p})
	u.describe(s.stated(p))
}

// find returns a prepared statement of the session; without one the unit is at
// fault.
func (s *session) find(u *unit, name string) *prepared {
	p, ok := s.prepared[name]
	if !ok {
		u.fail(core.NewError(core.CodeUnknownPrepared, "prepared statement %q does not exist", name))
	}
	return p
}

func (s *session) addBind(u *unit, m *pgproto3.Bind) {
	p := s.find(u, m.PreparedStatement)
	if p == nil {
		return
	}
	m.PreparedStatement = p.name
	u.add(step{kind: stepBind, statement: p}, m)
	u.describe(s.stated(p))
	u.addBindToDigest(p, m)
}

func (s *session) addDescribe(u *unit, m *pgproto3.Describe) {
	if m.ObjectType != 'S' {
		u.add(step{kind: stepDescribePortal}, m)
		return
	}
	p := s.find(u, m.Name)
	if p == nil {
		return
	}
	m.Name = p.name
	u.add(step{kind: stepDescribeStatement, statement: p}, m)
	u.describe(s.stated(p))
}

// describe takes in what is stated about one of the unit's statements; a unit
// whose statements differ in kind is no read of a kind.
func (u *unit) describe(a annotation) {
	if len(u.steps) <= 1 {
		u.annotation = a
		return
	}
	if a.kind != u.annotation.kind {
		u.annotation.kind = ""
	}
	if a.submission != u.annotation.submission {
		u.fail(core.NewError(core.CodeUnsupported, "statements with different submission keys in one batch"))
	}
}

const (
	// maxPrepared bounds the prepared statements of one session.
	maxPrepared = 1000
	// maxPreparedBytes bounds their texts together.
	maxPreparedBytes = 32 << 20
)

// forget drops a prepared statement of the session, if there is one.
func (s *session) forget(name string) {
	if p, ok := s.prepared[name]; ok {
		s.preparedBytes -= len(p.encoded)
		delete(s.prepared, name)
	}
}

// preparedNameBytes is how much of a statement's hash names it at endpoints.
const preparedNameBytes = 16

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
		return nil, core.NewError(core.CodeBadMessage, "message could not be encoded again")
	}
	p.encoded = encoded
	return p, nil
}

// stated returns what is stated about a prepared statement now.
func (s *session) stated(p *prepared) annotation {
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
	h := sha256.New()
	h.Write([]byte(m.Query))
	for _, oid := range m.ParameterOIDs {
		_ = binary.Write(h, binary.BigEndian, oid)
	}
	return "a" + hex.EncodeToString(h.Sum(nil)[:preparedNameBytes])
}

func isCopy(sql string) bool {
	word, _, _ := strings.Cut(strings.TrimSpace(sql), " ")
	return strings.EqualFold(word, "copy")
}

func copyRefused() *core.Error {
	return core.NewError(core.CodeUnsupported, "COPY is not carried")
}
