package proxy

import (
	"time"

	"anviltack/core"
)

// Kind is what a statement does.
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
	// KindInvalid stands for a text that is no statement.
	KindInvalid Kind = "invalid"
)

// Statement is one statement of a caller, or of the instance itself.
type Statement struct {
	Kind Kind
	// ID is the caller's; it is empty on the instance's own statements.
	ID string
	// Text is what the caller sent; it goes on to the endpoint unchanged, but
	// for the name of a prepared statement.
	Text string
	// ReadOnly tells a transaction that only reads.
	ReadOnly bool
	// Name is that of a value or of a prepared statement.
	Name string
	// Value is what Name is set to.
	Value string
	// Access is what a prepared statement does: KindRead or KindWrite.
	Access Kind
	// Shape is what a prepared statement stands for.
	Shape string
	// Arguments are what a prepared statement runs with.
	Arguments string
	// After is the point that the endpoint's log must hold; zero asks for none.
	After core.Point
	// AfterAt is when the group held After at the latest.
	AfterAt time.Time
}

// State is where a session stands in a transaction.
type State string

// The states of a session.
const (
	StateIdle        State = "idle"
	StateTransaction State = "transaction"
	// StateFailed is that of a transaction that can only end.
	StateFailed State = "failed"
)

// Answer is what an endpoint says to a statement, or what a caller is told.
type Answer struct {
	Rows []string
	// Proof is the endpoint's signature of a statement that succeeded; it is
	// empty where the instance answered by itself.
	Proof string
	// Err is set when the statement did not succeed.
	Err   error
	State State
	// Point is how far reads at the endpoint see its log; zero when not said.
	Point core.Point
	// runsSince is since when the endpoint's process is known to have run.
	runsSince time.Time
}

// Fault is what an endpoint says went wrong with a statement.
type Fault string

// The faults of endpoints.
const (
	// FaultBusy, FaultUnknownName, FaultLagging and FaultReadOnly tell that the
	// statement did not run.
	FaultBusy        Fault = "busy"
	FaultUnknownName Fault = "unknown name"
	FaultLagging     Fault = "lagging"
	FaultReadOnly    Fault = "read only"
	// FaultMoved tells that the address belongs to another endpoint.
	FaultMoved Fault = "moved"
	// FaultConnections tells that the endpoint takes no more connections.
	FaultConnections Fault = "too many connections"
	// FaultFailed and FaultTimeout tell that the statement ran.
	FaultFailed  Fault = "failed"
	FaultTimeout Fault = "timeout"
	// FaultOther is anything else.
	FaultOther Fault = "other"
)

// EndpointError is an endpoint's answer that a statement did not succeed.
type EndpointError struct {
	Fault Fault
	Text  string
}

// Error returns the fault and the endpoint's words.
func (e *EndpointError) Error() string { return string(e.Fault) + ": " + e.Text }

// IsNotRun reports whether the endpoint promises that the statement did not run.
func (e *EndpointError) IsNotRun() bool {
	return e.Fault != FaultFailed && e.Fault != FaultTimeout && e.Fault != FaultOther
}

// Report is an endpoint's account of itself.
type Report struct {
	core.Status
	// Lag is how far its reads are behind what it received.
	Lag time.Duration
	// Busy is how many statements it runs.
	Busy int
	// Connections is how many are open to it.
	Connections int
}
