package patch

import (
	"encoding/json"
	"fmt"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// The bounds of a document in bytes. The platform holds values up to 1 MiB.
const (
	maxDocumentBytes = 960 << 10
	maxEntriesBytes  = 64 << 10
	maxBodiesBytes   = 64 << 10
	envelopeBytes    = 256
)

// trim drops the oldest patches' bodies and then the oldest entries until the
// history is within its bounds and the document within its own.
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

// Outcome tells what became of a patch.
type Outcome string

// The outcomes of a patch.
const (
	// OutcomeAccepted means that the patch made a version.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRefused means that the patch made no version and never will.
	OutcomeRefused Outcome = "refused"
	// OutcomePending means that the patch made no version so far, but a swap
	// that is still under way may yet win.
	OutcomePending Outcome = "pending"
	// OutcomeUnknown means that the history no longer reaches back to the base.
	OutcomeUnknown Outcome = "unknown"
)

// Result is the answer to the question what became of a patch.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Version is the version that the patch made; zero unless accepted.
	Version uint64 `json:"version,omitempty"`
}

// OutcomeOf tells what became of the patch with this id and base.
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

// TrimmedError tells that a version is no longer in the history.
type TrimmedError struct {
	Version uint64
	// Lowest is the lowest version that can still be told.
	Lowest uint64
}

// Error returns the version and the lowest one kept.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("patch: version %d is not in the history, which goes back to version %d", e.Version, e.Lowest)
}

// ConfigAt returns the configuration as it was in a version.
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
			return Config{}, fmt.Errorf("patch: cannot go back to version %d: %w", version, err)
		}
	}
	if version < d.lowestRestorable() {
		return Config{}, &TrimmedError{Version: version, Lowest: d.lowestRestorable()}
	}
	c, _ := Decode(b)
	return c, nil
}

// lowestRestorable returns the lowest version whose configuration At can tell.
func (d Document) lowestRestorable() uint64 {
	lowest := d.Version
	for i := len(d.History) - 1; i >= 0 && len(d.History[i].Undo) > 0; i-- {
		lowest = d.History[i].Base
	}
	return lowest
}
