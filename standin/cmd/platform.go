package main

import (
	"context"
	"net/netip"

	"anviltack/standin/platform"
)

type platformCmd struct {
	Listen  netip.AddrPort `default:"127.0.0.1:8500" help:"Address of the key-value API."`
	Control netip.AddrPort `default:"127.0.0.1:8501" help:"Address of the fault switches."`
}

// Run serves until it receives an interrupt or SIGTERM.
func (c *platformCmd) Run(ctx context.Context) error {
	return platform.New(c.Listen, c.Control).Run(ctx)
}
