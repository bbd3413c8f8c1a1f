// Command standin simulates the platform, the endpoints and the callers.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type commands struct {
	Platform platformCmd `cmd:"" help:"Stand in for the platform."`
	Endpoint endpointCmd `cmd:"" help:"Stand in for a member of a database group."`
	Load     loadCmd     `cmd:"" help:"Run callers against entry instances and judge their answers."`
	Demo     demoCmd     `cmd:"" help:"Run a whole site as processes, strike with a fault and report."`
	Slopes   slopesCmd   `cmd:"" help:"Measure what idle entry instances cost at several sizes."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c commands
	k := kong.Parse(&c, kong.Name("standin"), kong.Description("Stand-ins of the platform, the endpoints and the callers."))
	k.BindTo(ctx, (*context.Context)(nil))
	k.BindTo(os.Stdout, (*io.Writer)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}
