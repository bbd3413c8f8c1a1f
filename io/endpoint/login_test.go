package endpoint

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"anviltack/core"
	"anviltack/io/caller"
)

const password = "secret"

// serveLogin accepts one connection and authenticates it as an instance does.
func serveLogin(t *testing.T) netip.AddrPort {
	t.Helper()
	verifier, err := caller.Verifier(password, []byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		c := caller.NewConn(nc, 1<<20)
		defer c.Close()
		if _, err := c.Start(); err != nil {
			return
		}
		err = c.Authenticate(verifier)
		var e *core.Error
		if errors.As(err, &e) {
			c.SendError(caller.SeverityFatal, e)
			_ = c.Flush()
			return
		}
		_ = c.CompleteStartup(caller.CancelKey{}, nil)
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func TestLogin(t *testing.T) {
	is := is.New(t)
	c, err := Dial(context.Background(), "e1", serveLogin(t), Login{User: "anviltack", Password: password, Database: "index"})
	is.NoErr(err)
	c.Close()
	_, err = Dial(context.Background(), "e1", serveLogin(t), Login{User: "anviltack", Password: "wrong", Database: "index"})
	var refused *ResponseError
	is.True(errors.As(err, &refused))
	is.Equal(refused.State, core.CodeAuthentication.SQLState())
}

// TestLoginRequiresProof checks that an endpoint which accepts a connection without proving
// that it knows the password is rejected, and accepted if no password is set.
func TestLoginRequiresProof(t *testing.T) {
	is := is.New(t)
	messages := map[string][]pgproto3.BackendMessage{
		"accepted at once":  {&pgproto3.AuthenticationOk{}, &pgproto3.ReadyForQuery{TxStatus: 'I'}},
		"no authentication": {&pgproto3.ReadyForQuery{TxStatus: 'I'}},
	}
	for _, list := range messages {
		_, err := Dial(context.Background(), "e1", serveMessages(t, list), Login{User: "anviltack", Password: password, Database: "index"})
		is.True(errors.Is(err, errUnauthenticated))
		c, err := Dial(context.Background(), "e1", serveMessages(t, list), Login{User: "anviltack", Database: "index"})
		is.NoErr(err)
		c.Close()
	}
}

// serveMessages accepts one connection and answers its start-up with messages.
func serveMessages(t *testing.T, list []pgproto3.BackendMessage) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		b := pgproto3.NewBackend(conn, conn)
		if _, err := b.ReceiveStartupMessage(); err != nil {
			return
		}
		for _, m := range list {
			b.Send(m)
		}
		_ = b.Flush()
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}
