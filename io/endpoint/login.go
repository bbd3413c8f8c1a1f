package endpoint

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const mechanism = "SCRAM-SHA-256"

// Login holds the user, password and database of a connection.
type Login struct {
	User string
	// Password is empty if the endpoint asks for none. Otherwise the endpoint must
	// authenticate by SCRAM-SHA-256, which proves that it knows the password too.
	Password string
	Database string
}

var errUnauthenticated = errors.New("endpoint: the endpoint accepted the connection without SCRAM-SHA-256 although a password is set")

// logIn performs start-up and authentication.
func (c *Conn) logIn(login Login) error {
	c.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": login.User, "database": login.Database},
	})
	if err := c.Flush(); err != nil {
		return err
	}
	authenticated := login.Password == ""
	for {
		m, err := c.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.ParameterStatus, *pgproto3.NoticeResponse:
		case *pgproto3.AuthenticationOk:
			if !authenticated {
				return errUnauthenticated
			}
		case *pgproto3.AuthenticationSASL:
			if err := c.authenticate(login); err != nil {
				return err
			}
			authenticated = true
		case *pgproto3.BackendKeyData:
			c.cancelKey = pgproto3.BackendKeyData{ProcessID: m.ProcessID, SecretKey: append([]byte(nil), m.SecretKey...)}
		case *pgproto3.ErrorResponse:
			return &ResponseError{State: m.Code, Message: m.Message}
		case *pgproto3.ReadyForQuery:
			if !authenticated {
				return errUnauthenticated
			}
			return nil
		default:
			return fmt.Errorf("endpoint: unexpected %T at start-up", m)
		}
	}
}

// authenticate runs a SCRAM-SHA-256 exchange, which also verifies that the endpoint has
// the password's verifier.
func (c *Conn) authenticate(login Login) error {
	client, err := scram.SHA256.NewClient(login.User, login.Password, "")
	if err != nil {
		return fmt.Errorf("endpoint: could not start authentication: %w", err)
	}
	conversation := client.NewConversation()
	first, err := conversation.Step("")
	if err != nil {
		return fmt.Errorf("endpoint: could not start authentication: %w", err)
	}
	c.Send(&pgproto3.SASLInitialResponse{AuthMechanism: mechanism, Data: []byte(first)})
	for !conversation.Done() {
		challenge, err := c.receiveChallenge()
		if err != nil {
			return err
		}
		reply, err := conversation.Step(challenge)
		if err != nil {
			return fmt.Errorf("endpoint: authentication failed: %w", err)
		}
		if !conversation.Done() {
			c.Send(&pgproto3.SASLResponse{Data: []byte(reply)})
		}
	}
	return nil
}

// receiveChallenge sends the send buffer and returns the endpoint's next challenge.
func (c *Conn) receiveChallenge() (string, error) {
	if err := c.Flush(); err != nil {
		return "", err
	}
	m, err := c.Receive()
	if err != nil {
		return "", err
	}
	switch m := m.(type) {
	case *pgproto3.AuthenticationSASLContinue:
		return string(m.Data), nil
	case *pgproto3.AuthenticationSASLFinal:
		return string(m.Data), nil
	case *pgproto3.ErrorResponse:
		return "", &ResponseError{State: m.Code, Message: m.Message}
	}
	return "", fmt.Errorf("endpoint: unexpected %T during authentication", m)
}
