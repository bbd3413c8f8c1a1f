package group

import (
	"anviltack/core"
)

// ActionKind is what the driver has to do.
type ActionKind string

// The kinds of actions.
const (
	ActionSample       ActionKind = "sample"
	ActionCheckPrimary ActionKind = "witness"
	ActionFence        ActionKind = "fence"
	ActionPromote      ActionKind = "promote"
	ActionAskOpinions  ActionKind = "ask-opinions"
	ActionAnnounce     ActionKind = "announce"
)

// Action is one operation that the driver performs for the machine.
type Action struct {
	Kind ActionKind
	// Endpoint is the target of a sample, a primary check, a fence or a promotion, or
	// the new primary in an announcement.
	Endpoint core.Endpoint
	// Term is the term to fence at, to promote in or to announce; in ActionAskOpinions
	// it is the term of the primary that peers are asked about.
	Term uint64
	// NewConnection asks for a sample over a new connection, because the current one
	// gave no answer.
	NewConnection bool
	// Reason is the cause of a fence.
	Reason Reason
}

// Outcome is the result of an attempt to reach an endpoint.
type Outcome string

// The outcomes of samples and of callers' traffic.
const (
	OutcomeRefused  Outcome = "refused"
	OutcomeTimeout  Outcome = "timeout"
	OutcomeLost     Outcome = "lost"
	OutcomeAnswered Outcome = "answered"
)

// Reason is why an instance considers the primary failed.
type Reason string

// The reasons for a failover.
const (
	ReasonNone    Reason = ""
	ReasonRefused Reason = "refused"
	ReasonSilent  Reason = "silent"
	ReasonStalled Reason = "stalled"
	ReasonAbsent  Reason = "absent"
	// ReasonLeaving means that the primary works but leaves the group.
	ReasonLeaving Reason = "leaving"
)
