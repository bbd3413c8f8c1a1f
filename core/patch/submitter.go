package patch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"anviltack/core"
)

// maxFailedReads is how many reads in a row may fail before a patch that was not
// sent yet is refused.
const maxFailedReads = 5

// StoredValue is the value of the platform's key at one moment.
type StoredValue struct {
	// Index is the platform's number of the last change; zero when the key is
	// absent.
	Index uint64
	Value []byte
}

// Submitter brings patches into the platform. Any number of submitters may
// race: the platform's compare-and-swap lets one win each version.
type Submitter struct {
	// Get reads the key; an absent key is a Stored with index zero.
	Get func(ctx context.Context) (StoredValue, error)
	// Swap replaces the value when its index is still the one given. False
	// without an error means that the index was another; an error means that
	// the swap may or may not have happened.
	Swap func(ctx context.Context, index uint64, value []byte) (bool, error)
	// Wait passes the time before the next attempt; it fails when ctx is over.
	Wait func(ctx context.Context, attempt int) error
}

// UnavailableError refuses a patch because the platform does not answer or
// shows a version below the one in force; nothing was changed.
type UnavailableError struct {
	Err error
}

// Error returns the cause.
func (e *UnavailableError) Error() string { return fmt.Sprintf("patch: not submitted: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Code returns the result code of the refusal.
func (e *UnavailableError) Code() core.Code { return core.CodePlatformDown }

// Submit brings one request in and returns the document that it led to and the
// version that it made. After a swap whose answer was lost it goes on reading
// and swapping until it knows, or until ctx is over, which is an UnknownError.
// It refuses to build on a document below the version in force.
func (s Submitter) Submit(ctx context.Context, r Request, now time.Time, inForce uint64) (Document, uint64, error) {
	maybeStored := false
	failedReads := 0
	var lastErr error
	for attempt := 0; ; attempt++ {
		if attempt > 0 {
			if err := s.Wait(ctx, attempt); err != nil {
				return Document{}, 0, s.failure(r, maybeStored, errors.Join(err, lastErr))
			}
		}
		stored, d, err := s.read(ctx, inForce)
		if err != nil {
			lastErr = err
			if failedReads++; failedReads >= maxFailedReads && !maybeStored {
				return Document{}, 0, s.failure(r, maybeStored, err)
			}
			continue
		}
		failedReads = 0
		next, err := d.Apply(r, now)
		if err != nil && maybeStored && d.OutcomeOf(r.ID, r.Base).Outcome == OutcomeUnknown {
			return Document{}, 0, s.failure(r, maybeStored, err)
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
		return StoredValue{}, Document{}, fmt.Errorf("patch: the platform shows version %d, but version %d is in force", d.Version, inForce)
	}
	return stored, d, nil
}

func (s Submitter) failure(r Request, maybeStored bool, err error) error {
	if maybeStored {
		return &UnknownError{ID: r.ID, Err: err}
	}
	return &UnavailableError{Err: err}
}
