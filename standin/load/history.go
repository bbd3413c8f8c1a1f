package load

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"anviltack/core"
)

// Outcome is the result of a write as its caller sees it.
type Outcome string

// The outcomes of a write. An outcome is only ever replaced by a later one of
// this list.
const (
	OutcomePending      Outcome = "pending"
	OutcomeRefused      Outcome = "refused"
	OutcomeUnknown      Outcome = "unknown"
	OutcomeAcknowledged Outcome = "acknowledged"
)

// Write is one value that a caller tried to write.
type Write struct {
	Database core.Database
	Key      string
	// Version increases with every write of the key; the value contains both.
	Version uint64
	Outcome Outcome
	// AnsweredAt is when the caller received the answer.
	AnsweredAt time.Time
	// Batch is the name of the transaction that the write belongs to; empty for
	// none.
	Batch string
}

// Value returns the value that the write stores, unique in the run.
func (w *Write) Value() string { return w.Key + "=" + strconv.FormatUint(w.Version, 10) }

// parseValue splits a value into its key and version.
func parseValue(value string) (string, uint64, bool) {
	i := strings.LastIndexByte(value, '=')
	if i < 0 {
		return "", 0, false
	}
	version, err := strconv.ParseUint(value[i+1:], 10, 64)
	return value[:i], version, err == nil
}

// history records every write of the run with its outcome.
type history struct {
	mu    sync.Mutex
	byKey map[string][]*Write
	// acknowledgedKeys lists the keys that have an acknowledged write.
	acknowledgedKeys map[core.Database][]string
	acknowledged     map[string]struct{}
	writes           []*Write
}

func newHistory() *history {
	return &history{
		byKey:            make(map[string][]*Write),
		acknowledgedKeys: make(map[core.Database][]string),
		acknowledged:     make(map[string]struct{}),
	}
}

// beginWrite records a write that is about to be sent.
func (h *history) beginWrite(d core.Database, key, batch string) *Write {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := &Write{Database: d, Key: key, Version: uint64(len(h.byKey[key])) + 1, Outcome: OutcomePending, Batch: batch}
	h.byKey[key] = append(h.byKey[key], w)
	h.writes = append(h.writes, w)
	return w
}

// recordOutcome records the outcome of an attempt. An acknowledged write stays
// acknowledged, and a refusal does not replace an unknown outcome.
func (h *history) recordOutcome(w *Write, o Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.Outcome == OutcomeAcknowledged || w.Outcome == OutcomeUnknown && o == OutcomeRefused {
		return
	}
	w.Outcome = o
	w.AnsweredAt = time.Now()
	if _, found := h.acknowledged[w.Key]; o != OutcomeAcknowledged || found {
		return
	}
	h.acknowledged[w.Key] = struct{}{}
	h.acknowledgedKeys[w.Database] = append(h.acknowledgedKeys[w.Database], w.Key)
}

// randomKey returns a random acknowledged key of a database, or false if there
// is none.
func (h *history) randomKey(d core.Database, r *rand.Rand) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	keys := h.acknowledgedKeys[d]
	if len(keys) == 0 {
		return "", false
	}
	return keys[r.IntN(len(keys))], true
}

// newestAcknowledged returns the newest version of a key that was acknowledged
// before a time.
func (h *history) newestAcknowledged(key string, before time.Time) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	writes := h.byKey[key]
	for i := len(writes) - 1; i >= 0; i-- {
		if writes[i].Outcome == OutcomeAcknowledged && writes[i].AnsweredAt.Before(before) {
			return writes[i].Version
		}
	}
	return 0
}

// hasVersion reports whether a caller ever tried to write a version of a key.
func (h *history) hasVersion(key string, version uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return version <= uint64(len(h.byKey[key]))
}
