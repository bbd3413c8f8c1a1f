package instance

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"anviltack/core"
	"anviltack/io/caller"
	"anviltack/io/endpoint"
)

// maxNamed is how many prepared statements a connection gathers at its endpoint
// before it is reset.
const maxNamed = 500

// streamBytes is how much of an answer is held before it is passed on.
const streamBytes = 64 << 10

// reply is an expected answer to one step.
type reply struct {
	kind stepKind
	// forward passes the answer on to the caller.
	forward bool
	// hideNoData keeps NoData back, which a simple query does not have.
	hideNoData bool
	// made tells that the answer is made here; none comes from the endpoint.
	made bool
	// statement becomes known at the endpoint with the answer, or is nil.
	statement *prepared
}

// outcome is what one unit came to at the endpoint.
type outcome struct {
	// status is the transaction status after the unit: 'I', 'T' or 'E'.
	status byte
	// failure is the SQLSTATE of the error that ended the unit, or empty.
	failure string
	// tag is the last command tag.
	tag string
}

// exchange sends one unit over an endpoint connection and passes the answers on.
type exchange struct {
	in      *endpoint.Conn
	out     *caller.Conn
	replies []reply
	// base is where the answers start in the caller's buffer.
	base int
	// held is where the answers start that wait for a confirmation, -1 for none.
	held int
	// streamed tells that part of the answer was passed on for good.
	streamed bool
	// extended tells that the unit in hand went by the extended protocol.
	extended bool
	// quiet passes nothing on.
	quiet bool
	// prefaces is how many simple queries went ahead of the unit.
	prefaces int
}

// usualReplies is how many answers the unit of most callers gets.
const usualReplies = 8

func newExchange(in *endpoint.Conn, out *caller.Conn) *exchange {
	return &exchange{in: in, out: out, base: out.Len(), held: -1, replies: make([]reply, 0, usualReplies)}
}

// query appends a simple query.
func (x *exchange) query(sql string) {
	x.in.Send(&pgproto3.Query{String: sql})
}

// restore appends what gives the other end the session state of a caller.
func (x *exchange) restore(state sessionState) {
	if x.in.Session == state.key {
		return
	}
	x.preface(resetStatement)
	for _, sql := range state.statements {
		x.preface(sql)
	}
	x.in.Session = state.key
}

// preface appends a simple query whose answer is not the caller's.
func (x *exchange) preface(sql string) {
	x.query(sql)
	x.prefaces++
}

// unit appends the messages of a unit.
func (x *exchange) unit(u *unit) {
	x.in.Altered = x.in.Altered || u.mayAlter()
	if u.simple {
		x.query(u.sql)
		return
	}
	x.extended = true
	x.steps(u)
	x.in.Send(&pgproto3.Sync{})
}

func (x *exchange) steps(u *unit) {
	for _, st := range u.steps {
		x.step(st)
	}
}

// readOnly appends the messages of a unit behind the start of a read-only
// transaction. All of it goes by the extended protocol up to one Sync: where the
// start fails nothing else runs, and a text of several statements is refused.
func (x *exchange) readOnly(u *unit) {
	x.in.Altered = x.in.Altered || u.mayAlter()
	x.extended = true
	x.parse(beginReadOnly, false)
	x.in.SendEncoded(bindBeginMessage)
	x.in.SendEncoded(executeMessage)
	x.replies = append(x.replies, reply{kind: stepBind}, reply{kind: stepExecute})
	if u.simple {
		x.single(u.sql)
	} else {
		x.steps(u)
	}
	x.in.Send(&pgproto3.Sync{})
}

// single appends the text of a simple query by the extended protocol.
func (x *exchange) single(sql string) {
	x.in.Send(&pgproto3.Parse{Query: sql})
	x.in.SendEncoded(bindMessage)
	x.in.SendEncoded(describePortalMessage)
	x.in.SendEncoded(executeMessage)
	x.in.UnnamedStatement = ""
	x.replies = append(x.replies,
		reply{kind: stepParse}, reply{kind: stepBind},
		reply{kind: stepDescribePortal, forward: true, hideNoData: true}, reply{kind: stepExecute, forward: true})
}

func (x *exchange) step(st step) {
	switch st.kind {
	case stepParse:
		x.parse(st.statement, true)
		return
	case stepCloseStatement:
		x.replies = append(x.replies, reply{kind: st.kind, forward: true, made: true})
		return
	case stepBind, stepDescribeStatement:
		x.parse(st.statement, false)
	}
	x.in.SendEncoded(st.encoded)
	x.replies = append(x.replies, reply{kind: st.kind, forward: true})
}

// parse makes a statement known at the endpoint unless it is.
func (x *exchange) parse(p *prepared, forward bool) {
	known := p.name == "" && x.in.UnnamedStatement == string(p.encoded) && !forward
	if p.name != "" {
		_, known = x.in.NamedStatements[p.name]
	}
	if known {
		if forward {
			x.replies = append(x.replies, reply{kind: stepParse, forward: true, made: true})
		}
		return
	}
	x.in.SendEncoded(p.encoded)
	x.replies = append(x.replies, reply{kind: stepParse, forward: forward, statement: p})
	if p.name == "" {
		x.in.UnnamedStatement = string(p.encoded)
		return
	}
	x.in.NamedStatements[p.name] = struct{}{}
	if len(x.in.NamedStatements) >= maxNamed {
		x.in.Altered = true
	}
}

