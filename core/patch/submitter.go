package patch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"anviltack/core"
)

// maxFailedReads is the number of consecutive failed reads after which a patch that
// cannot have been stored yet is refused.
const maxFailedReads = 5

// StoredValue is the value of Key in the platform's store at one time.
type StoredValue struct {
	// Index is the platform's modification index of the key, zero if the key does
	// not exist.
	Index uint64
	Value []byte
}

// Submitter stores patches in the platform. Any number of submitters may run
// concurrently: the platform's compare-and-swap lets one of them create each
// version.
type Submitter struct {
	// Get reads the key; it returns index zero if the key does not exist.
	Get func(ctx context.Context) (StoredValue, error)
	// Swap replaces the value if its index is still the one given. False without
	// an error means that the index differed; an error means that the swap may or
	// may not have taken effect.
	Swap func(ctx context.Context, index uint64, value []byte) (bool, error)
	// Wait blocks for the backoff before an attempt; it returns an error if ctx is
	// done.
	Wait func(ctx context.Context, attempt int) error
}

// UnavailableError means that a patch was refused because the platform does not
// answer or returned a version below the one in force; nothing was changed.
type UnavailableError struct {
	Err error
}

// Error returns the cause.
func (e *UnavailableError) Error() string { return fmt.Sprintf("patch: not submitted: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Code returns the result code of the refusal.
func (e *UnavailableError) Code() core.Code { return core.CodePlatformDown }

// Submit stores one request and returns the resulting document and the version that
// the request created. If the outcome of a swap is unknown, it retries until the
// outcome is clear, or returns an UnknownError once ctx is done or the history no
// longer goes back to the request's base. It does not apply the request to a
// document whose version is below inForce, the version in force.
func (s Submitter) Submit(ctx context.Context, r Request, now time.Time, inForce uint64) (Document, uint64, error) {
	maybeStored := false
	failedReads := 0
	var lastErr error
	for attempt := 0; ; attempt++ {
		if attempt > 0 {
			if err := s.Wait(ctx, attempt); err != nil {
				return Document{}, 0, s.submitError(r, maybeStored, errors.Join(err, lastErr))
			}
		}
		stored, d, err := s.read(ctx, inForce)
		if err != nil {
			lastErr = err
			if failedReads++; failedReads >= maxFailedReads && !maybeStored {
				return Document{}, 0, s.submitError(r, maybeStored, err)
			}
			continue
		}
		failedReads = 0
		next, err := d.Apply(r, now)
		if err != nil && maybeStored && d.OutcomeOf(r.ID, r.Base).Outcome == OutcomeUnknown {
			return Document{}, 0, s.submitError(r, maybeStored, err)
		}
		if err != nil {
			return Document{}, 0, err
		}
		if e, ok := d.Entry(r.ID); ok {
			return d, e.Version, nil
		}
		body, err := next.Encode()
		if err != nil {
			return Document{}, 0, err
		}
		ok, err := s.Swap(ctx, stored.Index, body)
		if ok && err == nil {
			return next, next.Version, nil
		}
		if err != nil {
			maybeStored = true
			lastErr = err
		}
	}
}

func (s Submitter) read(ctx context.Context, inForce uint64) (StoredValue, Document, error) {
	stored, err := s.Get(ctx)
	if err != nil {
		return StoredValue{}, Document{}, err
	}
	var d Document
	if stored.Index > 0 {
		if d, err = Parse(stored.Value); err != nil {
			return StoredValue{}, Document{}, err
		}
	}
	if d.Version < inForce {
		return StoredValue{}, Document{}, fmt.Errorf("patch: the platform returned version %d, but version %d is in force", d.Version, inForce)
	}
	return stored, d, nil
}

func (s Submitter) submitError(r Request, maybeStored bool, err error) error {
	if maybeStored {
		return &UnknownError{ID: r.ID, Err: err}
	}
	return &UnavailableError{Err: err}
}
