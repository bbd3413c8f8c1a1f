package patch

import (
	"encoding/json"
	"fmt"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Size limits of a document in bytes. The platform stores values of up to 1 MiB.
const (
	maxDocumentBytes = 960 << 10
	// maxEntriesBytes bounds the entries of the history without Patch and Undo.
	maxEntriesBytes = 64 << 10
	// maxBodiesBytes bounds the Patch and Undo of all entries together.
	maxBodiesBytes = 64 << 10
	// envelopeBytes is the room for the fields of a Document besides Config and History.
	envelopeBytes = 256
)

// trim clears Patch and Undo of the oldest entries and then removes the oldest
// entries until the history and the document are within their limits.
func (d *Document) trim(configBytes int) error {
	room := maxDocumentBytes - configBytes - envelopeBytes
	d.trimBodies(min(maxBodiesBytes, room/2))
	if err := d.trimEntries(min(maxEntriesBytes, room/2)); err != nil {
		return err
	}
	if len(d.History) == 0 {
		return &TooLargeError{Bytes: configBytes + envelopeBytes, Limit: maxDocumentBytes}
	}
	d.Lowest = d.History[0].Version
	return nil
}

func (d *Document) trimBodies(limit int) {
	used := 0
	for i := len(d.History) - 1; i >= 0; i-- {
		e := &d.History[i]
		used += len(e.Patch) + len(e.Undo)
		if used > limit {
			e.Patch, e.Undo = nil, nil
		}
	}
}

func (d *Document) trimEntries(limit int) error {
	used := 0
	for i := len(d.History) - 1; i >= 0; i-- {
		e := d.History[i]
		e.Patch, e.Undo = nil, nil
		b, err := json.Marshal(e)
		if err != nil {
			return fmt.Errorf("patch: cannot encode an entry: %w", err)
		}
		used += len(b) + 1
		if used > limit {
			d.Trimmed += uint64(i + 1)
			d.History = d.History[i+1:]
			return nil
		}
	}
	return nil
}

// Outcome is the outcome of a submitted patch.
type Outcome string

// The outcomes of a submitted patch.
const (
	// OutcomeAccepted means that the patch created a version.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRefused means that the patch created no version and never will.
	OutcomeRefused Outcome = "refused"
	// OutcomePending means that the patch created no version so far, but a
	// compare-and-swap in flight may still store it.
	OutcomePending Outcome = "pending"
	// OutcomeUnknown means that the history no longer goes back to the patch's
	// base.
	OutcomeUnknown Outcome = "unknown"
)

// Result is the outcome of a patch with the version that it created.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Version is the version that the patch created; zero unless accepted.
	Version uint64 `json:"version,omitempty"`
}

// OutcomeOf returns the outcome of the patch with the given id and base.
func (d Document) OutcomeOf(id string, base uint64) Result {
	if e, ok := d.Entry(id); ok {
		return Result{Outcome: OutcomeAccepted, Version: e.Version}
	}
	switch {
	case d.Version <= base:
		return Result{Outcome: OutcomePending}
	case d.Lowest > base+1:
		return Result{Outcome: OutcomeUnknown}
	default:
		return Result{Outcome: OutcomeRefused}
	}
}

// TrimmedError means that a version is not, or no longer, in the history.
type TrimmedError struct {
	Version uint64
	// Lowest is the lowest version that can still be restored.
	Lowest uint64
}

// Error returns the version and the lowest one that can be restored.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("patch: version %d is not in the history, which goes back to version %d", e.Version, e.Lowest)
}

// ConfigAt returns the configuration of a version, restored from the history.
func (d Document) ConfigAt(version uint64) (Config, error) {
	if version > d.Version {
		return Config{}, &TrimmedError{Version: version, Lowest: d.lowestRestorable()}
	}
	b, err := json.Marshal(d.Config)
	if err != nil {
		return Config{}, fmt.Errorf("patch: cannot encode the configuration: %w", err)
	}
	for i := len(d.History) - 1; i >= 0 && d.History[i].Version > version; i-- {
		if len(d.History[i].Undo) == 0 {
			return Config{}, &TrimmedError{Version: version, Lowest: d.lowestRestorable()}
		}
		if b, err = jsonpatch.MergePatch(b, d.History[i].Undo); err != nil {
			return Config{}, fmt.Errorf("patch: cannot restore version %d: %w", version, err)
		}
	}
	if version < d.lowestRestorable() {
		return Config{}, &TrimmedError{Version: version, Lowest: d.lowestRestorable()}
	}
	c, _ := Decode(b)
	return c, nil
}

// lowestRestorable returns the lowest version that ConfigAt can restore.
func (d Document) lowestRestorable() uint64 {
	lowest := d.Version
	for i := len(d.History) - 1; i >= 0 && len(d.History[i].Undo) > 0; i-- {
		lowest = d.History[i].Base
	}
	return lowest
}
