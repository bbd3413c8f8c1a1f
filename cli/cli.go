// Package cli implements the commands of anviltack, one file each.
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
	// exitSettings means that the settings or configuration file is invalid.
	exitSettings = 3
	// exitConflict means that the base of the patch is no longer the newest version:
	// another patch was accepted first.
	exitConflict = 4
	// exitInvalid means that the patch is invalid; nothing was changed.
	exitInvalid = 5
	// exitUnknown means that the patch may or may not have been accepted; the settle
	// command prints the outcome.
	exitUnknown = 6
	// exitUnavailable means that no instance or no platform answered.
	exitUnavailable = 7
	// exitForbidden means that the bearer token is wrong.
	exitForbidden = 8
)

// streams are the standard output and standard error of a command.
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

// exitRequest is the panic value that unwinds Run when kong asks to exit by itself,
// such as after printing help; it is the exit status.
type exitRequest int

// Run executes a command line and returns the exit status.
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
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	return reportError(errOut, ctx.Run(&streams{out: out, err: errOut}))
}

// reportError prints an error, if any, and returns the exit status.
func reportError(errOut io.Writer, err error) int {
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

// statusError is an error with the exit status of the command.
type statusError struct {
	status int
	err    error
}

// Error returns the text of the wrapped error.
func (e *statusError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *statusError) Unwrap() error { return e.err }
