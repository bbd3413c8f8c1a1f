// Package caller implements the accepting side of the PostgreSQL protocol, towards
// callers.
package caller

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"anviltack/core"
)

// Conn is one caller's connection. It is not safe for concurrent use, except for
// Interrupt and End.
type Conn struct {
	conn net.Conn
	// backend reads the start-up messages; it is nil once start-up is complete.
	backend *pgproto3.Backend
	// receiver reads the messages after start-up.
	receiver *receiver
	// limit is the maximum length of a message in bytes.
	limit int
	// sendBuffer holds encoded messages that are not sent yet.
	sendBuffer []byte
	// firstErr is the first error of the connection, or nil.
	firstErr error

	// isUnread is true if a message was refused by its length and not read.
	isUnread bool

	// writeMutex is held during a write.
	writeMutex sync.Mutex
	// ended is true once End was called or a write failed; nothing more is sent.
	ended bool
}

// NewConn returns a connection over an accepted socket that rejects messages longer
// than limit bytes.
func NewConn(nc net.Conn, limit int) *Conn {
	b := pgproto3.NewBackend(nc, nc)
	b.SetMaxBodyLen(limit)
	return &Conn{conn: nc, backend: b, limit: limit}
}

// Receive returns the next message, which is valid until the next call. The error for
// a malformed or oversized message is a *core.Error.
func (c *Conn) Receive() (pgproto3.FrontendMessage, error) {
	m, err := c.receiver.next()
	if err != nil {
		var e *core.Error
		c.isUnread = errors.As(err, &e) && e.Code == core.CodeTooLarge
	}
	return m, err
}

// unreadTimeout bounds the reading of a message that was refused by its length.
const unreadTimeout = 5 * time.Second

// DiscardUnread reads and drops what the caller still sends of a message that was refused by its
// length. Closing the connection instead would reset it, and the caller would not see the refusal.
// Nothing can be sent afterwards.
func (c *Conn) DiscardUnread() {
	if !c.isUnread {
		return
	}
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(unreadTimeout))
	_, _ = io.Copy(io.Discard, c.conn)
}

// classifyReadError distinguishes invalid messages, for which it returns a *core.Error,
// from the end of the connection.
func classifyReadError(err error) error {
	var n net.Error
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	switch {
	case errors.As(err, &tooLarge):
		return core.NewError(core.CodeTooLarge, "message of %d bytes is above the limit of %d bytes", tooLarge.ActualBodyLen, tooLarge.MaxExpectedBodyLen)
	case errors.As(err, &n), isConnectionEnd(err):
		return fmt.Errorf("caller: connection ended: %w", err)
	}
	return core.NewError(core.CodeBadMessage, "malformed message")
}

// SetReadDeadline sets the deadline of every later Receive; the zero time means none.
func (c *Conn) SetReadDeadline(t time.Time) {
	if err := c.conn.SetReadDeadline(t); err != nil {
		_ = c.fail(err)
	}
}

// IsTimeout reports whether err means that the read deadline passed.
func IsTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// Interrupt sets the deadline of a Receive that blocks in another goroutine.
func (c *Conn) Interrupt(t time.Time) { _ = c.conn.SetReadDeadline(t) }

// Send appends a message to the send buffer.
func (c *Conn) Send(m pgproto3.BackendMessage) {
	out, err := m.Encode(c.sendBuffer)
	if err != nil {
		_ = c.fail(err)
		return
	}
	c.sendBuffer = out
}

// Len returns the number of bytes in the send buffer.
func (c *Conn) Len() int { return len(c.sendBuffer) }

// Truncate discards all but the first n bytes of the send buffer.
func (c *Conn) Truncate(n int) { c.sendBuffer = c.sendBuffer[:n] }

// FlushFirst sends the first n bytes of the send buffer.
func (c *Conn) FlushFirst(n int) error {
	if c.firstErr != nil {
		return c.firstErr
	}
	err := c.write(c.sendBuffer[:n])
	rest := copy(c.sendBuffer, c.sendBuffer[n:])
	c.sendBuffer = c.sendBuffer[:rest]
	if cap(c.sendBuffer) > maxIdleBufferBytes && rest == 0 {
		c.sendBuffer = nil
	}
	if err != nil {
		return c.fail(fmt.Errorf("caller: could not send: %w", err))
	}
	return nil
}

func (c *Conn) write(b []byte) error {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	if c.ended {
		return net.ErrClosed
	}
	_, err := c.conn.Write(b)
	c.ended = err != nil
	return err
}

// endTimeout bounds the sending of the last message to a caller that does not read.
const endTimeout = 500 * time.Millisecond

// End sends an error as the connection's last message, unless one was sent already. What is in
// the send buffer is not sent. It may be called from another goroutine.
func (c *Conn) End(e *core.Error) {
	if err := c.conn.SetWriteDeadline(time.Now().Add(endTimeout)); err != nil {
		return
	}
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	if b, err := errorResponse(SeverityFatal, e).Encode(nil); err == nil {
		_, _ = c.conn.Write(b)
	}
}

// maxIdleBufferBytes is the largest buffer that an idle connection keeps.
const maxIdleBufferBytes = 4 << 10

// Flush sends the whole send buffer.
func (c *Conn) Flush() error { return c.FlushFirst(len(c.sendBuffer)) }

func (c *Conn) fail(err error) error {
	if c.firstErr == nil {
		c.firstErr = err
	}
	return c.firstErr
}

// Close closes the connection without a message to the caller.
func (c *Conn) Close() { _ = c.conn.Close() }

// Severity is the severity of an error as callers see it.
type Severity string

// The severities that anviltack sends.
const (
	SeverityError  Severity = "ERROR"
	SeverityFatal  Severity = "FATAL"
	SeverityNotice Severity = "NOTICE"
)

// SendError appends an error response with the error's SQLSTATE and, as a hint, the
// delay after which to retry.
func (c *Conn) SendError(s Severity, e *core.Error) { c.Send(errorResponse(s, e)) }

func errorResponse(s Severity, e *core.Error) *pgproto3.ErrorResponse {
	m := &pgproto3.ErrorResponse{
		Severity:            string(s),
		SeverityUnlocalized: string(s),
		Code:                e.Code.SQLState(),
		Message:             e.Error(),
	}
	if e.RetryAfter > 0 {
		m.Hint = "retry after " + e.RetryAfter.Round(time.Millisecond).String()
	}
	return m
}
