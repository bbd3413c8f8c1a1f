package patch

import (
	"fmt"
	"strings"

	"anviltack/core"
)

// Fault is one thing wrong in a configuration or a patch.
type Fault struct {
	// Path leads to the value, names joined by dots.
	Path string `json:"path"`
	// Problem tells what is wrong there.
	Problem string `json:"problem"`
	// Allowed tells what may stand there instead.
	Allowed string `json:"allowed"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s; allowed: %s", f.Path, f.Problem, f.Allowed)
}

// InvalidError refuses a patch; nothing was changed.
type InvalidError struct {
	// Faults are all that was found, never empty.
	Faults []Fault
}

// Error returns every fault, separated by line ends.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return "patch: invalid: " + strings.Join(lines, "\n")
}

// Code returns the result code of the refusal.
func (e *InvalidError) Code() core.Code { return core.CodePatchInvalid }

// ConflictError refuses a patch whose base is not the version in the platform;
// nothing was changed.
type ConflictError struct {
	// Base is the version that the patch was written against.
	Base uint64
	// Version is the version that stands.
	Version uint64
	// Since are the entries after Base as far as the history still has them.
	Since []Entry
}

// Error returns both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("patch: conflict: the patch is against version %d, but version %d stands", e.Base, e.Version)
}

// Code returns the result code of the refusal.
func (e *ConflictError) Code() core.Code { return core.CodePatchConflict }

// TooLargeError refuses a patch whose result does not fit the platform; nothing
// was changed.
type TooLargeError struct {
	// Bytes is the size that the document would have.
	Bytes int
	// Limit is the largest size allowed.
	Limit int
}

// Error returns the size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("patch: too large: %d bytes, at most %d are allowed", e.Bytes, e.Limit)
}

// Code returns the result code of the refusal.
func (e *TooLargeError) Code() core.Code { return core.CodePatchTooLarge }

// UnknownError tells that a patch may or may not have been accepted; Settle
// tells later.
type UnknownError struct {
	// ID is the patch to ask about.
	ID string
	// Err is the last failure.
	Err error
}

// Error returns the id and the last failure.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("patch: outcome of patch %q is unknown: %v", e.ID, e.Err)
}

// Unwrap returns the last failure.
func (e *UnknownError) Unwrap() error { return e.Err }

// Code returns the result code of the answer.
func (e *UnknownError) Code() core.Code { return core.CodePatchUnknown }
