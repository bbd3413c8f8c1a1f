package pool

import "time"

// State says what a connection is doing.
type State string

// The states of a connection.
const (
	StateOpening State = "opening"
	StateIdle    State = "idle"
	StateBusy    State = "busy"
	// StateDoubted is busy with an answer past its expected time.
	StateDoubted State = "doubted"
	// StateTesting is being asked to show that it works.
	StateTesting State = "testing"
	// StateResetting is having its session state discarded.
	StateResetting State = "resetting"
	StateClosed    State = "closed"
)

// Do names what the instance has to do with a connection.
type Do string

// The actions on connections.
const (
	DoOpen  Do = "open"
	DoTest  Do = "test"
	DoReset Do = "reset"
	DoClose Do = "close"
	// DoMove asks for the read that runs on a doubted connection to be sent on
	// another one; the doubted one is then released unclean.
	DoMove Do = "move"
)

// Action is one thing to do with one connection.
type Action struct {
	Do         Do
	Connection uint64
}

// Work says what kind of work runs on a connection.
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

// Ending says in which condition work leaves its connection.
type Ending struct {
	// Clean tells that the connection is outside a transaction and that every
	// statement sent on it has had its whole answer. An unclean connection is
	// closed, never reused.
	Clean bool
	// Altered tells that the session state may differ from a new connection's.
	Altered bool
}

type connection struct {
	id    uint64
	state State
	work  Work
	// since is when the present state began.
	since time.Time
	// due is when the answer outstanding is late; zero while none is.
	due time.Time
	// suspect connections were idle while another one fell silent; they are
	// tested before work.
	suspect bool
	// moved tells that the read on the connection was asked to move.
	moved bool
}

func (c *connection) enter(now time.Time, s State) {
	c.state, c.since, c.due, c.moved = s, now, time.Time{}, false
}
