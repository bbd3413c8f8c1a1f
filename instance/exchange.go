package instance

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"anviltack/core"
	"anviltack/io/caller"
	"anviltack/io/endpoint"
)

// streamThreshold is how many bytes of a response are buffered before rows are
// streamed to the caller.
const streamThreshold = 64 << 10

// stepResponse is the expected response to one step.
type stepResponse struct {
	kind stepKind
	// forward is true if the response is forwarded to the caller.
	forward bool
	// hideNoData suppresses NoData, which the response to a simple query does not
	// contain.
	hideNoData bool
	// isLocal is true if the instance answers the step itself and the endpoint
	// sends no response.
	isLocal bool
	// statement is the prepared statement that the endpoint has after this
	// response, or nil.
	statement *prepared
}

// outcome is the result of one pipeline at the endpoint.
type outcome struct {
	// status is the transaction status after the pipeline: 'I', 'T' or 'E'.
	status byte
	// sqlState is the SQLSTATE of the error that ended the pipeline, or empty.
	sqlState string
	// tag is the last command tag.
	tag string
	// isCommitted is true if the pipeline contained a COMMIT that ran.
	isCommitted bool
	// hasOtherThanSet is true if a command other than SET and RESET completed.
	hasOtherThanSet bool
}

// exchange sends one pipeline over an endpoint connection and forwards the
// responses to the caller.
type exchange struct {
	endpoint *endpoint.Conn
	caller   *caller.Conn
	// stepResponses are the expected responses to the steps, in order.
	stepResponses []stepResponse
	// responseStart is the offset in the caller's buffer at which the responses
	// start.
	responseStart int
	// unconfirmedStart is the offset of the first response that needs a
	// confirmation before it may be sent, -1 for none.
	unconfirmedStart int
	// streamed is true once part of the response was sent to the caller, so that
	// it can no longer be withdrawn.
	streamed bool
	// extended is true if the current pipeline was sent with the extended
	// protocol.
	extended bool
	// discard drops all responses.
	discard bool
	// setupQueries is how many simple queries were sent ahead of the pipeline.
	setupQueries int
}

// stepResponseCapacity is enough for the step responses of most pipelines.
const stepResponseCapacity = 8

func newExchange(endpointConn *endpoint.Conn, callerConn *caller.Conn) *exchange {
	return &exchange{endpoint: endpointConn, caller: callerConn, responseStart: callerConn.Len(), unconfirmedStart: -1, stepResponses: make([]stepResponse, 0, stepResponseCapacity)}
}

// sendQuery appends a simple query.
func (x *exchange) sendQuery(sql string) {
	x.endpoint.Send(&pgproto3.Query{String: sql})
}

// restoreState appends the queries that set the caller's session state on the
// connection.
func (x *exchange) restoreState(state sessionState) {
	if x.endpoint.Session == state.key {
		return
	}
	x.sendSetupQuery(resetStatement)
	for _, sql := range state.statements {
		x.sendSetupQuery(sql)
	}
	x.endpoint.Session = state.key
}

// sendSetupQuery appends a simple query whose response is not forwarded to the
// caller.
func (x *exchange) sendSetupQuery(sql string) {
	x.sendQuery(sql)
	x.setupQueries++
}

// sendPipeline appends the messages of a pipeline.
func (x *exchange) sendPipeline(pl *pipeline) {
	x.endpoint.Altered = x.endpoint.Altered || pl.mayAlter()
	if pl.simple {
		x.sendQuery(pl.sql)
		return
	}
	x.extended = true
	x.sendSteps(pl)
	x.endpoint.Send(&pgproto3.Sync{})
}

// sendInTransaction appends the messages of a pipeline that runs in a transaction. A setting that
// it changes is not recorded, because a rollback may undo it, so the connection is reset.
func (x *exchange) sendInTransaction(pl *pipeline) {
	x.endpoint.Altered = x.endpoint.Altered || pl.simple && isSetStatement(pl.sql)
	x.sendPipeline(pl)
}

func (x *exchange) sendSteps(pl *pipeline) {
	for _, st := range pl.steps {
		x.sendStep(st)
	}
}

