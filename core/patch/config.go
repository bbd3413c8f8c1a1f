// Package patch holds the operators' configuration: its versions, the patches
// that lead from one version to the next, and the history of both.
package patch

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"anviltack/core"
)

// Config is one version of the operators' configuration.
type Config struct {
	// Groups are the database groups by name.
	Groups map[core.Group]Group `json:"groups"`
	// Databases maps each database that callers may name to its group.
	Databases map[core.Database]Database `json:"databases"`
	// Callers are the log-ins.
	Callers map[core.Caller]Caller `json:"callers"`
	// Limits bound what callers may use.
	Limits Limits `json:"limits"`
}

// Group is one database group.
type Group struct {
	// Endpoints holds the members by name; a majority of them acknowledges a
	// write, so their number is odd but while one of them is replaced. A patch
	// adds or removes at most one.
	Endpoints map[core.Endpoint]Endpoint `json:"endpoints"`
}

// Endpoint is one member of a group.
type Endpoint struct {
	Address    netip.AddrPort  `json:"address"`
	DataCentre core.DataCentre `json:"data_centre"`
	// Slots is how many statements the endpoint runs at once.
	Slots int `json:"slots"`
	// Connections is how many connections the endpoint accepts in all.
	Connections int `json:"connections"`
	// Leaving tells that the endpoint gets no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Database is one database as callers name it.
type Database struct {
	Group core.Group `json:"group"`
	// Kinds maps each kind of read to the age that its data may have.
	Kinds map[core.Kind]Kind `json:"kinds"`
}

// Kind is one kind of read.
type Kind struct {
	// Age is how old the data of such a read may be.
	Age Duration `json:"age"`
}

// Caller is one log-in.
type Caller struct {
	// Secret is the SCRAM-SHA-256 verifier in PostgreSQL's stored form.
	Secret string `json:"secret"`
	// Databases are those that the caller may reach.
	Databases []core.Database `json:"databases"`
}

// Limits bound what callers may use on each instance.
type Limits struct {
	// Deadline is how long a statement may take when its caller states nothing.
	Deadline Duration `json:"deadline"`
	// TransactionIdle is how long a caller may be idle inside a transaction.
	TransactionIdle Duration `json:"transaction_idle"`
	// Queue is how many statements may wait for one group on one instance.
	Queue int `json:"queue"`
}

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration from text.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("patch: a duration is a text such as \"1.5s\": %w", err)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("patch: bad duration: %w", err)
	}
	*d = Duration(v)
	return nil
}
