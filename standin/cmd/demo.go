package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"anviltack/standin/demo"
)

type demoCmd struct {
	Site      string          `default:"index" enum:"index,board" help:"Deployment: index or board."`
	Duration  time.Duration   `default:"20s" help:"How long the callers go on."`
	Faults    []demo.Scenario `default:"kill" help:"Faults half way: none, kill, pause, freeze, cut, lag, silence, mute, cross, restart, platform-down, lose-answers, kill-entry, drain, partition."`
	Anviltack string          `default:"" help:"Path of the anviltack binary; beside this one when not given." type:"path"`
	Seed      uint64          `default:"1" help:"Seed of the callers' choices."`
	Valuers   int             `default:"6" help:"Callers that write."`
	Analysts  int             `default:"24" help:"Callers that read."`
	Keep      string          `default:"" help:"Folder that keeps logs and settings." type:"path"`
	JSON      bool            `name:"json" help:"Print the report as JSON."`
}

// Run runs the demo and prints the callers' report.
func (c *demoCmd) Run(ctx context.Context, out io.Writer) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if c.Anviltack == "" {
		c.Anviltack = filepath.Join(filepath.Dir(self), "anviltack")
	}
	progress := out
	if c.JSON {
		progress = os.Stderr
	}
	report, err := demo.Run(ctx, demo.Options{
		Site:      demo.Sites[c.Site],
		Programs:  demo.Programs{Standin: self, Anviltack: c.Anviltack},
		Duration:  c.Duration,
		Scenarios: c.Faults,
		Seed:      c.Seed,
		Writers:   c.Valuers,
		Readers:   c.Analysts,
		Keep:      c.Keep,
	}, progress)
	if err != nil {
		return err
	}
	return printReport(report, c.JSON, out)
}
