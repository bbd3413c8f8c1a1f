// Package endpoint implements the connecting side of the PostgreSQL protocol, towards
// the endpoints of a database group.
package endpoint

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"anviltack/core"
	"anviltack/core/statement"
)

// maxMessageBytes bounds a message of an endpoint; PostgreSQL's own limit is 1 GiB.
const maxMessageBytes = 1 << 30

// Conn is a connection to an endpoint. It is not safe for concurrent use, except for
// Interrupt, Close and Cancel.
type Conn struct {
	// Endpoint is the name of the endpoint.
	Endpoint core.Endpoint
	// Address is the address at which the endpoint listens.
	Address netip.AddrPort
	// NamedStatements are the named statements prepared on this connection.
	NamedStatements statement.Names
	// UnnamedStatement is the Parse message of the unnamed prepared statement, empty
	// if it is not known.
	UnnamedStatement string
	// Session describes the session state that was set on this connection.
	Session string
	// Altered is true if the session state may differ from Session, NamedStatements and
	// UnnamedStatement; Reset clears it.
	Altered bool

	conn     net.Conn
	frontend *pgproto3.Frontend
	// sendBuffer holds encoded messages that are not sent yet.
	sendBuffer []byte
	// cancelKey identifies the endpoint's session in a cancel request.
	cancelKey pgproto3.BackendKeyData
	// requestNumber is the number that the last status request carried, empty if it
	// carried none.
	requestNumber string
	probe         *readProbe
	// firstErr is the first error of the connection, or nil.
	firstErr error
}

// ResponseError is an error response of the endpoint.
type ResponseError struct {
	State   string
	Message string
}

// Error returns the SQLSTATE and the message.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("endpoint: %s: %s", e.State, e.Message)
}

// Dial opens a connection and logs in before the deadline of the context. The error
// is a *ResponseError if the endpoint sent an error response.
func Dial(ctx context.Context, name core.Endpoint, address netip.AddrPort, login Login) (*Conn, error) {
	nc, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("endpoint: could not connect to %s: %w", name, err)
	}
	c := &Conn{
		Endpoint: name,
		Address:  address,
		conn:     nc,
		probe:    newReadProbe(nc),
		frontend: pgproto3.NewFrontend(nc, nc),
	}
	c.frontend.SetMaxBodyLen(maxMessageBytes)
	if deadline, ok := ctx.Deadline(); ok {
		c.SetDeadline(deadline)
	}
	if err := c.logIn(login); err != nil {
		c.Close()
		return nil, err
	}
	c.SetDeadline(time.Time{})
	return c, nil
}

// SetDeadline sets the deadline of every later Flush and Receive; the zero time means
// none.
func (c *Conn) SetDeadline(t time.Time) {
	if err := c.conn.SetDeadline(t); err != nil {
		_ = c.fail(err)
	}
}

// Interrupt makes Flush and Receive fail until the next SetDeadline, including a call
// that blocks at present. It may be called from another goroutine.
func (c *Conn) Interrupt() {
	_ = c.conn.SetDeadline(time.Unix(1, 0))
}

// Send appends a message to the send buffer.
func (c *Conn) Send(m pgproto3.FrontendMessage) {
	if _, ok := m.(*pgproto3.Query); ok {
		c.UnnamedStatement = "" // a simple query destroys it
	}
	out, err := m.Encode(c.sendBuffer)
	if err != nil {
		_ = c.fail(err)
		return
	}
	c.sendBuffer = out
}

// SendEncoded appends encoded messages to the send buffer.
func (c *Conn) SendEncoded(b []byte) {
	c.sendBuffer = append(c.sendBuffer, b...)
}

// Flush sends the send buffer.
func (c *Conn) Flush() error {
	if c.firstErr != nil {
		return c.firstErr
	}
	_, err := c.conn.Write(c.sendBuffer)
	c.sendBuffer = c.sendBuffer[:0]
	if err != nil {
		return c.fail(fmt.Errorf("endpoint: could not send to %s: %w", c.Endpoint, err))
	}
	return nil
}

// Receive returns the next message, which is valid until the next call.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	if c.firstErr != nil {
		return nil, c.firstErr
	}
	m, err := c.frontend.Receive()
	if err != nil {
		return nil, c.fail(fmt.Errorf("endpoint: could not receive from %s: %w", c.Endpoint, err))
	}
	return m, nil
}

// Err returns the first error of the connection, or nil.
func (c *Conn) Err() error { return c.firstErr }

func (c *Conn) fail(err error) error {
	if c.firstErr == nil {
		c.firstErr = err
	}
	return c.firstErr
}

// Close closes the connection without a message to the endpoint; every later use fails.
// It may be called from another goroutine.
func (c *Conn) Close() { _ = c.conn.Close() }

// Cancel sends the endpoint a cancel request for the statement that runs on c, over a
// separate connection. It may be called from another goroutine.
func (c *Conn) Cancel(ctx context.Context) error {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", c.conn.RemoteAddr().String())
	if err != nil {
		return fmt.Errorf("endpoint: could not connect for a cancel request: %w", err)
	}
	defer nc.Close() //nolint:errcheck // Nothing is read or written afterwards.
	request := pgproto3.CancelRequest{ProcessID: c.cancelKey.ProcessID, SecretKey: c.cancelKey.SecretKey}
	b, err := request.Encode(nil)
	if err != nil {
		return fmt.Errorf("endpoint: could not encode a cancel request: %w", err)
	}
	if _, err := nc.Write(b); err != nil {
		return fmt.Errorf("endpoint: could not send a cancel request: %w", err)
	}
	return nil
}

// IsTimeout reports whether err means that the deadline passed.
func IsTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
