// Package cli holds the commands of anviltack, one file each.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// The exit statuses of the commands; docs/CODES.md lists them.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
	// exitSettings tells that the settings file has faults.
	exitSettings = 3
	// exitConflict tells that another patch took the version.
	exitConflict = 4
	// exitInvalid tells that a patch has faults; nothing was changed.
	exitInvalid = 5
	// exitUnknown tells that a patch may be in; settle tells later.
	exitUnknown = 6
	// exitUnavailable tells that no instance or no platform answered.
	exitUnavailable = 7
	// exitForbidden tells that the bearer token is wrong.
	exitForbidden = 8
)

// streams are where a command writes.
type streams struct {
	out io.Writer
	err io.Writer
}

type commands struct {
	Serve    serveCmd    `cmd:"" help:"Run an entry instance."`
	Check    checkCmd    `cmd:"" help:"Check a settings file and name every fault."`
	Config   configCmd   `cmd:"" help:"Show the configuration and its history."`
	Patch    patchCmd    `cmd:"" help:"Submit a patch of the configuration."`
	Settle   settleCmd   `cmd:"" help:"Tell what became of a patch."`
	Secret   secretCmd   `cmd:"" help:"Make a caller's secret from a password on standard input."`
	Dump     dumpCmd     `cmd:"" help:"Show the state of an instance."`
	Status   statusCmd   `cmd:"" help:"Show groups, endpoints and instances."`
	Platform platformCmd `cmd:"" help:"Run an instance on the users' platform."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

// exitRequest carries the status of a command line that kong answered by itself, such
// as a request for help.
type exitRequest int

// Run executes one command line and returns its exit status.
func Run(args []string, out, errOut io.Writer) (status int) {
	var c commands
	parser, err := kong.New(&c,
		kong.Name("anviltack"),
		kong.Description("A PostgreSQL proxy with session consistency."),
		kong.Writers(out, errOut),
		kong.Exit(func(n int) { panic(exitRequest(n)) }),
	)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailure
	}
	defer func() {
		r := recover()
		if n, ok := r.(exitRequest); ok {
			status = int(n)
			return
		}
		if r != nil {
			panic(r)
		}
	}()
	k, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	return exitStatus(errOut, k.Run(&streams{out: out, err: errOut}))
}

func exitStatus(errOut io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errOut, err)
	var s *statusError
	if errors.As(err, &s) {
		return s.status
	}
	return exitFailure
}

// statusError ends a command with an exit status of its own.
type statusError struct {
	status int
	err    error
}

// Error returns the text of the wrapped error.
func (e *statusError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *statusError) Unwrap() error { return e.err }
