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

type slopesCmd struct {
	Groups    []int         `default:"1,8,32" help:"Numbers of groups to measure at."`
	Instances []int         `default:"1,4" help:"Numbers of instances to measure at."`
	Window    time.Duration `default:"10s" help:"How long each size is measured."`
	Sample    string        `default:"" help:"Time between two samples, as the settings write it."`
}

// Run measures what idle instances use at several sizes.
func (c *slopesCmd) Run(ctx context.Context, out io.Writer) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	return demo.MeasureIdleCost(ctx, demo.IdleCostOptions{
		Programs:  demo.Programs{Standin: self, Anviltack: filepath.Join(filepath.Dir(self), "anviltack")},
		Groups:    c.Groups,
		Instances: c.Instances,
		Window:    c.Window,
		Sample:    c.Sample,
	}, out)
}
