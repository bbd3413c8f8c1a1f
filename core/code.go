package core

import (
	"fmt"
	"time"
)

// Code is a numeric result code; docs/CODES.md lists them all.
//
// 1xxx means that a statement ran, 2xxx that it did not run, 3xxx that its outcome
// is unknown and 4xxx that a caller's input was invalid; 5xxx answers an operator's
// request and 6xxx is the exit status of a command.
type Code int

// The result codes of statements and of patches.
const (
	CodeAlreadyRan        Code = 1001
	CodeOverloaded        Code = 2001
	CodeNoPrimary         Code = 2002
	CodeNoFreshReplica    Code = 2003
	CodeDraining          Code = 2004
	CodeNoConnection      Code = 2005
	CodeNotReplicating    Code = 2006
	CodeNoGroup           Code = 2007
	CodeTransactionLost   Code = 2008
	CodeTransactionIdle   Code = 2009
	CodeReadFailed        Code = 2010
	CodeFairShare         Code = 2011
	CodeLimitReached      Code = 2012
	CodeOutcomeUnknown    Code = 3001
	CodeBadMessage        Code = 4001
	CodeTooLarge          Code = 4002
	CodeUnsupported       Code = 4003
	CodeBadParameter      Code = 4004
	CodeUnknownKind       Code = 4005
	CodeBadMark           Code = 4006
	CodeAuthentication    Code = 4007
	CodeNotAllowed        Code = 4008
	CodeUnknownDatabase   Code = 4009
	CodeKeyReused         Code = 4010
	CodeTooManyCallers    Code = 4011
	CodeUnknownPrepared   Code = 4013
	CodeUnknownKey        Code = 4014
	CodePatchConflict     Code = 5001
	CodePatchInvalid      Code = 5002
	CodePatchUnknown      Code = 5003
	CodePlatformDown      Code = 5004
	CodeOperatorForbidden Code = 5005
	CodePatchTooLarge     Code = 5006
)

// SQLSTATE values that callers' drivers recognize.
const (
	stateUnavailable    = "57P03"
	stateTooMany        = "53300"
	stateUnknownOutcome = "08007"
	stateProtocol       = "08P01"
	stateTooLarge       = "54000"
	stateUnsupported    = "0A000"
	stateBadParameter   = "22023"
	statePassword       = "28P01"
	stateNotAllowed     = "42501"
	stateNotAuthorized  = "28000"
	stateNoDatabase     = "3D000"
	stateDuplicate      = "23505"
	stateShutdown       = "57P01"
	stateIdle           = "25P03"
	stateNoStatement    = "26000"
	stateSerialization  = "40001"
)

var sqlStates = map[Code]string{
	CodeAlreadyRan:      stateDuplicate,
	CodeOverloaded:      stateTooMany,
	CodeNoPrimary:       stateUnavailable,
	CodeNoFreshReplica:  stateUnavailable,
	CodeDraining:        stateShutdown,
	CodeNoConnection:    stateTooMany,
	CodeNotReplicating:  stateUnavailable,
	CodeNoGroup:         stateUnavailable,
	CodeTransactionLost: stateSerialization,
	CodeTransactionIdle: stateIdle,
	CodeReadFailed:      stateUnavailable,
	CodeFairShare:       stateTooMany,
	CodeLimitReached:    stateTooMany,
	CodeOutcomeUnknown:  stateUnknownOutcome,
	CodeBadMessage:      stateProtocol,
	CodeTooLarge:        stateTooLarge,
	CodeUnsupported:     stateUnsupported,
	CodeBadParameter:    stateBadParameter,
	CodeUnknownKind:     stateBadParameter,
	CodeBadMark:         stateBadParameter,
	CodeAuthentication:  statePassword,
	CodeNotAllowed:      stateNotAllowed,
	CodeUnknownDatabase: stateNoDatabase,
	CodeKeyReused:       stateBadParameter,
	CodeTooManyCallers:  stateTooMany,
	CodeUnknownPrepared: stateNoStatement,
	CodeUnknownKey:      stateNotAuthorized,
}

// SQLState returns the SQLSTATE of the code, "XX000" for codes that are never sent
// to callers.
func (c Code) SQLState() string {
	if s, ok := sqlStates[c]; ok {
		return s
	}
	return "XX000"
}

// IsNotRun reports whether the code guarantees that no part of the statement ran.
func (c Code) IsNotRun() bool {
	return c >= 2000 && c < 3000 || c >= 4000 && c < 5000
}

// Error is the final answer to a request that did not succeed.
type Error struct {
	Code Code
	// Reason is a human-readable description without statement texts or secrets.
	Reason string
	// RetryAfter is the delay after which the caller should retry; zero means no
	// advice.
	RetryAfter time.Duration
}

// NewError returns an error with a formatted reason and no retry advice.
func NewError(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Reason: fmt.Sprintf(format, args...)}
}

// WithRetry returns a copy of the error that advises the caller to retry after d.
func (e *Error) WithRetry(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the code and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("AT%d: %s", e.Code, e.Reason)
}