// skip reads the whole answer to a simple query that is not the caller's.
func (x *exchange) skip() (outcome, error) {
	quiet := x.quiet
	x.quiet = true
	o, err := x.answer()
	x.quiet = quiet
	return o, err
}

// answer reads the answers to one unit up to ReadyForQuery, which is not passed on.
func (x *exchange) answer() (outcome, error) {
	var o outcome
	for ; x.prefaces > 0; x.prefaces-- {
		if err := x.skipPreface(); err != nil {
			return o, err
		}
	}
	for {
		x.made()
		m, err := x.in.Receive()
		if err != nil {
			return o, err
		}
		if ready, ok := m.(*pgproto3.ReadyForQuery); ok {
			missing := len(x.replies) > 0 && o.failure == ""
			x.replies = x.replies[:0]
			x.extended = false
			o.status = ready.TxStatus
			if missing {
				return o, endpoint.ErrMalformedResponse
			}
			return o, nil
		}
		if err := x.take(m, &o); err != nil {
			return o, err
		}
	}
}

// skipPreface reads the answer to one preface; one that failed fails the exchange.
func (x *exchange) skipPreface() error {
	var failure error
	for {
		m, err := x.in.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			failure = &endpoint.ServerError{State: m.Code, Message: m.Message}
		case *pgproto3.ReadyForQuery:
			return failure
		}
	}
}

// made passes on the answers at the head that need none from the endpoint.
func (x *exchange) made() {
	for len(x.replies) > 0 && x.replies[0].made {
		if x.replies[0].kind == stepCloseStatement {
			x.pass(&pgproto3.CloseComplete{})
		} else {
			x.pass(&pgproto3.ParseComplete{})
		}
		x.replies = x.replies[1:]
	}
}

func (x *exchange) take(m pgproto3.BackendMessage, o *outcome) error {
	if !x.isExpected(m) {
		return endpoint.ErrMalformedResponse
	}
	switch m := m.(type) {
	case *pgproto3.ErrorResponse:
		o.failure = m.Code
		x.forget()
		x.hold()
		x.pass(m)
	case *pgproto3.CommandComplete:
		if x.isHidden() {
			x.next(m)
			return nil
		}
		o.tag = string(m.CommandTag)
		x.hold()
		x.next(m)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		x.hold()
		x.next(m)
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete, *pgproto3.NoData, *pgproto3.RowDescription:
		x.next(m)
	case *pgproto3.ParameterDescription:
		x.pass(m)
	case *pgproto3.DataRow:
		x.pass(m)
		return x.stream()
	case *pgproto3.NoticeResponse:
		x.pass(m)
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
	default:
		return core.NewError(core.CodeUnsupported, "unexpected %T of an endpoint", m)
	}
	return nil
}

// isExpected reports whether a message can answer the step at the head. One that
// cannot belongs to another statement.
func (x *exchange) isExpected(m pgproto3.BackendMessage) bool {
	if !x.extended {
		return true
	}
	var kind stepKind
	if len(x.replies) > 0 {
		kind = x.replies[0].kind
	}
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return kind == stepParse
	case *pgproto3.BindComplete:
		return kind == stepBind
	case *pgproto3.CloseComplete:
		return kind == stepClose
	case *pgproto3.ParameterDescription:
		return kind == stepDescribeStatement
	case *pgproto3.NoData, *pgproto3.RowDescription:
		return kind == stepDescribeStatement || kind == stepDescribePortal
	case *pgproto3.DataRow, *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return kind == stepExecute
	}
	return true
}

// isHidden reports whether the next answer is kept from the caller.
func (x *exchange) isHidden() bool {
	return len(x.replies) > 0 && !x.replies[0].forward
}

// next passes a message on that completes the answer to one step. RowDescription
// completes a describe step, and in a simple query nothing.
func (x *exchange) next(m pgproto3.BackendMessage) {
	if len(x.replies) == 0 {
		x.pass(m)
		return
	}
	_, noData := m.(*pgproto3.NoData)
	if x.replies[0].forward && (!noData || !x.replies[0].hideNoData) {
		x.pass(m)
	}
	x.replies = x.replies[1:]
}

// forget drops the expected answers after an error; statements among them are
// not known at the endpoint.
func (x *exchange) forget() {
	for _, r := range x.replies {
		if r.statement != nil {
			delete(x.in.NamedStatements, r.statement.name)
		}
	}
	x.in.UnnamedStatement = ""
	x.replies = x.replies[:0]
}

func (x *exchange) pass(m pgproto3.BackendMessage) {
	if !x.quiet {
		x.out.Send(m)
	}
}

// hold keeps everything from here on until release.
func (x *exchange) hold() {
	if x.held < 0 {
		x.held = x.out.Len()
	}
}

// stream passes rows on once there are many.
func (x *exchange) stream() error {
	n := x.out.Len()
	if x.held >= 0 || n < streamBytes {
		return nil
	}
	x.streamed = true
	x.base = 0
	return x.out.FlushFirst(n)
}

// retract takes back what was not passed on yet.
func (x *exchange) retract() {
	x.out.Truncate(x.base)
	x.held = -1
}
