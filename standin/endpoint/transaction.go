package endpoint

import (
	"context"
	"time"
)

// lockTimeout ends a wait for a row lock that may be a deadlock.
const lockTimeout = 2 * time.Second

// Transaction states as ReadyForQuery reports them.
const (
	statusIdle   byte = 'I'
	statusActive byte = 'T'
	statusFailed byte = 'E'
)

// transaction is what a session has written and not committed yet.
type transaction struct {
	// status is statusActive or statusFailed only in an explicit block.
	status   byte
	readOnly bool
	changes  []Change
	overlay  map[row]Change
	locks    []row
}

func newTransaction() transaction {
	return transaction{status: statusIdle, overlay: make(map[row]Change)}
}

func (t *transaction) add(c Change) {
	t.changes = append(t.changes, c)
	t.overlay[row{table: c.Table, key: c.Key}] = c
}

// look returns a row as the session's transaction sees it.
func (s *session) look(r row) (string, bool) {
	if c, ok := s.transaction.overlay[r]; ok {
		return c.Value, !c.Delete
	}
	e := s.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.tables.cells[r]
	return c.Value, ok
}

// lock takes a row lock; while it waits the session gives its slot back.
func (s *session) lock(ctx context.Context, r row) error {
	e := s.endpoint
	timer := time.NewTimer(lockTimeout)
	defer timer.Stop()
	for {
		e.mu.Lock()
		owner := e.locks[r]
		if owner == nil || owner == s {
			if owner == nil {
				e.locks[r] = s
				s.transaction.locks = append(s.transaction.locks, r)
			}
			e.mu.Unlock()
			return nil
		}
		unlocked := e.unlocked
		e.mu.Unlock()
		e.releaseSlot()
		var err error
		select {
		case <-unlocked:
		case <-timer.C:
			err = newSQLError(stateDeadlock, "row lock was not released in time")
		case <-ctx.Done():
			err = newSQLError(stateCancelled, "canceling statement due to user request")
		}
		e.takeSlot()
		if err != nil {
			return err
		}
	}
}

// checkWritable reports why a write is refused, or nil.
func (s *session) checkWritable() error {
	if s.transaction.readOnly {
		return newSQLError(stateReadOnly, "cannot write in a read-only transaction")
	}
	e := s.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isWritable() {
		return newSQLError(stateReadOnly, "cannot write on this endpoint: role %s, fence %d, term %d", e.role, e.fence, e.term)
	}
	return nil
}

// commit makes the transaction's writes take effect together.
func (s *session) commit(ctx context.Context) error {
	if s.endpoint.frozen.wait(ctx) != nil {
		return newSQLError(stateCancelled, "endpoint is stopping")
	}
	e := s.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	defer s.clear()
	if len(s.transaction.changes) == 0 {
		return nil
	}
	if !e.isWritable() {
		return newSQLError(stateReadOnly, "cannot commit on this endpoint: role %s, fence %d, term %d", e.role, e.fence, e.term)
	}
	e.add(s.transaction.changes)
	return nil
}

// rollback drops the transaction's writes.
func (s *session) rollback() {
	e := s.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	s.clear()
}

// clear releases the locks and starts afresh; the endpoint's mu is held.
func (s *session) clear() {
	e := s.endpoint
	for _, r := range s.transaction.locks {
		delete(e.locks, r)
	}
	if len(s.transaction.locks) > 0 {
		close(e.unlocked)
		e.unlocked = make(chan struct{})
	}
	s.transaction = newTransaction()
}
