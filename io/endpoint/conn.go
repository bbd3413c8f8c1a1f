// Package endpoint speaks the PostgreSQL protocol to the members of a database
// group.
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
)

// maxMessageBytes bounds one message of an endpoint; PostgreSQL's own bound is
// 1 GiB.
const maxMessageBytes = 1 << 30

// Conn is one connection to an endpoint; it is for one goroutine at a time.
type Conn struct {
	// Endpoint is the name of the member at the other end.
	Endpoint core.Endpoint
	// Address is where the other end listens.
	Address netip.AddrPort
	// NamedStatements holds the prepared statements that the other end knows.
	NamedStatements map[string]struct{}
	// UnnamedStatement is the parse message of the unnamed prepared statement at the other
	// end, empty when it is not known.
	UnnamedStatement string
	// Session describes the session state that was set at the other end.
	Session string
	// Altered tells that the session state may differ from what Session, Named
	// and Unnamed say; Reset mends it.
	Altered bool

	conn     net.Conn
	frontend *pgproto3.Frontend
	// sendBuffer holds encoded messages that were not sent yet.
	sendBuffer []byte
	// cancelKey lets Cancel name this connection.
	cancelKey pgproto3.BackendKeyData
	// requestNumber is the requestNumber of the last status request; empty when it had none.
	requestNumber string
	probe  *readProbe
	// firstErr is the first failure of the connection, or nil.
	firstErr error
}

// ServerError is an error that the endpoint reported.
type ServerError struct {
	State   string
	Message string
}

// Error returns the SQLSTATE and the message.
func (e *ServerError) Error() string {
	return fmt.Sprintf("endpoint: %s: %s", e.State, e.Message)
}

// Dial opens a connection and logs in before the context ends. Its error is a
// *ServerError when the endpoint answered with one.
func Dial(ctx context.Context, name core.Endpoint, address netip.AddrPort, login Login) (*Conn, error) {
	nc, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("endpoint: could not connect to %s: %w", name, err)
	}
	c := &Conn{
		Endpoint:        name,
		Address:         address,
		NamedStatements: make(map[string]struct{}),
		conn:            nc,
		probe:           newReadProbe(nc),
		frontend:        pgproto3.NewFrontend(nc, nc),
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

// SetDeadline bounds every later Flush and Receive; the zero time lifts the bound.
func (c *Conn) SetDeadline(t time.Time) {
	if err := c.conn.SetDeadline(t); err != nil {
		_ = c.fail(err)
	}
}

// Interrupt makes Flush and Receive fail, one that waits included, until the next
// SetDeadline. It may be called from another goroutine.
func (c *Conn) Interrupt() {
	_ = c.conn.SetDeadline(time.Unix(1, 0))
}

// Send appends one message to those that the next Flush sends.
func (c *Conn) Send(m pgproto3.FrontendMessage) {
	out, err := m.Encode(c.sendBuffer)
	if err != nil {
		_ = c.fail(err)
		return
	}
	c.sendBuffer = out
}

// SendEncoded appends messages that are encoded already.
func (c *Conn) SendEncoded(b []byte) {
	c.sendBuffer = append(c.sendBuffer, b...)
}

// Flush sends what was appended.
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

// Receive returns the next message, valid until the next call.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	if c.firstErr != nil {
		return nil, c.firstErr
	}
	m, err := c.frontend.Receive()
	if err != nil {
		return nil, c.fail(fmt.Errorf("endpoint: no answer from %s: %w", c.Endpoint, err))
	}
	return m, nil
}

// Err returns the first failure of the connection, or nil.
func (c *Conn) Err() error { return c.firstErr }

func (c *Conn) fail(err error) error {
	if c.firstErr == nil {
		c.firstErr = err
	}
	return c.firstErr
}

// Close ends the connection at once; every later use fails. It may be called
// from another goroutine.
func (c *Conn) Close() { _ = c.conn.Close() }

// Cancel asks the endpoint, over a connection of its own, to stop the statement
// that runs on c. It may be called from another goroutine.
func (c *Conn) Cancel(ctx context.Context) error {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", c.conn.RemoteAddr().String())
	if err != nil {
		return fmt.Errorf("endpoint: could not connect to cancel: %w", err)
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

// IsTimeout reports whether an error means that no answer came in time.
func IsTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
