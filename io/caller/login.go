package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"anviltack/core"
)

// maxStartMessages bounds the messages read at start-up: encryption requests and the
// start-up message.
const maxStartMessages = 3

// Login holds the contents of a caller's start-up message.
type Login struct {
	Caller     core.Caller
	Database   core.Database
	Parameters map[string]string
}

// CancelKey identifies the session of a cancel request.
type CancelKey struct {
	ProcessID uint32
	Secret    uint32
}

// CancelError is returned by Start for a connection that carried a cancel request.
type CancelError struct {
	Key CancelKey
}

func (*CancelError) Error() string { return "caller: cancel request" }

// Start reads messages up to the start-up message and declines requests for
// encryption. For a cancel request it returns a *CancelError.
func (c *Conn) Start() (Login, error) {
	for range maxStartMessages {
		m, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return Login{}, classifyReadError(err)
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return Login{}, fmt.Errorf("caller: could not decline encryption: %w", err)
			}
		case *pgproto3.CancelRequest:
			return Login{}, &CancelError{Key: newCancelKey(m)}
		case *pgproto3.StartupMessage:
			return newLogin(m), nil
		}
	}
	return Login{}, core.NewError(core.CodeBadMessage, "no start-up message")
}

func newLogin(m *pgproto3.StartupMessage) Login {
	l := Login{
		Caller:     core.Caller(m.Parameters["user"]),
		Database:   core.Database(m.Parameters["database"]),
		Parameters: m.Parameters,
	}
	if l.Database == "" {
		l.Database = core.Database(l.Caller)
	}
	return l
}

func newCancelKey(m *pgproto3.CancelRequest) CancelKey {
	k := CancelKey{ProcessID: m.ProcessID}
	for _, b := range m.SecretKey {
		k.Secret = k.Secret<<8 | uint32(b)
	}
	return k
}

// CompleteStartup completes start-up after authentication: it sends AuthenticationOk, the
// session's parameters and cancel key, and ReadyForQuery.
func (c *Conn) CompleteStartup(key CancelKey, parameters []pgproto3.ParameterStatus) error {
	c.Send(&pgproto3.AuthenticationOk{})
	for i := range parameters {
		c.Send(&parameters[i])
	}
	secret := []byte{byte(key.Secret >> 24), byte(key.Secret >> 16), byte(key.Secret >> 8), byte(key.Secret)}
	c.Send(&pgproto3.BackendKeyData{ProcessID: key.ProcessID, SecretKey: secret})
	c.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	c.backend = nil
	c.receiver = newReceiver(c.conn, c.limit)
	return c.Flush()
}

// Options returns the run-time parameters of the start-up message, including those
// given as "-c name=value" or "--name=value" in its options parameter.
func (l Login) Options() map[string]string {
	options := make(map[string]string, len(l.Parameters))
	for name, value := range l.Parameters {
		switch name {
		case "user", "database", "options", "replication":
		default:
			options[name] = value
		}
	}
	words := splitOptions(l.Parameters["options"])
	for i, w := range words {
		setting, ok := strings.CutPrefix(w, "-c")
		if !ok {
			setting, ok = strings.CutPrefix(w, "--")
		} else if setting == "" && i+1 < len(words) {
			setting = words[i+1]
		}
		if name, value, found := strings.Cut(setting, "="); ok && found {
			options[name] = value
		}
	}
	return options
}

// splitOptions splits the options parameter at blanks without a backslash before them, as
// PostgreSQL does.
func splitOptions(text string) []string {
	var words []string
	var word []byte
	isWord := false
	for i := 0; i < len(text); i++ {
		isBlank := strings.IndexByte(" \t\n\v\f\r", text[i]) >= 0
		switch {
		case isBlank && isWord:
			words, word, isWord = append(words, string(word)), nil, false
		case isBlank:
		case text[i] == '\\' && i+1 < len(text):
			i++
			word, isWord = append(word, text[i]), true
		default:
			word, isWord = append(word, text[i]), true
		}
	}
	if isWord {
		words = append(words, string(word))
	}
	return words
}

// String returns the process ID of the key without its secret, for logs.
func (k CancelKey) String() string { return strconv.FormatUint(uint64(k.ProcessID), 10) }

func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.Canceled)
}
