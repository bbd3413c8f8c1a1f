package load

import (
	"context"
	"slices"
	"time"

	"anviltack/core"
	"anviltack/standin/endpoint"
)

// loggedValue is how often a value occurs in a log, and its last position.
type loggedValue struct {
	count    int
	position uint64
}

// check compares every write with the log and the rows of the primaries at the
// end.
func (l *Load) check(ctx context.Context, started, ended time.Time) (*Report, error) {
	for _, d := range l.databases {
		entries, rows, hasPrimary, err := l.monitor.finalState(ctx, d)
		if err != nil {
			return nil, err
		}
		if !hasPrimary {
			l.results.recordViolation(violationNoPrimary, "database %s has no primary that a majority follows", d.Name)
		}
		l.checkDatabase(d.Name, entries, rows)
	}
	return l.report(started, ended), nil
}

func (l *Load) checkDatabase(d core.Database, entries []endpoint.Entry, rows endpoint.Rows) {
	logged := make(map[string]loggedValue)
	for _, e := range entries {
		for _, c := range e.Changes {
			if c.Table != endpoint.TableItem {
				continue
			}
			previous := logged[c.Value]
			logged[c.Value] = loggedValue{count: previous.count + 1, position: e.Position}
		}
	}
	batchPositions := make(map[string][]uint64)
	newest := make(map[string]uint64)
	for _, w := range l.history.writes {
		if w.Database != d {
			continue
		}
		found := logged[w.Value()]
		l.checkWrite(w, found)
		if w.Batch != "" {
			batchPositions[w.Batch] = append(batchPositions[w.Batch], found.position)
		}
		if w.Outcome == OutcomeAcknowledged {
			newest[w.Key] = max(newest[w.Key], w.Version)
		}
	}
	for name, positions := range batchPositions {
		slices.Sort(positions)
		if len(slices.Compact(positions)) > 1 {
			l.results.recordViolation(violationTorn, "transaction %s was logged at positions %v", name, positions)
		}
	}
	for key, version := range newest {
		_, last, ok := parseValue(rows.Rows[key].Value)
		if ok && last < version {
			l.results.recordViolation(violationLost, "row %s ended at version %d, version %d was acknowledged", key, last, version)
		}
	}
}

func (l *Load) checkWrite(w *Write, found loggedValue) {
	switch {
	case w.Outcome == OutcomeAcknowledged && found.count == 0:
		l.results.recordViolation(violationLost, "%s was acknowledged", w.Value())
	case w.Outcome == OutcomeRefused && found.count > 0:
		l.results.recordViolation(violationRanThoughRefused, "%s is at position %d", w.Value(), found.position)
	case found.count > 1:
		l.results.recordViolation(violationDuplicated, "%s was written %d times", w.Value(), found.count)
	}
}

// longestWriteGap returns the longest time without an acknowledged write.
func (l *Load) longestWriteGap(d core.Database, started, ended time.Time) time.Duration {
	times := []time.Time{started, ended}
	for _, w := range l.history.writes {
		if w.Database == d && w.Outcome == OutcomeAcknowledged && w.AnsweredAt.Before(ended) {
			times = append(times, w.AnsweredAt)
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
	var longest time.Duration
	for i := 1; i < len(times); i++ {
		longest = max(longest, times[i].Sub(times[i-1]))
	}
	return longest
}
