package load

import (
	"context"
	"fmt"
	"time"

	"anviltack/core"
)

// Statements of the callers.
const (
	insertSQL = "INSERT INTO item (key, value) VALUES ($1, $2)"
	updateSQL = "UPDATE item SET value = $1 WHERE key = $2"
	selectSQL = "SELECT value FROM item WHERE key = $1"
)

// Shares of a writer's statements, in percent, and bounds of its loops.
const (
	// batchPercent is the share of records that are inserted in pairs, in one
	// transaction.
	batchPercent = 10
	// plainUpdatePercent is the share of corrections without a submission key.
	plainUpdatePercent = 30
	// maxCorrections bounds the corrections of one record.
	maxCorrections = 3
	// maxAttempts bounds the attempts at one submission.
	maxAttempts = 40
)

// runWriter inserts records and corrects them until the run ends.
func (l *Load) runWriter(ctx context.Context, c *caller) {
	for n := 0; c.ensureConnected(ctx); n++ {
		key := fmt.Sprintf("%s/%s/%d", c.database, c.name, n)
		if c.random.IntN(100) < batchPercent {
			l.writeBatch(ctx, c, key)
		} else {
			l.writeRecord(ctx, c, key)
		}
		if !l.think(ctx, c) {
			return
		}
	}
}

// think waits for a random think time and reports whether the run continues.
func (l *Load) think(ctx context.Context, c *caller) bool {
	return sleep(ctx, time.Duration(c.random.Float64()*2*float64(l.thinkTime)))
}

// writeRecord inserts one record, then corrects it and reads it back.
func (l *Load) writeRecord(ctx context.Context, c *caller, key string) {
	if !l.submit(ctx, c, key, true) {
		return
	}
	for range c.random.IntN(maxCorrections + 1) {
		if !l.think(ctx, c) || !c.ensureConnected(ctx) {
			return
		}
		if c.random.IntN(100) < plainUpdatePercent {
			if l.updateOnce(c, key) == OutcomeUnknown {
				return
			}
		} else if !l.submit(ctx, c, key, false) {
			return
		}
		if !c.ensureConnected(ctx) {
			return
		}
		if err := l.readKey(c, key, l.randomKind(c)); err != nil {
			sleep(ctx, retryAfter(err))
		}
	}
}

// submit writes the next version of a key with a submission key until it is
// acknowledged. A refused value is never sent again; a write with an unknown
// outcome is resolved by sending the same submission again.
func (l *Load) submit(ctx context.Context, c *caller, key string, insert bool) bool {
	var w *Write
	var submission string
	for range maxAttempts {
		if !c.ensureConnected(ctx) {
			return false
		}
		if w == nil || w.Outcome == OutcomeRefused {
			w = l.history.beginWrite(c.database, key, "")
			submission = w.Value()
		}
		comment := " /*submission='" + submission + "'*/"
		var took time.Duration
		var err error
		if insert {
			_, took, err = c.exec(insertSQL+comment, key, w.Value())
		} else {
			_, took, err = c.exec(updateSQL+comment, w.Value(), key)
		}
		l.recordWrite(c, w, took, err)
		if w.Outcome == OutcomeAcknowledged {
			return true
		}
		sleep(ctx, retryAfter(err))
	}
	return false
}

// updateOnce writes the next version of a key without a submission key.
func (l *Load) updateOnce(c *caller, key string) Outcome {
	w := l.history.beginWrite(c.database, key, "")
	_, took, err := c.exec(updateSQL, w.Value(), key)
	l.recordWrite(c, w, took, err)
	return w.Outcome
}

// recordWrite records the answer to a write.
func (l *Load) recordWrite(c *caller, w *Write, took time.Duration, err error) {
	l.history.recordOutcome(w, outcomeOf(err))
	if err == nil {
		l.results.recordLatency(kindWrite, took)
	}
	if w.Outcome == OutcomeAcknowledged {
		c.seen[w.Key] = max(c.seen[w.Key], w.Version)
	}
}

// writeBatch inserts two records in one transaction.
func (l *Load) writeBatch(ctx context.Context, c *caller, key string) {
	writes := []*Write{
		l.history.beginWrite(c.database, key+"a", key),
		l.history.beginWrite(c.database, key+"b", key),
	}
	outcome, err := l.runBatch(c, writes)
	for _, w := range writes {
		l.history.recordOutcome(w, outcome)
		if outcome == OutcomeAcknowledged {
			c.seen[w.Key] = max(c.seen[w.Key], w.Version)
		}
	}
	if err != nil {
		sleep(ctx, retryAfter(err))
	}
}

// runBatch runs a transaction and returns its outcome; a transaction whose
// COMMIT was not sent cannot have taken effect.
func (l *Load) runBatch(c *caller, writes []*Write) (Outcome, error) {
	if _, _, err := c.exec("BEGIN"); err != nil {
		return OutcomeRefused, err
	}
	for _, w := range writes {
		if _, _, err := c.exec(insertSQL, w.Key, w.Value()); err != nil {
			c.disconnect()
			return OutcomeRefused, err
		}
	}
	tag, took, err := c.exec("COMMIT")
	if err == nil && tag.String() != "COMMIT" {
		return OutcomeRefused, nil
	}
	if err == nil {
		l.results.recordLatency(kindWrite, took)
	} else {
		c.disconnect()
	}
	return outcomeOf(err), err
}

// runClock writes the clock key of a database at a fixed interval, so that a
// recent write always exists against which reads are checked for staleness.
func (l *Load) runClock(ctx context.Context, c *caller) {
	key := clockKey(c.database)
	if !l.submit(ctx, c, key, true) {
		return
	}
	for sleep(ctx, clockInterval) {
		l.submit(ctx, c, key, false)
	}
}

func clockKey(d core.Database) string { return string(d) + "/clock" }
