package proxy

import (
	"time"

	"anviltack/core"
)

// Kind is the kind of a statement.
type Kind string

// The kinds of statements.
const (
	KindBegin      Kind = "begin"
	KindCommit     Kind = "commit"
	KindRollback   Kind = "rollback"
	KindRead       Kind = "read"
	KindWrite      Kind = "write"
	KindSet        Kind = "set"
	KindPrepare    Kind = "prepare"
	KindExecute    Kind = "execute"
	KindDeallocate Kind = "deallocate"
	// KindReset discards a connection's values and prepared names.
	KindReset Kind = "reset"
	// KindInvalid stands for text that is not a statement.
	KindInvalid Kind = "invalid"
)

// Statement is a statement of a caller or of the instance itself.
type Statement struct {
	Kind Kind
	// ID identifies a caller's statement; it is empty for the instance's own
	// statements.
	ID string
	// Text is what the caller sent. It is forwarded to the endpoint unchanged, except
	// for the name of a prepared statement.
	Text string
	// ReadOnly marks the start of a read-only transaction.
	ReadOnly bool
	// Name is the name of a value or of a prepared statement.
	Name string
	// Value is the value to set.
	Value string
	// Access is KindRead or KindWrite for a prepared statement.
	Access Kind
	// Shape is the statement that is prepared.
	Shape string
	// Arguments are the arguments of a prepared statement.
	Arguments string
	// After is the point that reads at the endpoint must cover; zero requires none.
	After core.Point
	// AfterAt is a time by which the group had reached After.
	AfterAt time.Time
	// Held is how long the statement was held back until a configuration arrived.
	Held time.Duration
}

// maxLoggedID is how many bytes of a statement's ID are logged.
const maxLoggedID = 64

// loggedID returns a statement's ID for the log, or the beginning of a long one.
func loggedID(id string) string { return id[:min(len(id), maxLoggedID)] }

// State is the transaction state of a session.
type State string

// The states of a session.
const (
	StateIdle        State = "idle"
	StateTransaction State = "transaction"
	// StateFailed is the state of a failed transaction, which only commit or rollback
	// ends.
	StateFailed State = "failed"
)

// Answer is the answer of an endpoint to a statement, or of the instance to a caller.
type Answer struct {
	Rows []string
	// Proof is the endpoint's signature of a statement that succeeded. It is empty if
	// the instance answered without an endpoint.
	Proof string
	// Err is set if the statement did not succeed.
	Err   error
	State State
	// Point is the point that reads at the endpoint cover; zero if the endpoint did
	// not report it.
	Point core.Point
	// upSince is a time since which the endpoint's process is known to have run.
	upSince time.Time
}

// ErrorKind is the reason an endpoint gives why a statement did not succeed.
type ErrorKind string

// The kinds of endpoint errors.
const (
	// ErrorKindBusy, ErrorKindUnknownName, ErrorKindLagging and ErrorKindReadOnly
	// mean that the statement did not run.
	ErrorKindBusy        ErrorKind = "busy"
	ErrorKindUnknownName ErrorKind = "unknown name"
	ErrorKindLagging     ErrorKind = "lagging"
	ErrorKindReadOnly    ErrorKind = "read only"
	// ErrorKindMoved means that the address belongs to another endpoint.
	ErrorKindMoved ErrorKind = "moved"
	// ErrorKindConnections means that the endpoint accepts no more connections.
	ErrorKindConnections ErrorKind = "too many connections"
	// ErrorKindFailed and ErrorKindTimeout mean that the statement ran.
	ErrorKindFailed  ErrorKind = "failed"
	ErrorKindTimeout ErrorKind = "timeout"
	// ErrorKindOther stands for any other reason.
	ErrorKindOther ErrorKind = "other"
)

// EndpointError is an endpoint's answer that a statement did not succeed.
type EndpointError struct {
	Kind ErrorKind
	Text string
}

// Error returns the kind and the endpoint's text.
func (e *EndpointError) Error() string { return string(e.Kind) + ": " + e.Text }

// IsNotRun reports whether the endpoint guarantees that the statement did not run.
func (e *EndpointError) IsNotRun() bool {
	return e.Kind != ErrorKindFailed && e.Kind != ErrorKindTimeout && e.Kind != ErrorKindOther
}

// MessageFault is the reason why something cannot be written as a message.
type MessageFault string

// The reasons why something cannot be written as a message.
const (
	MessageTooLarge  MessageFault = "too large"
	MessageMalformed MessageFault = "malformed"
)

// MessageError means that nothing was sent because a message could not be written.
type MessageError struct {
	Fault MessageFault
	// Err says what could not be written, without its text.
	Err error
}

// Error returns the reason and the cause.
func (e *MessageError) Error() string { return "message " + string(e.Fault) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Err }

// refusal returns the final answer to a statement that could not be sent.
func (e *MessageError) refusal() *core.Error {
	if e.Fault == MessageTooLarge {
		return core.NewError(core.CodeTooLarge, "the statement does not fit into a message to an endpoint")
	}
	return core.NewError(core.CodeBadMessage, "the statement cannot be written as a message to an endpoint")
}

// Report is the status that an endpoint returns when it is sampled.
type Report struct {
	core.Status
	// Lag is how far reads at the endpoint are behind what it has received.
	Lag time.Duration
	// Busy is the number of statements that the endpoint runs.
	Busy int
	// Connections is the number of connections that are open to the endpoint.
	Connections int
}
