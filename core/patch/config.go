// Package patch implements the versioned configuration: its document, the merge
// patches by which operators change it, and its history.
package patch

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"anviltack/core"
)

// Config is one version of the configuration.
type Config struct {
	// Groups are the database groups by name.
	Groups map[core.Group]Group `json:"groups"`
	// Databases maps each database that callers may name to its group.
	Databases map[core.Database]Database `json:"databases"`
	// Callers are the logins by user name.
	Callers map[core.Caller]Caller `json:"callers"`
	// Limits are the limits on what callers may use.
	Limits Limits `json:"limits"`
}

// Group is one database group.
type Group struct {
	// Endpoints holds the members by name. A majority of them acknowledges a
	// write, so their number is odd except while one of them is being replaced. A
	// patch adds or removes at most one.
	Endpoints map[core.Endpoint]Endpoint `json:"endpoints"`
}

// Endpoint is one member of a group.
type Endpoint struct {
	Address    netip.AddrPort  `json:"address"`
	DataCentre core.DataCentre `json:"data_centre"`
	// Slots is the number of statements that the endpoint runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the endpoint accepts from all
	// instances together.
	Connections int `json:"connections"`
	// Leaving means that the endpoint gets no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Database is one database that callers may connect to.
type Database struct {
	Group core.Group `json:"group"`
	// Kinds maps each kind of read to the permitted age of its data.
	Kinds map[core.Kind]Kind `json:"kinds"`
}

// Kind is one kind of read.
type Kind struct {
	// Age is the maximum age of the data that such a read returns.
	Age Duration `json:"age"`
}

// Caller is one login.
type Caller struct {
	// Secret is the SCRAM-SHA-256 verifier in the form in which PostgreSQL stores
	// it.
	Secret string `json:"secret"`
	// Databases are the databases that the caller may use.
	Databases []core.Database `json:"databases"`
}

// Limits are the limits on what callers may use on each instance.
type Limits struct {
	// Deadline is the timeout of a statement for which its caller sets none.
	Deadline Duration `json:"deadline"`
	// TransactionIdle is how long a caller may be idle inside a transaction.
	TransactionIdle Duration `json:"transaction_idle"`
	// Queue is the number of statements that may wait for one group on one
	// instance.
	Queue int `json:"queue"`
}

// Duration is a time.Duration that JSON holds as a string such as "1.5s".
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a duration from a string.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("patch: a duration must be a string such as \"1.5s\": %w", err)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("patch: bad duration: %w", err)
	}
	*d = Duration(v)
	return nil
}
