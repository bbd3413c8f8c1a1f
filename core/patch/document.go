package patch

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"anviltack/core/jsonc"
)

// Key is the key of the document in the platform's store.
const Key = "anviltack/config"

// Document is the configuration with its history, as the platform stores it.
type Document struct {
	// Version is the number of the configuration. Each accepted patch increments
	// it; zero means that no patch was accepted yet.
	Version uint64 `json:"version"`
	Config  Config `json:"config"`
	// History ends with the entry of Version and has no gaps.
	History []Entry `json:"history"`
	// Lowest is the lowest version in History; older entries were trimmed.
	Lowest uint64 `json:"lowest"`
	// Trimmed is the number of entries removed from History to limit its size.
	Trimmed uint64 `json:"trimmed"`
}

// Entry records one accepted patch.
type Entry struct {
	// Version is the version that the patch created; Base is Version - 1.
	Version uint64    `json:"version"`
	Base    uint64    `json:"base"`
	ID      string    `json:"id"`
	Who     string    `json:"who"`
	When    time.Time `json:"when"`
	Why     string    `json:"why"`
	// Sum is the checksum of the configuration of Version.
	Sum string `json:"sum"`
	// Patch is the merge patch from Base to Version, empty once trimmed for size.
	Patch json.RawMessage `json:"patch,omitempty"`
	// Undo is the merge patch from Version back to Base, empty if Patch is.
	Undo json.RawMessage `json:"undo,omitempty"`
}

// Request is a patch as an operator submits it.
type Request struct {
	// ID makes a submission idempotent: one ID is accepted at most once.
	ID string `json:"id"`
	// Base is the version that the patch was written against.
	Base uint64 `json:"base"`
	Who  string `json:"who"`
	Why  string `json:"why"`
	// Patch is a JSON merge patch (RFC 7386) of the configuration.
	Patch json.RawMessage `json:"patch"`
}

// Limits of a request.
const (
	maxIDBytes    = 64
	maxWhoBytes   = 128
	maxWhyBytes   = 512
	maxPatchBytes = 512 << 10
)

func (r Request) check() []Fault {
	var k checker
	k.text("id", r.ID, maxIDBytes)
	k.text("who", r.Who, maxWhoBytes)
	k.text("why", r.Why, maxWhyBytes)
	if len(r.Patch) > maxPatchBytes {
		k.fault("patch", fmt.Sprintf("%d bytes", len(r.Patch)), fmt.Sprintf("at most %d bytes", maxPatchBytes))
	}
	if jsonc.IsTooDeep(r.Patch) { // the time for a merge grows with depth times size
		k.fault("patch", "nested too deep", fmt.Sprintf("at most %d levels", jsonc.MaxDepth))
	}
	var object map[string]json.RawMessage
	if err := json.Unmarshal(r.Patch, &object); err != nil || object == nil {
		k.fault("patch", "not a JSON object", "a JSON merge patch (RFC 7386) of the configuration")
	}
	return k.faults
}

func (k *checker) text(path, s string, maxBytes int) {
	if s == "" || len(s) > maxBytes {
		k.fault(path, fmt.Sprintf("%d bytes", len(s)), fmt.Sprintf("1 to %d bytes", maxBytes))
	}
}

// Parse decodes a document that Encode wrote. It ignores unknown names, so that
// an instance can adopt a document that a newer release wrote.
func Parse(b []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(b, &d); err != nil {
		return Document{}, fmt.Errorf("patch: bad document: %w", err)
	}
	d.Config.normalize()
	return d, nil
}

// Encode encodes the document as JSON.
func (d Document) Encode() ([]byte, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("patch: cannot encode the document: %w", err)
	}
	return b, nil
}

// Entry returns the entry of the history with the given id.
func (d Document) Entry(id string) (Entry, bool) {
	i := slices.IndexFunc(d.History, func(e Entry) bool { return e.ID == id })
	if i < 0 {
		return Entry{}, false
	}
	return d.History[i], true
}

// EntriesAfter returns the entries after a version that are still in the history.
func (d Document) EntriesAfter(version uint64) []Entry {
	i := slices.IndexFunc(d.History, func(e Entry) bool { return e.Version > version })
	if i < 0 {
		return nil
	}
	return d.History[i:]
}

// WithNewestEntryOnly returns the document with its history cut to the newest
// entry.
func (d Document) WithNewestEntryOnly() Document {
	if len(d.History) > 1 {
		dropped := len(d.History) - 1
		d.History = d.History[dropped:]
		d.Lowest = d.History[0].Version
		d.Trimmed += uint64(dropped)
	}
	return d
}

