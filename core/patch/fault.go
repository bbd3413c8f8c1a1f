package patch

import (
	"fmt"
	"strings"

	"anviltack/core"
)

// Fault is one error in a configuration or a patch.
type Fault struct {
	// Path is the path of the value, names joined by dots.
	Path string `json:"path"`
	// Problem describes what is wrong with the value.
	Problem string `json:"problem"`
	// Allowed describes the permitted values.
	Allowed string `json:"allowed"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s; allowed: %s", f.Path, f.Problem, f.Allowed)
}

// InvalidError means that a patch was refused as invalid; nothing was changed.
type InvalidError struct {
	// Faults holds all faults found; it is never empty.
	Faults []Fault
}

// Error returns all faults, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return "patch: invalid: " + strings.Join(lines, "\n")
}

// Code returns the result code of the refusal.
func (e *InvalidError) Code() core.Code { return core.CodePatchInvalid }

// ConflictError means that a patch was refused because its base is not the version
// stored in the platform; nothing was changed.
type ConflictError struct {
	// Base is the version that the patch was written against.
	Base uint64
	// Version is the version stored in the platform.
	Version uint64
	// Since holds the entries after Base that are still in the history.
	Since []Entry
}

// Error returns both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("patch: conflict: the patch is against version %d, but the current version is %d", e.Base, e.Version)
}

// Code returns the result code of the refusal.
func (e *ConflictError) Code() core.Code { return core.CodePatchConflict }

// TooLargeError means that a patch was refused because the document would be too
// large for the platform; nothing was changed.
type TooLargeError struct {
	// Bytes is the size that the document would have.
	Bytes int
	// Limit is the maximum size.
	Limit int
}

// Error returns the size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("patch: too large: %d bytes, at most %d are allowed", e.Bytes, e.Limit)
}

// Code returns the result code of the refusal.
func (e *TooLargeError) Code() core.Code { return core.CodePatchTooLarge }

// UnknownError means that a patch may or may not have been accepted; OutcomeOf
// gives its outcome later.
type UnknownError struct {
	// ID is the id of the patch, with which its outcome can be requested.
	ID string
	// Err is the last error.
	Err error
}

// Error returns the id and the last error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("patch: outcome of patch %q is unknown: %v", e.ID, e.Err)
}

// Unwrap returns the last error.
func (e *UnknownError) Unwrap() error { return e.Err }

// Code returns the result code of an unknown outcome.
func (e *UnknownError) Code() core.Code { return core.CodePatchUnknown }
