package caller

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"anviltack/core"
)

const mechanism = "SCRAM-SHA-256"

// Authenticate runs a SCRAM-SHA-256 exchange against a verifier in PostgreSQL's
// stored form. The verifier of an unknown caller is empty: the exchange then runs to
// its end and fails, so that an attacker cannot find out which names exist.
func (c *Conn) Authenticate(verifier string) error {
	credentials, err := parseVerifier(verifier)
	known := err == nil
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return credentials, nil
	})
	if err != nil {
		return fmt.Errorf("caller: could not start authentication: %w", err)
	}
	conversation := server.NewConversation()
	c.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	first, err := c.receiveSASL(pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	reply, err := conversation.Step(first)
	if err != nil {
		return errAuthenticationFailed()
	}
	c.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(reply)})
	final, err := c.receiveSASL(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	reply, err = conversation.Step(final)
	if err != nil || !conversation.Valid() || !known {
		return errAuthenticationFailed()
	}
	c.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
	return nil
}

func (c *Conn) receiveSASL(expected uint32) (string, error) {
	if err := c.Flush(); err != nil {
		return "", err
	}
	if err := c.backend.SetAuthType(expected); err != nil {
		return "", fmt.Errorf("caller: could not continue authentication: %w", err)
	}
	m, err := c.backend.Receive()
	if err != nil {
		return "", classifyReadError(err)
	}
	switch m := m.(type) {
	case *pgproto3.SASLInitialResponse:
		if m.AuthMechanism != mechanism {
			return "", errAuthenticationFailed()
		}
		return string(m.Data), nil
	case *pgproto3.SASLResponse:
		return string(m.Data), nil
	}
	return "", core.NewError(core.CodeBadMessage, "no authentication message")
}

func errAuthenticationFailed() error {
	return core.NewError(core.CodeAuthentication, "password authentication failed")
}

// parseVerifier parses SCRAM-SHA-256$iterations:salt$storedkey:serverkey. With an error
// it returns dummy credentials, so that the exchange can run.
func parseVerifier(s string) (scram.StoredCredentials, error) {
	dummy := scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: "unknown caller", Iters: defaultIterations},
		StoredKey:  make([]byte, keyBytes),
		ServerKey:  make([]byte, keyBytes),
	}
	parts := strings.Split(s, "$")
	if len(parts) != 3 || parts[0] != mechanism {
		return dummy, fmt.Errorf("caller: not a SCRAM verifier")
	}
	iterations, salt, ok := strings.Cut(parts[1], ":")
	stored, key, ok2 := strings.Cut(parts[2], ":")
	n, err := strconv.Atoi(iterations)
	if !ok || !ok2 || err != nil {
		return dummy, fmt.Errorf("caller: not a SCRAM verifier")
	}
	var decoded [3][]byte
	for i, text := range []string{salt, stored, key} {
		if decoded[i], err = base64.StdEncoding.DecodeString(text); err != nil {
			return dummy, fmt.Errorf("caller: not a SCRAM verifier: %w", err)
		}
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(decoded[0]), Iters: n},
		StoredKey:  decoded[1],
		ServerKey:  decoded[2],
	}, nil
}

const (
	defaultIterations = 4096
	keyBytes          = 32
)

// Verifier returns the stored form of a password with the given salt.
func Verifier(password string, salt []byte) (string, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", fmt.Errorf("caller: could not derive a verifier: %w", err)
	}
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: defaultIterations})
	if err != nil {
		return "", fmt.Errorf("caller: could not derive a verifier: %w", err)
	}
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d:%s$%s:%s", mechanism, defaultIterations, encode(salt),
		encode(credentials.StoredKey), encode(credentials.ServerKey)), nil
}
