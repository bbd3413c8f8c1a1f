// Package demo runs the platform, the endpoints, the entry instances and the
// callers of one site as processes on loopback, injects faults half way and
// reports what the callers saw.
package demo

import (
	"fmt"
	"time"

	"anviltack/core"
)

// Site describes one deployment at its current size.
type Site struct {
	Name        string
	DataCentres []core.DataCentre
	// Service is the prefix of the groups' and databases' names.
	Service           string
	Groups            int
	EndpointsPerGroup int
	Slots             int
	Connections       int
	ConnectDelay      time.Duration
	// NetworkDelay is the one-way delay between data centres.
	NetworkDelay time.Duration
	// Lag is the additional time from received to applied on a replica.
	Lag       time.Duration
	Instances int
	Kinds     map[core.Kind]time.Duration
}

// Sites are the deployments that the demo can run, by name.
var Sites = map[string]Site{
	"index": {
		Name:              "index",
		DataCentres:       []core.DataCentre{"bkk-a", "bkk-b", "nonth-a", "pathum-a"},
		Service:           "index-core",
		Groups:            3,
		EndpointsPerGroup: 3,
		Slots:             3,
		Connections:       20,
		ConnectDelay:      10 * time.Millisecond,
		NetworkDelay:      1500 * time.Microsecond,
		Lag:               5 * time.Millisecond,
		Instances:         4,
		Kinds: map[core.Kind]time.Duration{
			"series":   10 * time.Second,
			"snapshot": time.Second,
			"review":   200 * time.Millisecond,
		},
	},
	"board": {
		Name:              "board",
		DataCentres:       []core.DataCentre{"lichfield", "coventry", "derby"},
		Service:           "orders-ledger",
		Groups:            3,
		EndpointsPerGroup: 3,
		Slots:             5,
		Connections:       60,
		ConnectDelay:      10 * time.Millisecond,
		NetworkDelay:      time.Millisecond,
		Lag:               5 * time.Millisecond,
		Instances:         4,
		Kinds: map[core.Kind]time.Duration{
			"catalogue": 10 * time.Second,
			"stock":     500 * time.Millisecond,
			"invoice":   200 * time.Millisecond,
		},
	},
}

// groupName returns the name of a group and of its database.
func (s Site) groupName(group int) string { return fmt.Sprintf("%s-%d", s.Service, group+1) }

// endpointName returns the name of an endpoint of a group.
func (s Site) endpointName(group, member int) string {
	return fmt.Sprintf("%s-%d%c", s.Service, group+1, 'a'+rune(member))
}

// dataCentre distributes the endpoints of a group over the data centres.
func (s Site) dataCentre(group, member int) core.DataCentre {
	return s.DataCentres[(group+member)%len(s.DataCentres)]
}
