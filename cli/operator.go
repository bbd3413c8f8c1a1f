package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"anviltack/core"
	"anviltack/core/patch"
	"anviltack/io/operator"
)

// operatorFlags are the flags of the commands that send requests to a running
// instance.
type operatorFlags struct {
	Address   []netip.AddrPort `help:"Operator address of an instance; several are tried in turn." required:"" placeholder:"IP:PORT"`
	TokenFile string           `help:"File with the bearer token." required:"" type:"existingfile" placeholder:"FILE"`
	Timeout   time.Duration    `help:"Longest wait for an answer." default:"10s"`
	JSON      bool             `help:"Print JSON."`
}

// newClient returns a client of the operator interface and a context with the timeout
// of the flags.
func (f operatorFlags) newClient() (operator.Client, context.Context, context.CancelFunc, error) {
	token, err := os.ReadFile(f.TokenFile)
	if err != nil {
		return operator.Client{}, nil, nil, &statusError{status: exitUsage, err: fmt.Errorf("cli: could not read the token: %w", err)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	return operator.Client{Addresses: f.Address, Token: strings.TrimSpace(string(token)), HTTP: &http.Client{}}, ctx, cancel, nil
}

// get requests a path and decodes the response into v.
func (f operatorFlags) get(path string, v any) error {
	c, ctx, cancel, err := f.newClient()
	if err != nil {
		return err
	}
	defer cancel()
	return withExitStatus(c.Get(ctx, path, v))
}

// printJSON prints a value as indented JSON.
func (s *streams) printJSON(v any) error {
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// withExitStatus wraps an error with the exit status for its type or code; other
// errors are returned as they are.
func withExitStatus(err error) error {
	if err == nil {
		return nil
	}
	var unreachable *operator.UnreachableError
	var unknown *patch.UnknownError
	var refused *operator.Error
	switch {
	case errors.As(err, &unknown):
		return &statusError{status: exitUnknown, err: err}
	case errors.As(err, &refused):
		if status, ok := exitStatusByCode[refused.Code]; ok {
			return &statusError{status: status, err: err}
		}
	case errors.As(err, &unreachable):
		return &statusError{status: exitUnavailable, err: err}
	}
	return err
}

// exitStatusByCode holds the exit statuses of errors that an instance answers.
var exitStatusByCode = map[core.Code]int{
	core.CodePatchConflict:     exitConflict,
	core.CodePatchInvalid:      exitInvalid,
	core.CodePatchTooLarge:     exitInvalid,
	core.CodePatchUnknown:      exitUnknown,
	core.CodePlatformDown:      exitUnavailable,
	core.CodeOperatorForbidden: exitForbidden,
}
