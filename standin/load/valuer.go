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

// Shares of a valuer's work, in percent.
const (
	shareBatch   = 10
	shareUnkeyed = 30
	// corrections is how many corrections follow a submission at most.
	corrections = 3
	// attempts bounds the tries of one submission.
	attempts = 40
)

// runValuer files records and corrects them until the run ends.
func (l *Load) runValuer(ctx context.Context, c *client) {
	for n := 0; c.ready(ctx); n++ {
		key := fmt.Sprintf("%s/%s/%d", c.database, c.name, n)
		if c.random.IntN(100) < shareBatch {
			l.fileBatch(ctx, c, key)
		} else {
			l.fileRecord(ctx, c, key)
		}
		if !l.rest(ctx, c) {
			return
		}
	}
}

// rest lets a caller think.
func (l *Load) rest(ctx context.Context, c *client) bool {
	return pause(ctx, time.Duration(c.random.Float64()*2*float64(l.think)))
}

// fileRecord submits one record, then corrects it and reads it back.
func (l *Load) fileRecord(ctx context.Context, c *client, key string) {
	if !l.submit(ctx, c, key, true) {
		return
	}
	for range c.random.IntN(corrections + 1) {
		if !l.rest(ctx, c) || !c.ready(ctx) {
			return
		}
		if c.random.IntN(100) < shareUnkeyed {
			if l.updateOnce(c, key) == OutcomeUnknown {
				return
			}
		} else if !l.submit(ctx, c, key, false) {
			return
		}
		if !c.ready(ctx) {
			return
		}
		if err := l.readKey(c, key, l.anyKind(c)); err != nil {
			pause(ctx, retryAfter(err))
		}
	}
}

// submit writes the next version of a key with a submission key until it is
// acknowledged. A refused value is never sent again; one with an unknown outcome
// is asked about by sending the same submission again.
func (l *Load) submit(ctx context.Context, c *client, key string, insert bool) bool {
	var w *Write
	var submission string
	for range attempts {
		if !c.ready(ctx) {
			return false
		}
		if w == nil || w.Outcome == OutcomeRefused {
			w = l.ledger.begin(c.database, key, "")
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
		l.settle(c, w, took, err)
		if w.Outcome == OutcomeAcknowledged {
			return true
		}
		pause(ctx, retryAfter(err))
	}
	return false
}

// updateOnce writes the next version of a key without a submission key.
func (l *Load) updateOnce(c *client, key string) Outcome {
	w := l.ledger.begin(c.database, key, "")
	_, took, err := c.exec(updateSQL, w.Value(), key)
	l.settle(c, w, took, err)
	return w.Outcome
}

// settle records the answer to a write.
func (l *Load) settle(c *client, w *Write, took time.Duration, err error) {
	l.ledger.settle(w, outcomeOf(err))
	if err == nil {
		l.tally.took(kindWrite, took)
	}
	if w.Outcome == OutcomeAcknowledged {
		c.seen[w.Key] = max(c.seen[w.Key], w.Version)
	}
}

// fileBatch writes two records in one transaction.
func (l *Load) fileBatch(ctx context.Context, c *client, key string) {
	writes := []*Write{
		l.ledger.begin(c.database, key+"a", key),
		l.ledger.begin(c.database, key+"b", key),
	}
	outcome, err := l.runBatch(c, writes)
	for _, w := range writes {
		l.ledger.settle(w, outcome)
		if outcome == OutcomeAcknowledged {
			c.seen[w.Key] = max(c.seen[w.Key], w.Version)
		}
	}
	if err != nil {
		pause(ctx, retryAfter(err))
	}
}

// runBatch returns the outcome of a transaction; before its commit was sent it
// cannot have taken effect.
func (l *Load) runBatch(c *client, writes []*Write) (Outcome, error) {
	if _, _, err := c.exec("BEGIN"); err != nil {
		return OutcomeRefused, err
	}
	for _, w := range writes {
		if _, _, err := c.exec(insertSQL, w.Key, w.Value()); err != nil {
			c.leave()
			return OutcomeRefused, err
		}
	}
	tag, took, err := c.exec("COMMIT")
	if err == nil && tag.String() != "COMMIT" {
		return OutcomeRefused, nil
	}
	if err == nil {
		l.tally.took(kindWrite, took)
	} else {
		c.leave()
	}
	return outcomeOf(err), err
}

// runClock writes the clock key of a database at a steady pace.
func (l *Load) runClock(ctx context.Context, c *client) {
	key := clockKey(c.database)
	if !l.submit(ctx, c, key, true) {
		return
	}
	for pause(ctx, clockPeriod) {
		l.submit(ctx, c, key, false)
	}
}

func clockKey(d core.Database) string { return string(d) + "/clock" }
