package group

import (
	"anviltack/core"
)

// ActionKind names what the driver has to do.
type ActionKind string

// The kinds of actions.
const (
	ActionSample      ActionKind = "sample"
	ActionWitness     ActionKind = "witness"
	ActionFence       ActionKind = "fence"
	ActionPromote     ActionKind = "promote"
	ActionAskOpinions ActionKind = "ask-opinions"
	ActionAnnounce    ActionKind = "announce"
)

// Action is one thing that the driver does for the machine.
type Action struct {
	Kind ActionKind
	// Endpoint is the target of a sample, a fence or a promotion, and the new
	// primary of an announcement.
	Endpoint core.Endpoint
	// Term is the term of a fence, a promotion, an announcement or the term
	// that opinions are asked about.
	Term uint64
	// Fresh asks for a sample over a new connection, because the one in use
	// gave no answer.
	Fresh bool
	// Reason is why a fence is asked for.
	Reason Reason
}

// Failure says how an attempt to reach an endpoint failed.
type Failure string

// The outcomes of reaching an endpoint, as traffic and samples see them.
const (
	FailureRefused Failure = "refused"
	FailureTimeout Failure = "timeout"
	FailureLost    Failure = "lost"
	Answered       Failure = "answered"
)

// Reason says why an instance holds the primary to have failed.
type Reason string

// The reasons for a failover.
const (
	ReasonNone    Reason = ""
	ReasonRefused Reason = "refused"
	ReasonSilent  Reason = "silent"
	ReasonStalled Reason = "stalled"
	ReasonAbsent  Reason = "absent"
	// ReasonLeaving means that the primary works but is to be relieved.
	ReasonLeaving Reason = "leaving"
)
