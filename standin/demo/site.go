// Package demo runs the platform, the endpoints, the entry instances and the
// callers of one site as processes on loopback, strikes with a fault half way
// and reports what the callers saw.
package demo

import (
	"fmt"
	"time"

	"anviltack/core"
)

// Site is one deployment of the sizes of today.
type Site struct {
	Name        string
	DataCentres []core.DataCentre
	// Service is the prefix of the groups' and databases' names.
	Service     string
	Groups      int
	Members     int
	Slots       int
	Connections int
	Connect     time.Duration
	// Delay is the one-way time between data centres.
	Delay time.Duration
	// Lag is the further time from received to applied on a replica.
	Lag       time.Duration
	Instances int
	Kinds     map[core.Kind]time.Duration
}

// Sites are the deployments that the demo knows, by name.
var Sites = map[string]Site{
	"index": {
		Name:        "index",
		DataCentres: []core.DataCentre{"bkk-a", "bkk-b", "nonth-a", "pathum-a"},
		Service:     "index-core",
		Groups:      3,
		Members:     3,
		Slots:       3,
		Connections: 20,
		Connect:     10 * time.Millisecond,
		Delay:       1500 * time.Microsecond,
		Lag:         5 * time.Millisecond,
		Instances:   4,
		Kinds: map[core.Kind]time.Duration{
			"series":   10 * time.Second,
			"snapshot": time.Second,
			"review":   200 * time.Millisecond,
		},
	},
	"board": {
		Name:        "board",
		DataCentres: []core.DataCentre{"lichfield", "coventry", "derby"},
		Service:     "orders-ledger",
		Groups:      3,
		Members:     3,
		Slots:       5,
		Connections: 60,
		Connect:     10 * time.Millisecond,
		Delay:       time.Millisecond,
		Lag:         5 * time.Millisecond,
		Instances:   4,
		Kinds: map[core.Kind]time.Duration{
			"catalogue": 10 * time.Second,
			"stock":     500 * time.Millisecond,
			"invoice":   200 * time.Millisecond,
		},
	},
}

// groupName returns the name of a group and of its database.
func (s Site) groupName(group int) string { return fmt.Sprintf("%s-%d", s.Service, group+1) }

// memberName returns the name of a member of a group.
func (s Site) memberName(group, member int) string {
	return fmt.Sprintf("%s-%d%c", s.Service, group+1, 'a'+rune(member))
}

// dataCentre spreads the members of a group over the data centres.
func (s Site) dataCentre(group, member int) core.DataCentre {
	return s.DataCentres[(group+member)%len(s.DataCentres)]
}
