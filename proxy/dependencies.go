package proxy

import (
	"context"
	"net"
	"net/netip"
	"time"

	"anviltack/core"
)

// Callers is the protocol of callers.
type Callers struct {
	// Start takes a new connection up to its first statement.
	Start func(conn net.Conn) (*Caller, error)
	// StartRelayed takes a session that another instance hands on.
	StartRelayed func(conn net.Conn, v ConfigVersions) (*Caller, error)
}

// ConfigVersions are those of the configuration, which instances tell one another so that
// no session falls back to an older one when another instance serves it.
type ConfigVersions struct {
	// Newest returns the newest version heard of.
	Newest  func() uint64
	Observe func(version uint64)
}

// Caller is one caller's connection.
type Caller struct {
	Database core.Database
	Name     core.Caller
	// Ready tells the caller that its session began.
	Ready func() error
	// Next returns the caller's next statement; it fails when none comes within
	// limit, unless that is zero.
	Next func(limit time.Duration) (Statement, error)
	// Answer sends the answer to the statement that Next returned last.
	Answer func(a Answer) error
	// Reject ends a session that did not begin.
	Reject func(err error)
	// Interrupt makes a waiting Next fail, unless a statement is under way.
	Interrupt func()
	Close     func()
	// Relayed tells that another instance handed the session on.
	Relayed bool
	// Relay opens the session at another instance, which answers each statement
	// within timeout.
	Relay func(ctx context.Context, to Peer, timeout time.Duration, v ConfigVersions) (*Relay, error)
}

// Relay is a session that another instance serves.
type Relay struct {
	// Run hands messages on until the session ends. It returns the statement that
	// got no answer, empty for none.
	Run func() (lost string)
	// Stop ends the session between two statements, inside a transaction only if
	// all is set.
	Stop func(all bool)
}

// Endpoints is the protocol of endpoints.
type Endpoints struct {
	Dial func(ctx context.Context, e Endpoint) (*Conn, error)
}

// Conn is a connection to an endpoint; one goroutine uses it at a time.
type Conn struct {
	// Exchange sends statements together and returns as many answers as came
	// before an error.
	Exchange func(limit time.Duration, statements []Statement) ([]Answer, error)
	// Status asks for the endpoint's report.
	Status func(limit time.Duration) (Report, error)
	// CheckPrimary returns the end of the endpoint's log if it takes itself for the
	// primary, and an EndpointError with FaultReadOnly if not.
	CheckPrimary func(limit time.Duration) (core.Point, error)
	// Fence makes the endpoint refuse the primaries of terms below term.
	Fence func(limit time.Duration, term uint64, role core.Role) (Report, error)
	// IsOpen reports whether the endpoint has not closed the idle connection.
	IsOpen func() bool
	Close  func()
}

// Endpoint is an endpoint as the directory lists it.
type Endpoint struct {
	Name       core.Endpoint
	Group      core.Group
	Address    netip.AddrPort
	DataCentre core.DataCentre
	// Leaving tells that the endpoint gets no new work.
	Leaving bool
	// StartedAt is when the endpoint's process started, by its own clock; another
	// value under the same name is another process.
	StartedAt int64
	Slots     int
	// Role is how the endpoint last saw itself.
	Role core.Role
}

// Directory lists the endpoints.
type Directory struct {
	// Watch offers the whole list now and after each change until ctx ends.
	Watch func(ctx context.Context, offer func([]Endpoint)) error
}

// ConfigSource gives the configuration.
type ConfigSource struct {
	// Watch offers the newest configuration now and after each change until ctx
	// ends.
	Watch func(ctx context.Context, offer func(*Config)) error
}

// VersionedValue is a value of the register; Revision is zero when there is none.
type VersionedValue struct {
	Revision uint64
	Value    string
}

// LeaseStore is a small store of values that change one revision at a time.
type LeaseStore struct {
	Get func(ctx context.Context, key string) (VersionedValue, error)
	// CompareAndSwap replaces the value at a revision and returns the new revision, or
	// zero when the value had another revision. After an error the change may
	// still come.
	CompareAndSwap func(ctx context.Context, key string, revision uint64, value string) (uint64, error)
	// IsHealthy reports whether the last call to the store was answered as hoped.
	IsHealthy func() bool
}

// Peer is a live instance.
type Peer struct {
	Name       core.Instance
	DataCentre core.DataCentre
	// SessionAddress is the address at which it serves sessions of other instances;
	// invalid when it serves none.
	SessionAddress netip.AddrPort
}

// Membership lists the live instances.
type Membership struct {
	// Maintain holds this instance's entry and offers all of them until ctx ends.
	Maintain func(ctx context.Context, offer func(live []Peer)) error
}

// Promoter makes an endpoint the primary of its group.
type Promoter struct {
	Promote func(ctx context.Context, g core.Group, e core.Endpoint, token uint64) error
}

// Dependencies are everything outside the process.
type Dependencies struct {
	Callers      Callers
	Endpoints    Endpoints
	Directory    Directory
	ConfigSource ConfigSource
	LeaseStore   LeaseStore
	Membership   Membership
	Promoter     Promoter
	// Now reads a clock that counts suspension.
	Now func() time.Time
}
