package endpoint

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"

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
