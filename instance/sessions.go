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

// cancelTimeout bounds the forwarding of one cancel request.
const cancelTimeout = 2 * time.Second

// sessions holds the sessions of one instance by the process ID in their cancel
// key.
type sessions struct {
	mu            sync.Mutex
	lastProcessID uint32
	entries       map[uint32]*sessionEntry
}

// sessionEntry is the part of a session that other goroutines access.
type sessionEntry struct {
	key caller.CancelKey

	mu sync.Mutex
	// running is the connection on which the session's statement runs, or nil.
	running *endpoint.Conn
	// cancelled is true if a cancel request was forwarded for running.
	cancelled bool
	// idle is true while the session waits for its caller.
	idle bool
	// inTransaction is true if a transaction was open when the session became
	// idle.
	inTransaction bool
	// cut is true once the drain limit ended the session; it runs no further request.
	cut bool
	// terminating is true if the session was asked to end before its next
	// request.
	terminating bool
	// setReadDeadline sets the deadline of the session's read from its caller.
	setReadDeadline func(time.Time)
	// sendFinal sends an error as the last message to the session's caller.
	sendFinal func(*core.Error)
}

func newSessions() *sessions {
	return &sessions{entries: make(map[uint32]*sessionEntry)}
}

// register adds the session of a caller's connection unless there are already limit of them.
func (s *sessions) register(limit int, conn *caller.Conn) (*sessionEntry, error) {
	var secret [4]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.entries) >= limit {
		return nil, core.NewError(core.CodeTooManyCallers, "more than %d callers", limit).WithRetry(time.Second)
	}
	for s.lastProcessID++; s.entries[s.lastProcessID] != nil || s.lastProcessID == 0; s.lastProcessID++ {
	}
	e := &sessionEntry{
		key:             caller.CancelKey{ProcessID: s.lastProcessID, Secret: binary.BigEndian.Uint32(secret[:])},
		idle:            true,
		setReadDeadline: conn.Interrupt,
		sendFinal:       conn.End,
	}
	s.entries[s.lastProcessID] = e
	return e, nil
}

func (s *sessions) unregister(e *sessionEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, e.key.ProcessID)
}

// cancel forwards a cancel request to the endpoint that runs the session's
// statement. A key with an unknown process ID or a wrong secret is ignored.
func (s *sessions) cancel(ctx context.Context, key caller.CancelKey) {
	s.mu.Lock()
	e := s.entries[key.ProcessID]
	s.mu.Unlock()
	if e == nil || e.key.Secret != key.Secret {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	e.cancelled = true
	_ = e.running.Cancel(ctx)
}

// interruptStatements interrupts every statement that runs at an address.
func (s *sessions) interruptStatements(address netip.AddrPort) {
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

// setRunning records the connection on which the session's statement runs.
func (e *sessionEntry) setRunning(c *endpoint.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = c
	e.cancelled = false
}

// clearRunning records that the statement ended and reports whether the
// connection may be reused. After a cancel request it may not, because the
// request can still arrive and would cancel another statement.
func (e *sessionEntry) clearRunning() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = nil
	return !e.cancelled
}

// setBusy records that a request arrived. A session that was asked to end
// serves this request first. It returns false if the drain limit ended the
// session, so that the request must not run.
func (e *sessionEntry) setBusy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cut {
		return false
	}
	e.idle = false
	if e.terminating {
		e.terminating = false
		e.setReadDeadline(time.Time{})
	}
	return true
}

// setIdle records that the session waits for its caller.
func (e *sessionEntry) setIdle(inTransaction bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idle = true
	e.inTransaction = inTransaction
}

// isTerminating reports whether the session was asked to end between requests.
func (e *sessionEntry) isTerminating() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.terminating
}

// terminateIdle ends every session that waits for its caller outside a
// transaction.
func (s *sessions) terminateIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		e.terminateIfIdle()
	}
}

func (e *sessionEntry) terminateIfIdle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.idle && !e.inTransaction {
		e.terminating = true
		e.setReadDeadline(time.Now())
	}
}

// cutAll ends every session with a final answer. It counts those with a running
// statement and those that were idle in a transaction.
func (s *sessions) cutAll() (running, inTransaction int) {
	s.mu.Lock()
	entries := slices.Collect(maps.Values(s.entries))
	s.mu.Unlock()
	var sending sync.WaitGroup
	defer sending.Wait()
	for _, e := range entries {
		final, isRunning, isInTransaction := e.cutOff()
		if isRunning {
			running++
		}
		if isInTransaction {
			inTransaction++
		}
		sending.Go(func() { e.sendFinal(final) })
	}
	return running, inTransaction
}

// cutOff makes the session run no further request. It returns the session's final
// answer and whether a statement runs or the session is idle in a transaction.
func (e *sessionEntry) cutOff() (final *core.Error, isRunning, isInTransaction bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut = true
	switch {
	case !e.idle:
		return core.NewError(core.CodeOutcomeUnknown, "the instance stopped before the statement ended; its outcome is unknown"), true, false
	case e.inTransaction:
		return core.NewError(core.CodeDraining, "the instance is stopping and the transaction was rolled back"), false, true
	}
	return drainingError(), false, false
}

func cutPrefixFold(s, prefix string) (string, bool) {
	return strings.CutPrefix(strings.ToLower(s), prefix)
}

func (s *sessions) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}
