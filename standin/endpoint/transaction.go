package endpoint

import (
	"context"
	"time"
)

// lockTimeout ends a wait for a row lock, as the wait may be a deadlock.
const lockTimeout = 2 * time.Second

// Transaction status indicators of ReadyForQuery.
const (
	statusIdle   byte = 'I'
	statusActive byte = 'T'
	statusFailed byte = 'E'
)

// transaction holds the uncommitted writes of a session.
type transaction struct {
	// status is statusActive or statusFailed only in an explicit block.
	status   byte
	readOnly bool
	changes  []Change
	overlay  map[rowKey]Change
	locks    []rowKey
}

func newTransaction() transaction {
	return transaction{status: statusIdle, overlay: make(map[rowKey]Change)}
}

func (t *transaction) addChange(c Change) {
	t.changes = append(t.changes, c)
	t.overlay[rowKey{table: c.Table, key: c.Key}] = c
}

// readRow returns a row as the session's transaction sees it.
func (s *session) readRow(r rowKey) (string, bool) {
	if c, ok := s.transaction.overlay[r]; ok {
		return c.Value, !c.Delete
	}
	e := s.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	row, ok := e.tables.rows[r]
	return row.Value, ok
}

// lockRow acquires a row lock. It releases the session's slot while it waits.
func (s *session) lockRow(ctx context.Context, r rowKey) error {
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
		locksReleased := e.locksReleased
		e.mu.Unlock()
		e.releaseSlot()
		var err error
		select {
		case <-locksReleased:
		case <-timer.C:
			err = newSQLError(stateDeadlock, "row lock was not released in time")
		case <-ctx.Done():
			err = newSQLError(stateCancelled, "canceling statement due to user request")
		}
		e.reacquireSlot()
		if err != nil {
			return err
		}
	}
}

// checkWritable returns an error if the session cannot write.
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

// commit appends the transaction's writes to the log as one entry.
func (s *session) commit(ctx context.Context) error {
	if s.endpoint.suspended.wait(ctx) != nil {
		return newSQLError(stateCancelled, "endpoint is stopping")
	}
	e := s.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	defer s.resetTransaction()
	if len(s.transaction.changes) == 0 {
		return nil
	}
	if !e.isWritable() {
		return newSQLError(stateReadOnly, "cannot commit on this endpoint: role %s, fence %d, term %d", e.role, e.fence, e.term)
	}
	e.appendEntry(s.transaction.changes)
	return nil
}

// rollback drops the transaction's writes.
func (s *session) rollback() {
	e := s.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	s.resetTransaction()
}

// resetTransaction releases the row locks and starts a new transaction; the
// endpoint's mu is held.
func (s *session) resetTransaction() {
	e := s.endpoint
	for _, r := range s.transaction.locks {
		delete(e.locks, r)
	}
	if len(s.transaction.locks) > 0 {
		close(e.locksReleased)
		e.locksReleased = make(chan struct{})
	}
	s.transaction = newTransaction()
}
