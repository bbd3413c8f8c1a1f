package endpoint

import (
	"context"
	"strconv"
	"time"

	"anviltack/core"
)

// result is the result of one statement.
type result struct {
	tag  string
	rows [][]string
}

// runStatement executes one statement in the session's transaction.
func (s *session) runStatement(ctx context.Context, st statement, values []string) (result, error) {
	if s.transaction.status == statusFailed && st.verb != verbRollback && st.verb != verbCommit {
		return result{}, newSQLError(stateFailed, "current transaction is aborted, commands ignored until end of transaction block")
	}
	if st.isControl() {
		return s.runControl(st, values)
	}
	if st.isSessionCommand() && (st.verb != verbCommit || len(s.transaction.changes) == 0) {
		s.executed.Store(true)
		return s.runSessionCommand(ctx, st)
	}
	e := s.endpoint
	if !e.acquireSlot(ctx) {
		return result{}, newSQLError(stateCancelled, "canceling statement due to user request")
	}
	defer e.releaseSlot()
	s.usedSlot = true
	s.executed.Store(true)
	e.countStatement(st)
	sleepUntil(time.Now().Add(e.serviceTime))
	if e.suspended.wait(ctx) != nil {
		return result{}, newSQLError(stateCancelled, "canceling statement due to user request")
	}
	switch st.verb {
	case verbInsert, verbSubmit, verbUpdate, verbDelete:
		return s.runWrite(ctx, st, values)
	case verbSelect, verbDigest, verbCount, verbOne, verbSleep:
		return s.runRead(ctx, st, values)
	}
	return s.runSessionCommand(ctx, st)
}

func (s *session) runControl(st statement, values []string) (result, error) {
	e := s.endpoint
	var status core.Status
	var err error
	switch st.verb {
	case verbStatus:
		e.mu.Lock()
		status = e.status()
		e.mu.Unlock()
	default:
		var term uint64
		if term, err = strconv.ParseUint(values[0], 10, 64); err != nil {
			return result{}, newSQLError(stateParameters, "term is not a number")
		}
		if st.verb == verbFence {
			status, err = e.raiseFence(term)
		} else {
			status, err = e.promote(term)
		}
	}
	if err != nil {
		return result{}, err
	}
	row := []string{
		string(status.Role),
		decimal(status.Fence),
		decimal(status.Term),
		decimal(status.Received),
		decimal(status.Applied),
		decimal(status.Last.Term),
		decimal(status.Last.Position),
	}
	if st.verb == verbStatus {
		row = append(row, values...)
	}
	return result{tag: st.tag, rows: [][]string{row}}, nil
}

func decimal(n uint64) string { return strconv.FormatUint(n, 10) }

func (s *session) runWrite(ctx context.Context, st statement, values []string) (result, error) {
	if err := s.checkWritable(); err != nil {
		return result{}, err
	}
	change := Change{Table: TableItem}
	switch st.verb {
	case verbInsert:
		change.Key, change.Value = values[0], values[1]
	case verbUpdate:
		change.Value, change.Key = values[0], values[1]
	case verbDelete:
		change.Key, change.Delete = values[0], true
	case verbSubmit:
		change.Table, change.Key = TableSubmission, values[0]
		if len(values) > 1 {
			change.Value = values[1]
		}
	}
	r := rowKey{table: change.Table, key: change.Key}
	if err := s.lockRow(ctx, r); err != nil {
		return result{}, err
	}
	_, found := s.readRow(r)
	switch {
	case st.verb == verbInsert && found:
		return result{}, newSQLError(stateDuplicate, "duplicate key value violates unique constraint \"item_pkey\"")
	case st.verb == verbSubmit && found:
		return result{tag: "INSERT 0 0"}, nil
	case st.verb == verbUpdate && !found:
		return result{tag: "UPDATE 0"}, nil
	case st.verb == verbDelete && !found:
		return result{tag: "DELETE 0"}, nil
	}
	s.transaction.addChange(change)
	return result{tag: st.tag}, nil
}

func (s *session) runRead(ctx context.Context, st statement, values []string) (result, error) {
	switch st.verb {
	case verbSelect, verbDigest:
		r := rowKey{table: TableItem, key: values[0]}
		if st.verb == verbDigest {
			r.table = TableSubmission
		}
		value, found := s.readRow(r)
		if !found {
			return result{tag: "SELECT 0"}, nil
		}
		return result{tag: st.tag, rows: [][]string{{value}}}, nil
	case verbCount:
		return result{tag: st.tag, rows: [][]string{{strconv.Itoa(s.countItems())}}}, nil
	case verbSleep:
		seconds, err := strconv.ParseFloat(values[0], 64)
		if err != nil {
			return result{}, newSQLError(stateParameters, "argument of pg_sleep is not a number")
		}
		if wait(ctx, nil, time.Duration(seconds*float64(time.Second))) {
			return result{tag: st.tag, rows: [][]string{{""}}}, nil
		}
		return result{}, newSQLError(stateCancelled, "canceling statement due to user request")
	}
	return result{tag: st.tag, rows: [][]string{{"1"}}}, nil
}

// countItems counts the items that the session's transaction sees.
func (s *session) countItems() int {
	e := s.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.tables.items
	for r, c := range s.transaction.overlay {
		if r.table != TableItem {
			continue
		}
		_, found := e.tables.rows[r]
		switch {
		case found && c.Delete:
			n--
		case !found && !c.Delete:
			n++
		}
	}
	return n
}

// runSessionCommand executes statements that control the transaction or the
// session.
func (s *session) runSessionCommand(ctx context.Context, st statement) (result, error) {
	t := &s.transaction
	switch st.verb {
	case verbBegin, verbBeginReadOnly:
		t.status = statusActive
		t.readOnly = t.readOnly || st.verb == verbBeginReadOnly
	case verbReadOnly:
		t.readOnly = true
	case verbCommit:
		if t.status == statusFailed {
			s.rollback()
			return result{tag: "ROLLBACK"}, nil
		}
		if err := s.commit(ctx); err != nil {
			return result{}, err
		}
	case verbRollback:
		s.rollback()
	case verbDiscard:
		if t.status != statusIdle {
			return result{}, newSQLError(stateActive, "DISCARD ALL cannot run inside a transaction block")
		}
		s.clearStatements()
	case verbDeallocate:
		s.clearStatements()
	}
	return result{tag: st.tag}, nil
}

// acquireSlot waits for a slot and returns false if the context ends first.
func (e *Endpoint) acquireSlot(ctx context.Context) bool {
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// reacquireSlot waits for a slot after a wait without one. It ignores
// cancellation, because runStatement releases the slot in any case.
func (e *Endpoint) reacquireSlot() { e.slots <- struct{}{} }

func (e *Endpoint) releaseSlot() { <-e.slots }