// Apply returns a new document with the request applied, or d itself if the
// request was accepted before; d is not changed.
func (d Document) Apply(r Request, now time.Time) (Document, error) {
	if faults := r.check(); len(faults) > 0 {
		return Document{}, &InvalidError{Faults: faults}
	}
	if e, ok := d.Entry(r.ID); ok {
		if !e.matches(r) {
			return Document{}, &InvalidError{Faults: []Fault{{
				Path: "id", Problem: fmt.Sprintf("version %d has this id and another patch", e.Version), Allowed: "an id of its own",
			}}}
		}
		return d, nil
	}
	if r.Base != d.Version {
		return Document{}, &ConflictError{Base: r.Base, Version: d.Version, Since: d.EntriesAfter(r.Base)}
	}
	old, next, err := d.Config.merge(r.Patch)
	if err != nil {
		return Document{}, err
	}
	entry := Entry{
		Version: d.Version + 1, Base: d.Version, ID: r.ID, Who: r.Who, When: now.UTC(), Why: r.Why, Patch: r.Patch,
	}
	return d.append(entry, old, next)
}

// matches reports whether the entry may record the request. Once the entry's patch
// is trimmed, only the base is compared.
func (e Entry) matches(r Request) bool {
	if e.Base != r.Base {
		return false
	}
	return len(e.Patch) == 0 || jsonpatch.Equal(e.Patch, r.Patch)
}

func (d Document) append(e Entry, old, next Config) (Document, error) {
	before, err := json.Marshal(old)
	if err != nil {
		return Document{}, fmt.Errorf("patch: cannot encode the configuration: %w", err)
	}
	after, err := json.Marshal(next)
	if err != nil {
		return Document{}, fmt.Errorf("patch: cannot encode the configuration: %w", err)
	}
	e.Undo, err = jsonpatch.CreateMergePatch(after, before)
	if err != nil {
		return Document{}, fmt.Errorf("patch: cannot create the undo patch: %w", err)
	}
	if string(e.Undo) == "{}" {
		return Document{}, &InvalidError{Faults: []Fault{{Path: "patch", Problem: "changes nothing", Allowed: "a change"}}}
	}
	e.Sum = checksum(after)
	result := Document{
		Version: e.Version, Config: next, Trimmed: d.Trimmed,
		History: append(slices.Clone(d.History), e),
	}
	if err := result.trim(len(after)); err != nil {
		return Document{}, err
	}
	return result, nil
}

// merge returns the normalized configuration before and after a merge patch.
func (c Config) merge(p json.RawMessage) (old, next Config, err error) {
	c.normalize()
	before, err := json.Marshal(c)
	if err != nil {
		return c, next, fmt.Errorf("patch: cannot encode the configuration: %w", err)
	}
	after, err := jsonpatch.MergePatch(before, p)
	if err != nil {
		return c, next, &InvalidError{Faults: []Fault{{Path: "patch", Problem: err.Error(), Allowed: "a JSON merge patch (RFC 7386)"}}}
	}
	next, faults := Validate(after)
	if len(faults) == 0 {
		faults = c.membershipFaults(next)
	}
	if len(faults) > 0 {
		return c, next, &InvalidError{Faults: faults}
	}
	return c, next, nil
}

func checksum(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:16])
}

// errVersionGap means that an entry is not based on the version of the document,
// or that its patch was trimmed.
var errVersionGap = errors.New("patch: the entry is not based on the current version")

// ApplyEntries returns the document after applying entries received from another
// instance. It fails if they are not based on the version of d or if the result
// does not match their checksums.
func (d Document) ApplyEntries(entries []Entry) (Document, error) {
	for _, e := range entries {
		if e.Version <= d.Version {
			continue
		}
		if e.Base != d.Version || len(e.Patch) == 0 {
			return Document{}, errVersionGap
		}
		before, err := json.Marshal(d.Config)
		if err != nil {
			return Document{}, fmt.Errorf("patch: cannot encode the configuration: %w", err)
		}
		after, err := jsonpatch.MergePatch(before, e.Patch)
		if err != nil {
			return Document{}, fmt.Errorf("patch: cannot apply the patch of version %d: %w", e.Version, err)
		}
		next, _ := Decode(after)
		b, err := json.Marshal(next)
		if err != nil {
			return Document{}, fmt.Errorf("patch: cannot encode the configuration: %w", err)
		}
		if sum := checksum(b); sum != e.Sum {
			return Document{}, fmt.Errorf("patch: version %d has checksum %s, the entry says %s", e.Version, sum, e.Sum)
		}
		d = Document{Version: e.Version, Config: next, History: []Entry{e}, Lowest: e.Version, Trimmed: e.Version - 1}
	}
	return d, nil
}
