package cli

import (
	"bufio"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"strings"

	"anviltack/io/caller"
)

// saltBytes is the length of the SCRAM salt of a new secret.
const saltBytes = 16

type secretCmd struct{}

// Run reads a password from the first line of standard input and prints the SCRAM
// verifier to store in the configuration.
func (*secretCmd) Run(s *streams) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	password := strings.TrimRight(line, "\r\n")
	if password == "" {
		return &statusError{status: exitUsage, err: errors.Join(errors.New("cli: no password on standard input"), err)}
	}
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return fmt.Errorf("cli: could not generate a salt: %w", err)
	}
	verifier, err := caller.Verifier(password, salt)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.out, verifier)
	return err
}
