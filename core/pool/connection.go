package pool

import "time"

// State is the state of a connection.
type State string

// The states of a connection.
const (
	StateOpening State = "opening"
	StateIdle    State = "idle"
	StateBusy    State = "busy"
	// StateSuspect is busy with an answer that has missed its deadline.
	StateSuspect State = "doubted"
	// StateTesting is running a test query.
	StateTesting State = "testing"
	// StateResetting is discarding its session state.
	StateResetting State = "resetting"
	StateClosed    State = "closed"
)

// ActionKind is an operation that the caller of the pool has to perform on a connection.
type ActionKind string

// The actions on connections.
const (
	ActionOpen  ActionKind = "open"
	ActionTest  ActionKind = "test"
	ActionReset ActionKind = "reset"
	ActionClose ActionKind = "close"
	// ActionMove asks for the read that runs on a suspect connection to be sent on
	// another one; the suspect connection is then released as not clean.
	ActionMove ActionKind = "move"
)

// Action is one operation to perform on one connection.
type Action struct {
	Kind       ActionKind
	Connection uint64
}

// Work is the kind of work that runs on a connection.
type Work string

// The kinds of work.
const (
	// WorkRead may be sent again on another connection.
	WorkRead Work = "read"
	// WorkWrite is never sent again.
	WorkWrite Work = "write"
	// WorkTransaction is a caller's open transaction.
	WorkTransaction Work = "transaction"
)

// Outcome is the condition of a connection when the work on it ends.
type Outcome struct {
	// Clean is set if the connection is outside a transaction and every statement
	// sent on it has been answered completely. A connection that is not clean is
	// closed, never reused.
	Clean bool
	// NeedsReset is set if the session state may differ from that of a new connection.
	NeedsReset bool
}

type connection struct {
	id    uint64
	state State
	work  Work
	// enteredAt is when the connection entered its state.
	enteredAt time.Time
	// deadline is when the outstanding answer is overdue; zero while none is outstanding.
	deadline time.Time
	// mustTest is set on connections that were idle while another one missed its
	// deadline; they are tested before they are used.
	mustTest bool
	// moveRequested is set once ActionMove was returned for the connection.
	moveRequested bool
}

func (c *connection) transition(now time.Time, s State) {
	c.state, c.enteredAt, c.deadline, c.moveRequested = s, now, time.Time{}, false
}
