package main

import (
	"context"
	"net/netip"
	"time"

	"anviltack/core"
	"anviltack/standin/endpoint"
)

type endpointCmd struct {
	Name        string           `required:"" help:"Name of the endpoint."`
	Group       string           `required:"" help:"Name of its group."`
	DataCentre  core.DataCentre  `default:"" help:"Its data centre."`
	Listen      netip.AddrPort   `required:"" help:"Address for statements."`
	Control     netip.AddrPort   `required:"" help:"Address for replication and fault switches."`
	Peers       []netip.AddrPort `help:"Control addresses of the other members."`
	Primary     bool             `help:"Start as the primary of the first term."`
	Slots       int              `default:"3" help:"Statements that run at once."`
	Connections int              `default:"20" help:"Connections accepted in all."`
	Connect     time.Duration    `default:"10ms" help:"Time to accept a connection."`
	Work        time.Duration    `default:"500us" help:"Time a statement holds its slot."`
	Delay       time.Duration    `default:"1500us" help:"One-way time to each peer."`
	Lag         time.Duration    `default:"5ms" help:"Time from received to applied on a replica."`
}

// Run serves until it receives an interrupt or SIGTERM.
func (c *endpointCmd) Run(ctx context.Context) error {
	options := []endpoint.Option{
		endpoint.WithDataCentre(c.DataCentre),
		endpoint.WithPeers(c.Peers...),
		endpoint.WithSlots(c.Slots),
		endpoint.WithMaxConnections(c.Connections),
		endpoint.WithConnectDelay(c.Connect),
		endpoint.WithServiceTime(c.Work),
		endpoint.WithNetworkDelay(c.Delay),
		endpoint.WithLag(c.Lag),
	}
	if c.Primary {
		options = append(options, endpoint.WithPrimary())
	}
	return endpoint.New(c.Listen, c.Control, options...).Run(ctx)
}
