package endpoint

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"anviltack/core"
)

// The statements by which a group's terms are read and set.
const (
	StatusStatement  = "SELECT * FROM anviltack_status()"
	fenceStatement   = "SELECT * FROM anviltack_fence(%d)"
	promoteStatement = "SELECT * FROM anviltack_promote(%d)"
	resetStatement   = "DISCARD ALL"
)

// statusColumns is the number of columns of a status row.
const statusColumns = 7

// ErrShape tells that an endpoint answered a status request in another form.
var ErrShape = errors.New("endpoint: the answer is not a status")

// Status asks the endpoint for its status before the deadline.
func (c *Conn) Status(deadline time.Time) (core.Status, error) {
	return c.control(StatusStatement, deadline)
}

// Fence tells the endpoint a term, above which lower terms are refused.
func (c *Conn) Fence(term uint64, deadline time.Time) (core.Status, error) {
	return c.control(fmt.Sprintf(fenceStatement, term), deadline)
}

// Promote makes the endpoint the primary of a term that it was fenced at.
func (c *Conn) Promote(term uint64, deadline time.Time) (core.Status, error) {
	return c.control(fmt.Sprintf(promoteStatement, term), deadline)
}

// Reset gives the other end the session state of a new connection.
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
			failure = &ServerError{State: m.Code, Message: m.Message}
		case *pgproto3.ReadyForQuery:
			if failure == nil && m.TxStatus != 'I' {
				failure = ErrShape
			}
			if failure == nil {
				clear(c.Named)
				c.Unnamed, c.Session, c.Altered = "", "", false
			}
			return failure
		}
	}
}

func (c *Conn) control(statement string, deadline time.Time) (core.Status, error) {
	c.SetDeadline(deadline)
	c.Send(&pgproto3.Query{String: statement})
	if err := c.Flush(); err != nil {
		return core.Status{}, err
	}
	return c.ReceiveStatus()
}

// ReceiveStatus reads the whole answer to one status statement that was sent as
// a simple query.
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
			if s, err = ParseStatus(m.Values); err != nil {
				failure = err
			}
		case *pgproto3.ErrorResponse:
			failure = &ServerError{State: m.Code, Message: m.Message}
		case *pgproto3.ReadyForQuery:
			if failure == nil && rows != 1 {
				failure = ErrShape
			}
			return s, failure
		}
	}
}

// ParseStatus reads the columns of a status row.
func ParseStatus(columns [][]byte) (core.Status, error) {
	if len(columns) != statusColumns {
		return core.Status{}, ErrShape
	}
	var numbers [statusColumns]uint64
	for i := 1; i < statusColumns; i++ {
		n, err := strconv.ParseUint(string(columns[i]), 10, 64)
		if err != nil {
			return core.Status{}, fmt.Errorf("%w: %w", ErrShape, err)
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
