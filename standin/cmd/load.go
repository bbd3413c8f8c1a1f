package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"anviltack/core"
	"anviltack/standin/load"
)

type loadCmd struct {
	Entries  []netip.AddrPort            `required:"" help:"Addresses of the entry instances."`
	Controls map[string]string           `required:"" mapsep:";" help:"Control addresses of the endpoints by database: DATABASE=ADDRESS,ADDRESS;..."`
	Kinds    map[core.Kind]time.Duration `required:"" help:"Kinds of read and their ages: KIND=AGE;..."`
	User     string                      `default:"caller" help:"Name of the callers."`
	Password string                      `default:"" help:"Password of the callers."`
	Duration time.Duration               `default:"20s" help:"How long the callers go on."`
	Valuers  int                         `default:"6" help:"Callers that write."`
	Analysts int                         `default:"24" help:"Callers that read."`
	Think    time.Duration               `default:"5ms" help:"Mean pause of a caller between two statements."`
	OneWay   time.Duration               `default:"1ms" help:"Simulated one-way time between callers and entry instances."`
	Seed     uint64                      `default:"1" help:"Seed of the callers' choices."`
	JSON     bool                        `name:"json" help:"Print the report as JSON."`
}

// Run runs the load and prints its report.
func (c *loadCmd) Run(ctx context.Context, out io.Writer) error {
	databases, err := c.databases()
	if err != nil {
		return err
	}
	report, err := load.New(c.Entries, databases,
		load.WithLogin(c.User, c.Password),
		load.WithKinds(c.Kinds),
		load.WithDuration(c.Duration),
		load.WithCallers(c.Valuers, c.Analysts),
		load.WithThinkTime(c.Think),
		load.WithOneWayDelay(c.OneWay),
		load.WithSeed(c.Seed),
	).Run(ctx)
	if err != nil {
		return err
	}
	return printReport(report, c.JSON, out)
}

func (c *loadCmd) databases() ([]load.Database, error) {
	var out []load.Database
	for name, list := range c.Controls {
		d := load.Database{Name: core.Database(name)}
		for _, text := range strings.Split(list, ",") {
			a, err := netip.ParseAddrPort(text)
			if err != nil {
				return nil, fmt.Errorf("load: invalid control address: %w", err)
			}
			d.ControlAddresses = append(d.ControlAddresses, a)
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b load.Database) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out, nil
}
