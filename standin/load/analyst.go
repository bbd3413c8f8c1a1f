package load

import (
	"context"
	"slices"
	"time"

	"anviltack/core"
)

// shareClock is the share of an analyst's reads that go to the clock key, in
// percent.
const shareClock = 40

// sharePlain is the share of reads without a kind, in percent.
const sharePlain = 5

// runAnalyst reads keys by stated kinds until the run ends.
func (l *Load) runAnalyst(ctx context.Context, c *client) {
	for c.ready(ctx) {
		key, found := clockKey(c.database), true
		if c.random.IntN(100) >= shareClock {
			key, found = l.ledger.pick(c.database, c.random)
		}
		if found {
			kind := l.anyKind(c)
			if c.random.IntN(100) < sharePlain {
				kind = ""
			}
			if err := l.readKey(c, key, kind); err != nil {
				pause(ctx, retryAfter(err))
			}
		}
		if !l.rest(ctx, c) {
			return
		}
	}
}

// anyKind returns one of the kinds of read.
func (l *Load) anyKind(c *client) core.Kind {
	kinds := make([]core.Kind, 0, len(l.kinds))
	for k := range l.kinds {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return kinds[c.random.IntN(len(kinds))]
}

// readKey reads one key and judges the answer; without a kind the newest
// acknowledged value is due.
func (l *Load) readKey(c *client, key string, kind core.Kind) error {
	sql := selectSQL
	if kind != "" {
		sql += " /*kind='" + string(kind) + "'*/"
	}
	sentAt := time.Now()
	values, took, err := c.read(sql, key)
	if err != nil {
		return err
	}
	l.tally.took(kindRead, took)
	l.judgeRead(c, key, values, sentAt.Add(-l.kinds[kind]))
	return nil
}

// judgeRead compares an answer with what the session saw before and with what
// was acknowledged before a time.
func (l *Load) judgeRead(c *client, key string, values []string, before time.Time) {
	version := uint64(0)
	if len(values) > 0 {
		var k string
		var ok bool
		k, version, ok = parseValue(values[0])
		if len(values) > 1 || !ok || k != key || !l.ledger.knows(key, version) {
			l.tally.broken(brokenCrossed, "%s read %q for %q", c.name, values, key)
			return
		}
	}
	if seen := c.seen[key]; version < seen {
		l.tally.broken(brokenSession, "%s read version %d of %s after version %d at %s", c.name, version, key, seen, l.entries[c.entry])
	}
	if floor := l.ledger.floor(key, before); version < floor {
		l.tally.broken(brokenAge, "%s read version %d of %s, version %d was due, at %s", c.name, version, key, floor, l.entries[c.entry])
	}
	c.seen[key] = max(c.seen[key], version)
}
