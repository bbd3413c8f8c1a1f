package instance

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"anviltack/core"
	"anviltack/io/caller"
	"anviltack/io/endpoint"
)

// cancelLimit bounds the passing on of one cancel request.
const cancelLimit = 2 * time.Second

// sessions are the sessions of one instance by the process number of their key.
type sessions struct {
	mu      sync.Mutex
	next    uint32
	entries map[uint32]*sessionEntry
}

// sessionEntry is the part of a session that other goroutines touch.
type sessionEntry struct {
	key caller.CancelKey

	mu sync.Mutex
	// running is the connection on which the session's statement runs, or nil.
	running *endpoint.Conn
	// cancelled tells that a cancel request was passed on for running.
	cancelled bool
	// idle tells that the session waits for its caller.
	idle bool
	// inTransaction tells that a transaction was open when the session went idle.
	inTransaction bool
	// ending tells that the session was told to end before its next request.
	ending bool
	// interrupt sets the deadline of the session's read from its caller.
	interrupt func(time.Time)
}

func newSessions() *sessions {
	return &sessions{entries: make(map[uint32]*sessionEntry)}
}

// add registers a session unless there are limit of them; interrupt sets the
// deadline of its read from the caller.
func (s *sessions) add(limit int, interrupt func(time.Time)) (*sessionEntry, error) {
	var secret [4]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.entries) >= limit {
		return nil, core.NewError(core.CodeTooManyCallers, "more than %d callers", limit).WithRetry(time.Second)
	}
	for s.next++; s.entries[s.next] != nil || s.next == 0; s.next++ {
	}
	e := &sessionEntry{key: caller.CancelKey{Process: s.next, Secret: binary.BigEndian.Uint32(secret[:])}, idle: true, interrupt: interrupt}
	s.entries[s.next] = e
	return e, nil
}

func (s *sessions) remove(e *sessionEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, e.key.Process)
}

// cancel passes a cancel request on to the endpoint that runs the session's
// statement; a key that names no session or a wrong secret does nothing.
func (s *sessions) cancel(ctx context.Context, key caller.CancelKey) {
	s.mu.Lock()
	e := s.entries[key.Process]
	s.mu.Unlock()
	if e == nil || e.key.Secret != key.Secret {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, cancelLimit)
	defer stop()
	e.cancelled = true
	_ = e.running.Cancel(ctx)
}

// abort ends the wait of every statement that runs at an address.
func (s *sessions) abort(address netip.AddrPort) {
	s.mu.Lock()
	entries := slices.Collect(maps.Values(s.entries))
	s.mu.Unlock()
	for _, e := range entries {
		e.mu.Lock()
		if e.running != nil && e.running.Address == address {
			e.running.Interrupt()
		}
		e.mu.Unlock()
	}
}

// begin notes the connection on which the session's statement runs.
func (e *sessionEntry) begin(c *endpoint.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = c
	e.cancelled = false
}

// finish notes that the statement ended and reports whether the connection may
// be used again: after a cancel request it may not, because the request can
// still arrive.
func (e *sessionEntry) finish() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = nil
	return !e.cancelled
}

// busy notes that a request arrived; a session that was told to end serves it
// first.
func (e *sessionEntry) busy() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idle = false
	if e.ending {
		e.ending = false
		e.interrupt(time.Time{})
	}
}

// rest notes that the session waits for its caller.
func (e *sessionEntry) rest(inTransaction bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idle = true
	e.inTransaction = inTransaction
}

// isEnding reports whether the session was told to end between requests.
func (e *sessionEntry) isEnding() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ending
}

// endIdle makes every session end that waits for its caller outside a
// transaction.
func (s *sessions) endIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		e.endIdle()
	}
}

func (e *sessionEntry) endIdle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.idle && !e.inTransaction {
		e.ending = true
		e.interrupt(time.Now())
	}
}

// remaining counts the sessions whose statement runs and those that are idle in
// a transaction.
func (s *sessions) remaining() (running, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		e.mu.Lock()
		switch {
		case !e.idle:
			running++
		case e.inTransaction:
			open++
		}
		e.mu.Unlock()
	}
	return running, open
}

func cutPrefixFold(s, prefix string) (string, bool) {
	return strings.CutPrefix(strings.ToLower(s), prefix)
}

func (s *sessions) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}
