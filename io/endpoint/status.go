package endpoint

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"anviltack/core"
)

// The statements that fence an endpoint, promote it and reset a session.
const (
	fenceStatement   = "SELECT * FROM anviltack_fence(%d)"
	promoteStatement = "SELECT * FROM anviltack_promote(%d)"
	resetStatement   = "DISCARD ALL"
)

// statusColumns is the number of columns of a status row.
const statusColumns = 7

// The errors of invalid responses.
var (
	// ErrMalformedResponse means that the response does not have the expected form.
	ErrMalformedResponse = errors.New("endpoint: malformed response")
	// ErrResponseMismatch means that a response belongs to another request, so that no
	// response on the connection can be trusted.
	ErrResponseMismatch = errors.New("endpoint: response belongs to another request")
)

// minRequestNumber makes all request numbers have the same number of digits.
const minRequestNumber = 4e18

// lastRequestNumber is the number of the last status request of this process. It starts
// at a random number, so that two instances are unlikely to use the same numbers.
var lastRequestNumber atomic.Uint64

func init() { lastRequestNumber.Store(minRequestNumber + rand.Uint64N(minRequestNumber)) }

// SendStatus appends a status request with a unique number, which the response repeats.
// Responses arrive in the order of the requests, so the right number proves that the
// responses before it belong to their requests as well.
func (c *Conn) SendStatus() {
	c.requestNumber = strconv.FormatUint(lastRequestNumber.Add(1), 10)
	c.Send(&pgproto3.Query{String: "SELECT *, " + c.requestNumber + " FROM anviltack_status()"})
}

// Status requests the endpoint's status and waits for it until the deadline.
func (c *Conn) Status(deadline time.Time) (core.Status, error) {
	c.SetDeadline(deadline)
	c.SendStatus()
	if err := c.Flush(); err != nil {
		return core.Status{}, err
	}
	return c.ReceiveStatus()
}

// Fence fences the endpoint up to a term: from then on it refuses lower terms.
func (c *Conn) Fence(term uint64, deadline time.Time) (core.Status, error) {
	return c.runTermStatement(fmt.Sprintf(fenceStatement, term), deadline)
}

// Promote makes the endpoint the primary of a term; it must be fenced at that term.
func (c *Conn) Promote(term uint64, deadline time.Time) (core.Status, error) {
	return c.runTermStatement(fmt.Sprintf(promoteStatement, term), deadline)
}

// Reset restores the session state of a new connection.
func (c *Conn) Reset(deadline time.Time) error {
	c.SetDeadline(deadline)
	c.Send(&pgproto3.Query{String: resetStatement})
	if err := c.Flush(); err != nil {
		return err
	}
	var failure error
	for {
		m, err := c.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			failure = &ResponseError{State: m.Code, Message: m.Message}
		case *pgproto3.ReadyForQuery:
			if failure == nil && m.TxStatus != 'I' {
				failure = ErrMalformedResponse
			}
			if failure == nil {
				c.NamedStatements.Clear()
				c.UnnamedStatement, c.Session, c.Altered = "", "", false
			}
			return failure
		}
	}
}

func (c *Conn) runTermStatement(statement string, deadline time.Time) (core.Status, error) {
	c.SetDeadline(deadline)
	c.requestNumber = ""
	c.Send(&pgproto3.Query{String: statement})
	if err := c.Flush(); err != nil {
		return core.Status{}, err
	}
	return c.ReceiveStatus()
}

// ReceiveStatus reads the whole response to the last status request. After a response
// that cannot belong to that request the connection cannot be used any more.
func (c *Conn) ReceiveStatus() (core.Status, error) {
	var s core.Status
	var failure error
	rows := 0
	for {
		m, err := c.Receive()
		if err != nil {
			return s, err
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			rows++
			if s, err = c.parseStatus(m.Values); err != nil {
				failure = err
			}
		case *pgproto3.ErrorResponse:
			failure = &ResponseError{State: m.Code, Message: m.Message}
		case *pgproto3.ReadyForQuery:
			if failure == nil && rows != 1 {
				failure = ErrMalformedResponse
			}
			if failure != nil && !c.isRequestError(failure, m.TxStatus) {
				return core.Status{}, c.fail(failure)
			}
			return s, failure
		}
	}
}

// isRequestError reports whether err is a regular error response to the request:
// either the transaction is aborted, so that its statements fail, or the request was to
// fence or promote. After any other error the response cannot belong to the request.
func (c *Conn) isRequestError(err error, transaction byte) bool {
	var r *ResponseError
	return errors.As(err, &r) && (transaction == 'E' || c.requestNumber == "")
}

// parseStatus parses a status row and checks the request number in its last column.
func (c *Conn) parseStatus(columns [][]byte) (core.Status, error) {
	if c.requestNumber == "" {
		return ParseStatus(columns)
	}
	if len(columns) != statusColumns+1 {
		return core.Status{}, ErrMalformedResponse
	}
	if string(columns[statusColumns]) != c.requestNumber {
		return core.Status{}, ErrResponseMismatch
	}
	return ParseStatus(columns[:statusColumns])
}

// ParseStatus parses the columns of a status row.
func ParseStatus(columns [][]byte) (core.Status, error) {
	if len(columns) != statusColumns {
		return core.Status{}, ErrMalformedResponse
	}
	var numbers [statusColumns]uint64
	for i := 1; i < statusColumns; i++ {
		n, err := strconv.ParseUint(string(columns[i]), 10, 64)
		if err != nil {
			return core.Status{}, fmt.Errorf("%w: %w", ErrMalformedResponse, err)
		}
		numbers[i] = n
	}
	return core.Status{
		Role:     core.Role(columns[0]),
		Fence:    numbers[1],
		Term:     numbers[2],
		Received: numbers[3],
		Applied:  numbers[4],
		Last:     core.Point{Term: numbers[5], Position: numbers[6]},
	}, nil
}
