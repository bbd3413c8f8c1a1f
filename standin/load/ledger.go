package load

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"anviltack/core"
)

// Outcome is what a caller was told of a write.
type Outcome string

// The outcomes of a write, by how much the caller knows.
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
	// Version rises from write to write of the key; the value embeds both.
	Version uint64
	Outcome Outcome
	// At is when the caller had the answer.
	At time.Time
	// Batch names the transaction that the write belongs to, empty for none.
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

// ledger records every write of the run.
type ledger struct {
	mu    sync.Mutex
	byKey map[string][]*Write
	// keys holds the keys with an acknowledged write.
	keys   map[core.Database][]string
	known  map[string]struct{}
	writes []*Write
}

func newLedger() *ledger {
	return &ledger{
		byKey: make(map[string][]*Write),
		keys:  make(map[core.Database][]string),
		known: make(map[string]struct{}),
	}
}

// begin records a write that is about to be sent.
func (l *ledger) begin(d core.Database, key, batch string) *Write {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &Write{Database: d, Key: key, Version: uint64(len(l.byKey[key])) + 1, Outcome: OutcomePending, Batch: batch}
	l.byKey[key] = append(l.byKey[key], w)
	l.writes = append(l.writes, w)
	return w
}

// settle records an answer; what is known already is not forgotten.
func (l *ledger) settle(w *Write, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.Outcome == OutcomeAcknowledged || w.Outcome == OutcomeUnknown && o == OutcomeRefused {
		return
	}
	w.Outcome = o
	w.At = time.Now()
	if _, found := l.known[w.Key]; o != OutcomeAcknowledged || found {
		return
	}
	l.known[w.Key] = struct{}{}
	l.keys[w.Database] = append(l.keys[w.Database], w.Key)
}

// pick returns a random acknowledged key of a database, or false.
func (l *ledger) pick(d core.Database, r *rand.Rand) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := l.keys[d]
	if len(keys) == 0 {
		return "", false
	}
	return keys[r.IntN(len(keys))], true
}

// floor returns the newest version of a key acknowledged before a time.
func (l *ledger) floor(key string, before time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	writes := l.byKey[key]
	for i := len(writes) - 1; i >= 0; i-- {
		if writes[i].Outcome == OutcomeAcknowledged && writes[i].At.Before(before) {
			return writes[i].Version
		}
	}
	return 0
}

// knows reports whether a version of a key was ever tried.
func (l *ledger) knows(key string, version uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return version <= uint64(len(l.byKey[key]))
}
