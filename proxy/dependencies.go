package proxy

import (
	"context"
	"net"
	"net/netip"
	"time"

	"anviltack/core"
	"anviltack/core/home"
	"anviltack/core/quota"
)

// Callers implements the protocol between callers and the instance.
type Callers struct {
	// Start performs the handshake on a new connection, up to the first statement.
	Start func(conn net.Conn) (*Caller, error)
	// StartRelayed performs the handshake for a session that another instance relays. On a
	// connection for another purpose it serves the other instance until that closes it, and
	// returns an error.
	StartRelayed func(conn net.Conn, v ConfigVersions, answer func(LimitQuestion) LimitAnswer) (*Caller, error)
}

// ConfigVersions exchanges configuration versions between instances, so that a relayed
// session is never served under an older configuration than before.
type ConfigVersions struct {
	// Newest returns the newest version that this instance has seen or heard of.
	Newest func() uint64
	// Observe records a version that another instance has.
	Observe func(version uint64)
}

// Caller is the connection of one caller.
type Caller struct {
	Database core.Database
	// Key is what the caller presented to show its organisation; any text where the
	// configuration names no organisations.
	Key core.Key
	// Ready tells the caller that its session has started.
	Ready func() error
	// Next returns the caller's next statement. It fails if none arrives within timeout;
	// zero means no timeout.
	Next func(timeout time.Duration) (Statement, error)
	// Answer sends the answer to the statement that Next returned last.
	Answer func(a Answer) error
	// Reject ends a session that did not start.
	Reject func(err error)
	// Interrupt makes a waiting Next fail, unless a statement is in progress.
	Interrupt func()
	Close     func()
	// Relayed is true if another instance relays the session to this one.
	Relayed bool
	// Relay opens the session at another instance, which must answer each statement
	// within the timeout in force when it or its transaction began, or in force now.
	Relay func(ctx context.Context, to Peer, timeout func() time.Duration, v ConfigVersions) (*Relay, error)
}

// Relay is a session that is forwarded to another instance.
type Relay struct {
	// Run forwards messages until the session ends.
	Run func() RelayEnd
	// Stop ends the session between two statements; inside a transaction only if
	// inTransaction is set.
	Stop func(inTransaction bool)
	// GiveUp ends the session at once, because the process exits. It answers a statement that
	// has no answer, and returns when Run ends.
	GiveUp func()
}

// RelayCause is the reason why a relayed session ended.
type RelayCause string

// The causes of the end of a relayed session.
const (
	RelayCallerLeft  RelayCause = "caller_left"
	RelayStopped     RelayCause = "stopped"
	RelayHomeStopped RelayCause = "home_stopped"
	RelayHomeClosed  RelayCause = "home_closed"
	RelayHomeLate    RelayCause = "home_late"
	RelayNotSent     RelayCause = "not_sent"
)

// RelayEnd describes the end of a relayed session.
type RelayEnd struct {
	Cause RelayCause
	// Err is the error that ended the session; nil if no call failed.
	Err error
	// Panic is the value of a panic that ended the session and PanicStack its stack; nil and
	// empty for none.
	Panic      any
	PanicStack string
	// State is the session's state before Statement.
	State State
	// Statement is the one that the home instance did not answer, and Answer the error that
	// the caller got instead; nil if there was none.
	Statement Statement
	Answer    *core.Error
	// Waited is how long the statement waited, and Limit the longest wait for its answer.
	Waited time.Duration
	Limit  time.Duration
}

// Endpoints implements the protocol between the instance and endpoints.
type Endpoints struct {
	// Dial opens a connection for the statements of an organisation; for those of the
	// instance itself if the organisation is empty. With a MessageError it did not try.
	Dial func(ctx context.Context, e Endpoint, o core.Organisation) (*Conn, error)
}

// Conn is a connection to an endpoint. Only one goroutine may use it at a time.
type Conn struct {
	// Exchange sends statements together and returns the answers that arrived before
	// an error. With a MessageError nothing was sent, and the connection can be used further.
	Exchange func(timeout time.Duration, statements []Statement) ([]Answer, error)
	// Status requests the endpoint's status.
	Status func(timeout time.Duration) (Report, error)
	// CheckPrimary returns the end of the endpoint's log if the endpoint considers
	// itself the primary, or else an EndpointError with ErrorKindReadOnly.
	CheckPrimary func(timeout time.Duration) (core.Point, error)
	// Fence makes the endpoint refuse primaries of terms below term.
	Fence func(timeout time.Duration, term uint64, role core.Role) (Report, error)
	// IsOpen reports whether an idle connection has not been closed by the endpoint.
	IsOpen func() bool
	Close  func()
}