// sendReadOnly appends BEGIN READ ONLY and the messages of a pipeline. Everything
// is sent with the extended protocol and one Sync at the end: if BEGIN fails,
// nothing else runs, and a query text with several statements is rejected.
func (x *exchange) sendReadOnly(pl *pipeline) {
	x.endpoint.Altered = x.endpoint.Altered || pl.mayAlter()
	x.extended = true
	x.sendParse(beginReadOnly, false)
	x.endpoint.SendEncoded(bindBeginMessage)
	x.endpoint.SendEncoded(executeMessage)
	x.stepResponses = append(x.stepResponses, stepResponse{kind: stepBind}, stepResponse{kind: stepExecute})
	if pl.simple {
		x.sendExtended(pl.sql)
	} else {
		x.sendSteps(pl)
	}
	x.endpoint.Send(&pgproto3.Sync{})
}

// sendExtended appends the text of a simple query as messages of the extended
// protocol.
func (x *exchange) sendExtended(sql string) {
	x.endpoint.Send(&pgproto3.Parse{Query: sql})
	x.endpoint.SendEncoded(bindMessage)
	x.endpoint.SendEncoded(describePortalMessage)
	x.endpoint.SendEncoded(executeMessage)
	x.endpoint.UnnamedStatement = ""
	x.stepResponses = append(x.stepResponses,
		stepResponse{kind: stepParse}, stepResponse{kind: stepBind},
		stepResponse{kind: stepDescribePortal, forward: true, hideNoData: true}, stepResponse{kind: stepExecute, forward: true})
}

func (x *exchange) sendStep(st step) {
	switch st.kind {
	case stepParse:
		x.sendParse(st.statement, true)
		return
	case stepCloseStatement:
		x.stepResponses = append(x.stepResponses, stepResponse{kind: st.kind, forward: true, isLocal: true})
		return
	case stepBind, stepDescribeStatement:
		x.sendParse(st.statement, false)
	}
	x.endpoint.SendEncoded(st.encoded)
	x.stepResponses = append(x.stepResponses, stepResponse{kind: st.kind, forward: true})
}

// sendParse prepares a statement at the endpoint unless it is already prepared
// there.
func (x *exchange) sendParse(p *prepared, forward bool) {
	isPrepared := p.name == "" && x.endpoint.UnnamedStatement == string(p.encoded) && !forward
	if p.name != "" {
		isPrepared = x.endpoint.NamedStatements.Has(p.name)
	}
	if isPrepared {
		if forward {
			x.stepResponses = append(x.stepResponses, stepResponse{kind: stepParse, forward: true, isLocal: true})
		}
		return
	}
	x.endpoint.SendEncoded(p.encoded)
	x.stepResponses = append(x.stepResponses, stepResponse{kind: stepParse, forward: forward, statement: p})
	if p.name == "" {
		x.endpoint.UnnamedStatement = string(p.encoded)
		return
	}
	x.endpoint.NamedStatements.Add(p.name, len(p.encoded))
	// A connection that is altered is reset once it is released.
	x.endpoint.Altered = x.endpoint.Altered || x.endpoint.NamedStatements.IsFull()
}

// discardResponse reads the whole response to a simple query of the instance and
// drops it.
func (x *exchange) discardResponse() (outcome, error) {
	discard := x.discard
	x.discard = true
	o, err := x.receiveResponse()
	x.discard = discard
	return o, err
}

// receiveResponse reads the response to one pipeline up to ReadyForQuery, which
// is not forwarded.
func (x *exchange) receiveResponse() (outcome, error) {
	var o outcome
	for ; x.setupQueries > 0; x.setupQueries-- {
		if err := x.receiveSetupResponse(); err != nil {
			return o, err
		}
	}
	for {
		x.sendLocalResponses()
		m, err := x.endpoint.Receive()
		if err != nil {
			return o, err
		}
		if ready, ok := m.(*pgproto3.ReadyForQuery); ok {
			missing := len(x.stepResponses) > 0 && o.sqlState == ""
			x.stepResponses = x.stepResponses[:0]
			x.extended = false
			o.status = ready.TxStatus
			if missing {
				return o, endpoint.ErrMalformedResponse
			}
			return o, nil
		}
		if err := x.handle(m, &o); err != nil {
			return o, err
		}
	}
}

// receiveSetupResponse reads the response to one setup query; if the query
// failed, the exchange fails.
func (x *exchange) receiveSetupResponse() error {
	var failure error
	for {
		m, err := x.endpoint.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			failure = &endpoint.ResponseError{State: m.Code, Message: m.Message}
		case *pgproto3.ReadyForQuery:
			return failure
		}
	}
}

