package core

// Group is the name of a database group.
type Group string

// Endpoint is the name of one member of a database group.
type Endpoint string

// Instance is the name of one anviltack process.
type Instance string

// DataCentre is the name of a data centre.
type DataCentre string

// Organisation is the name of an organisation, to which callers belong.
type Organisation string

// Key is the secret by which a caller shows to which organisation it belongs.
type Key string

// String returns a placeholder, so that no key appears in a log, an error or a dump.
func (Key) String() string { return "[key]" }

// MarshalText returns the same placeholder.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Caller is the user name with which a caller logs in.
type Caller string

// Database is the name of a database as callers give it when they connect.
type Database string

// Kind is the name of a kind of read, such as "snapshot".
type Kind string
