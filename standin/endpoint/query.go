package endpoint

import (
	"context"
	"encoding/binary"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// Object types in Describe and Close messages.
const (
	objectStatement = 'S'
	objectPortal    = 'P'
)

const formatBinary int16 = 1

// Type sizes in bytes for RowDescription.
const (
	int4Size = 4
	int8Size = 8
)

// portal is a statement with its parameters bound.
type portal struct {
	statement statement
	values    []string
	formats   []int16
}

// simpleQuery runs the statements of a simple query as one implicit
// transaction.
func (s *session) simpleQuery(ctx context.Context, text string) {
	delete(s.statements, "") // a simple query destroys the unnamed statement
	statements, err := parse(text)
	if err != nil {
		s.fail(err)
		return
	}
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, st := range statements {
		values, err := st.bind(nil)
		if err != nil {
			s.fail(err)
			return
		}
		r, err := s.runStatement(ctx, st, values)
		if err == nil && i == len(statements)-1 {
			err = s.commitImplicit(ctx)
		}
		if err != nil {
			s.fail(err)
			return
		}
		if columns := st.columns(); columns != nil {
			s.backend.Send(rowDescription(columns, nil))
		}
		s.sendResult(st, nil, r)
	}
}

// commitImplicit commits an implicit transaction; it does nothing in an
// explicit block.
func (s *session) commitImplicit(ctx context.Context) error {
	if s.transaction.status != statusIdle {
		return nil
	}
	return s.commit(ctx)
}

// sync ends a pipeline of extended-protocol messages.
func (s *session) sync(ctx context.Context) {
	if !s.skipToSync {
		if err := s.commitImplicit(ctx); err != nil {
			s.fail(err)
		}
	}
	s.skipToSync = false
	if s.transaction.status == statusIdle {
		clear(s.portals)
	}
}

// extendedMessage handles one message of the extended protocol.
func (s *session) extendedMessage(ctx context.Context, message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.execute(ctx, m)
	case *pgproto3.Close:
		if m.ObjectType == objectStatement {
			delete(s.statements, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return newSQLError(stateProtocol, "message %T is not supported", message)
}

func (s *session) parse(m *pgproto3.Parse) error {
	if _, found := s.statements[m.Name]; found && m.Name != "" {
		return newSQLError(stateDuplicateName, "prepared statement %q already exists", m.Name)
	}
	statements, err := parse(m.Query)
	if err != nil {
		return err
	}
	switch len(statements) {
	case 0:
		s.statements[m.Name] = statement{verb: verbEmpty}
	case 1:
		s.statements[m.Name] = statements[0]
	default:
		return newSQLError(stateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	st, found := s.statements[m.PreparedStatement]
	if !found {
		return newSQLError(stateNoStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	arguments := make([]string, len(m.Parameters))
	for i, p := range m.Parameters {
		arguments[i] = string(p)
	}
	values, err := st.bind(arguments)
	if err != nil {
		return err
	}
	formats := append([]int16(nil), m.ResultFormatCodes...)
	s.portals[m.DestinationPortal] = portal{statement: st, values: values, formats: formats}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	var columns []column
	var formats []int16
	if m.ObjectType == objectPortal {
		p, found := s.portals[m.Name]
		if !found {
			return newSQLError(stateNoPortal, "portal %q does not exist", m.Name)
		}
		columns, formats = p.statement.columns(), p.formats
	} else {
		st, found := s.statements[m.Name]
		if !found {
			return newSQLError(stateNoStatement, "prepared statement %q does not exist", m.Name)
		}
		columns = st.columns()
		parameters := make([]uint32, st.parameters)
		for i := range parameters {
			parameters[i] = pgtype.TextOID
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: parameters})
	}
	if columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(rowDescription(columns, formats))
	return nil
}

func (s *session) execute(ctx context.Context, m *pgproto3.Execute) error {
	p, found := s.portals[m.Portal]
	if !found {
		return newSQLError(stateNoPortal, "portal %q does not exist", m.Portal)
	}
	if p.statement.verb == verbEmpty {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	r, err := s.runStatement(ctx, p.statement, p.values)
	if err != nil {
		return err
	}
	s.sendResult(p.statement, p.formats, r)
	return nil
}

// sendResult sends the rows and the command tag of a result.
func (s *session) sendResult(st statement, formats []int16, r result) {
	columns := st.columns()
	for _, values := range r.rows {
		row := make([][]byte, len(values))
		for i, v := range values {
			row[i] = encode(v, columns[i].oid, formatOf(formats, i))
		}
		s.backend.Send(&pgproto3.DataRow{Values: row})
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
}

// formatOf returns the format code of a column by the rules of Bind.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}

func encode(value string, oid uint32, format int16) []byte {
	if format != formatBinary || oid == pgtype.TextOID {
		return []byte(value)
	}
	n, _ := strconv.ParseUint(value, 10, 64)
	if oid == pgtype.Int4OID {
		return binary.BigEndian.AppendUint32(nil, uint32(n))
	}
	return binary.BigEndian.AppendUint64(nil, n)
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		size := int16(-1)
		switch c.oid {
		case pgtype.Int4OID:
			size = int4Size
		case pgtype.Int8OID:
			size = int8Size
		}
		fields[i] = pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: size,
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		}
	}
	return &pgproto3.RowDescription{Fields: fields}
}
