package load

import (
	"context"
	"slices"
	"time"

	"anviltack/core"
)

// clockReadPercent is the share of a reader's reads that go to the clock key.
const clockReadPercent = 40

// unlabelledReadPercent is the share of reads without a kind.
const unlabelledReadPercent = 5

// runReader reads keys with random kinds until the run ends.
func (l *Load) runReader(ctx context.Context, c *caller) {
	for c.ensureConnected(ctx) {
		key, found := clockKey(c.database), true
		if c.random.IntN(100) >= clockReadPercent {
			key, found = l.history.randomKey(c.database, c.random)
		}
		if found {
			kind := l.randomKind(c)
			if c.random.IntN(100) < unlabelledReadPercent {
				kind = ""
			}
			if err := l.readKey(c, key, kind); err != nil {
				sleep(ctx, retryAfter(err))
			}
		}
		if !l.think(ctx, c) {
			return
		}
	}
}

// randomKind returns one of the kinds of read.
func (l *Load) randomKind(c *caller) core.Kind {
	kinds := make([]core.Kind, 0, len(l.kinds))
	for k := range l.kinds {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return kinds[c.random.IntN(len(kinds))]
}

// readKey reads one key and checks the answer; a read without a kind must
// return the newest acknowledged value.
func (l *Load) readKey(c *caller, key string, kind core.Kind) error {
	sql := selectSQL
	if kind != "" {
		sql += " /*kind='" + string(kind) + "'*/"
	}
	sentAt := time.Now()
	values, took, err := c.read(sql, key)
	if err != nil {
		return err
	}
	l.results.recordLatency(kindRead, took)
	l.checkRead(c, key, values, sentAt.Add(-l.kinds[kind]))
	return nil
}

// checkRead compares an answer with what the session saw before and with what
// was acknowledged before a time.
func (l *Load) checkRead(c *caller, key string, values []string, before time.Time) {
	version := uint64(0)
	if len(values) > 0 {
		var k string
		var ok bool
		k, version, ok = parseValue(values[0])
		if len(values) > 1 || !ok || k != key || !l.history.hasVersion(key, version) {
			l.results.recordViolation(violationCrossed, "%s read %q for %q", c.name, values, key)
			return
		}
	}
	if seen := c.seen[key]; version < seen {
		l.results.recordViolation(violationStaleSession, "%s read version %d of %s after version %d at %s", c.name, version, key, seen, l.instances[c.instanceIndex])
	}
	if required := l.history.newestAcknowledged(key, before); version < required {
		l.results.recordViolation(violationStaleAge, "%s read version %d of %s, expected at least version %d, at %s", c.name, version, key, required, l.instances[c.instanceIndex])
	}
	c.seen[key] = max(c.seen[key], version)
}