// sendLocalResponses sends the responses at the head of stepResponses that need
// nothing from the endpoint.
func (x *exchange) sendLocalResponses() {
	for len(x.stepResponses) > 0 && x.stepResponses[0].isLocal {
		if x.stepResponses[0].kind == stepCloseStatement {
			x.forward(&pgproto3.CloseComplete{})
		} else {
			x.forward(&pgproto3.ParseComplete{})
		}
		x.stepResponses = x.stepResponses[1:]
	}
}

func (x *exchange) handle(m pgproto3.BackendMessage, o *outcome) error {
	if !x.isExpected(m) {
		return endpoint.ErrMalformedResponse
	}
	switch m := m.(type) {
	case *pgproto3.ErrorResponse:
		o.sqlState = m.Code
		x.dropResponses()
		x.markUnconfirmed()
		x.forward(m)
	case *pgproto3.CommandComplete:
		if x.isHidden() {
			x.completeStep(m)
			return nil
		}
		o.tag = string(m.CommandTag)
		o.isCommitted = o.isCommitted || o.tag == commitStatement
		o.hasOtherThanSet = o.hasOtherThanSet || o.tag != setTag && o.tag != resetTag
		x.markUnconfirmed()
		x.completeStep(m)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		x.markUnconfirmed()
		x.completeStep(m)
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete, *pgproto3.NoData, *pgproto3.RowDescription:
		x.completeStep(m)
	case *pgproto3.ParameterDescription:
		x.forward(m)
	case *pgproto3.DataRow:
		x.forward(m)
		return x.streamRows()
	case *pgproto3.NoticeResponse:
		x.forward(m)
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
	default:
		return core.NewError(core.CodeUnsupported, "unexpected message %T from an endpoint", m)
	}
	return nil
}

// isExpected reports whether a message can be part of the response to the next
// step. One that cannot belongs to another statement.
func (x *exchange) isExpected(m pgproto3.BackendMessage) bool {
	if !x.extended {
		return true
	}
	var kind stepKind
	if len(x.stepResponses) > 0 {
		kind = x.stepResponses[0].kind
	}
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return kind == stepParse
	case *pgproto3.BindComplete:
		return kind == stepBind
	case *pgproto3.CloseComplete:
		return kind == stepClosePortal
	case *pgproto3.ParameterDescription:
		return kind == stepDescribeStatement
	case *pgproto3.NoData, *pgproto3.RowDescription:
		return kind == stepDescribeStatement || kind == stepDescribePortal
	case *pgproto3.DataRow, *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return kind == stepExecute
	}
	return true
}

// isHidden reports whether the next response is not forwarded to the caller.
func (x *exchange) isHidden() bool {
	return len(x.stepResponses) > 0 && !x.stepResponses[0].forward
}

// completeStep forwards a message that completes the response to one step.
// RowDescription completes a describe step; in the response to a simple query it
// completes nothing.
func (x *exchange) completeStep(m pgproto3.BackendMessage) {
	if len(x.stepResponses) == 0 {
		x.forward(m)
		return
	}
	_, noData := m.(*pgproto3.NoData)
	if x.stepResponses[0].forward && (!noData || !x.stepResponses[0].hideNoData) {
		x.forward(m)
	}
	x.stepResponses = x.stepResponses[1:]
}

// dropResponses drops the expected responses after an error; the endpoint has not
// prepared the statements among them.
func (x *exchange) dropResponses() {
	for _, r := range x.stepResponses {
		if r.statement != nil {
			x.endpoint.NamedStatements.Remove(r.statement.name)
		}
	}
	x.endpoint.UnnamedStatement = ""
	x.stepResponses = x.stepResponses[:0]
}

func (x *exchange) forward(m pgproto3.BackendMessage) {
	if !x.discard {
		x.caller.Send(m)
	}
}

// markUnconfirmed marks the responses from here on as not to be sent before they
// are confirmed.
func (x *exchange) markUnconfirmed() {
	if x.unconfirmedStart < 0 {
		x.unconfirmedStart = x.caller.Len()
	}
}

// streamRows sends the buffered rows once they exceed streamThreshold.
func (x *exchange) streamRows() error {
	n := x.caller.Len()
	if x.unconfirmedStart >= 0 || n < streamThreshold {
		return nil
	}
	x.streamed = true
	x.responseStart = 0
	return x.caller.FlushFirst(n)
}

// truncate removes the responses that were not sent yet from the caller's buffer.
func (x *exchange) truncate() {
	x.caller.Truncate(x.responseStart)
	x.unconfirmedStart = -1
}