// Endpoint is an endpoint as listed in the directory.
type Endpoint struct {
	Name       core.Endpoint
	Group      core.Group
	Address    netip.AddrPort
	DataCentre core.DataCentre
	// Leaving is true if the endpoint gets no new statements.
	Leaving bool
	// StartedAt is when the endpoint's process started, by its own clock. Another
	// value under the same name means another process.
	StartedAt int64
	Slots     int
	// Role is the role that the endpoint last reported.
	Role core.Role
}

// Directory lists the endpoints.
type Directory struct {
	// Watch passes the whole list to offer now and after each change until ctx ends.
	Watch func(ctx context.Context, offer func([]Endpoint)) error
}

// ConfigSource provides the configuration.
type ConfigSource struct {
	// Watch passes the newest configuration to offer now and after each change until
	// ctx ends.
	Watch func(ctx context.Context, offer func(*Config)) error
}

// VersionedValue is a value in the LeaseStore or the VoterStore. The number of Revision is zero if the key
// has no value.
type VersionedValue struct {
	Revision core.Revision
	Value    string
}

// LeaseStore is a key-value store with compare-and-swap that holds promotion leases.
type LeaseStore struct {
	Get func(ctx context.Context, key string) (VersionedValue, error)
	// CompareAndSwap replaces the value if it has the given revision and returns the
	// new revision, whose number is zero if the revision differs. It is not sent once a
	// later era than that of the revision is known, and fails if the answer is of a
	// later era. After an error the change may still take effect.
	CompareAndSwap func(ctx context.Context, key string, revision core.Revision, value string) (core.Revision, error)
	// IsHealthy reports whether the last call to the store succeeded.
	IsHealthy func() bool
	// Era returns the store's newest known era; known is false before its first answer.
	Era func() (era uint64, known bool)
}

// VoterStore holds the voters of each group, as text, in a store with compare-and-swap.
type VoterStore struct {
	// Watch passes the values of all groups that have one to offer, now and after each change
	// until ctx ends.
	Watch func(ctx context.Context, offer func(map[core.Group]VersionedValue)) error
	// Get and CompareAndSwap are as those of LeaseStore.
	Get            func(ctx context.Context, g core.Group) (VersionedValue, error)
	CompareAndSwap func(ctx context.Context, g core.Group, revision core.Revision, value string) (core.Revision, error)
}

// Peer is a live instance.
type Peer struct {
	Name       core.Instance
	DataCentre core.DataCentre
	// SessionAddress is where the instance accepts relayed sessions; invalid if it
	// accepts none.
	SessionAddress netip.AddrPort
	Strength       home.Strength
	// Leaving is true once the instance has begun a planned stop.
	Leaving bool
}

// Membership announces this instance and lists the live instances.
type Membership struct {
	// Maintain keeps this instance's entry alive and passes all live instances to offer
	// until ctx ends.
	Maintain func(ctx context.Context, offer func(live []Peer)) error
	// Leave announces once that this instance has begun a planned stop.
	Leave func(ctx context.Context) error
	// Listing describes the list that was offered last; nil if it is always current.
	Listing func() Listing
	// Silence is the longest usual time between two values of HeardAt.
	Silence time.Duration
}

// Listing describes a list of live instances.
type Listing struct {
	// HeardAt is when the source of the list was last heard.
	HeardAt time.Time
	// Listed is true if the list names this instance.
	Listed bool
	// Resumed is true if this instance was listed when its process started.
	Resumed bool
}

// Limits implements the messages between instances about limits of organisations.
type Limits struct {
	// Ask sends a question to another instance and returns its answer; nil if there are no
	// other instances.
	Ask func(ctx context.Context, to Peer, q LimitQuestion) (LimitAnswer, error)
}

// LimitQuestion asks an instance for tokens of several organisations.
type LimitQuestion struct {
	// From is the instance that asks, in DataCentre. IsMissing is true if it is missing in
	// the list of instances and may still grant.
	From       core.Instance
	DataCentre core.DataCentre
	IsMissing  bool
	Requests   []quota.Request
}

// LimitAnswer answers a LimitQuestion with one reply to each request, in order.
type LimitAnswer struct {
	Sign    quota.Sign
	Replies []quota.Reply
}

// Promoter makes an endpoint the primary of its group.
type Promoter struct {
	Promote func(ctx context.Context, g core.Group, e core.Endpoint, token uint64) error
}

// Dependencies are the functions that the platform provides to an instance.
type Dependencies struct {
	Callers      Callers
	Endpoints    Endpoints
	Directory    Directory
	ConfigSource ConfigSource
	LeaseStore   LeaseStore
	VoterStore   VoterStore
	Membership   Membership
	Promoter     Promoter
	// Traffic counts the bytes that the other dependencies exchange; it may be nil.
	Traffic *Traffic
	Limits  Limits
	// Now reads a clock that also advances while the process is suspended.
	Now func() time.Time
}
