// Package turn decides when an instance may act for a group on its own, under a
// token that rises from one turn to the next.
//
// A turn begins with a conditional change of one value in a store; the revision
// of that change is its token. Whoever took a turn acts within Window of asking
// for the change, and nobody takes the next one before the value has stood
// unchanged for Rest. So acts come in the order of their tokens, whatever answers
// are lost or late, and each has taken effect and become known before the next turn
// begins.
package turn

import (
	"strings"
	"time"
)

const (
	// Window is how long a turn lasts from the moment it was asked for. It covers
	// a slow store's answer, the fences and the call of a promotion.
	Window = 1500 * time.Millisecond
	// Rest is how long nobody takes the next turn: a window, and a second for a
	// promotion that was called at its end to take effect.
	Rest = Window + time.Second
)

// overMark ends the value of a turn whose act took effect.
const overMark = " over"

// Over returns the value that replaces value once the turn's act took effect.
func Over(value string) string { return value + overMark }

// Turn is what an instance knows of the last turn of one group.
type Turn struct {
	revision uint64
	owner    string
	// over tells that nothing of the turn is still to take effect.
	over bool
	// seenAt is when the revision was first seen.
	seenAt time.Time
	known  bool
}

// Seen takes a read that was answered at now. The value begins with the owner's
// name; revision zero means that nobody ever had a turn.
func (t *Turn) Seen(now time.Time, revision uint64, value string) {
	if t.known && revision <= t.revision {
		return
	}
	t.owner, _, _ = strings.Cut(value, " ")
	t.over = strings.HasSuffix(value, overMark)
	t.revision, t.seenAt, t.known = revision, now, true
}

// Wait returns how long self must wait before it asks for the next turn. Its own
// last turn, or that of an earlier process of the same name, is over.
func (t *Turn) Wait(now time.Time, self string) time.Duration {
	if !t.known {
		return Rest
	}
	if t.revision == 0 || t.owner == self {
		return 0
	}
	return max(0, Rest-now.Sub(t.seenAt))
}

// IsSettled reports whether a read that was asked for at asOf and found revision
// shows that nothing of any turn taken by then is still to take effect.
func (t *Turn) IsSettled(revision uint64, asOf time.Time) bool {
	if !t.known || revision != t.revision {
		return false
	}
	return revision == 0 || t.over || !asOf.Before(t.seenAt.Add(Rest))
}

// Revision returns the revision that the next turn replaces.
func (t *Turn) Revision() uint64 { return t.revision }

// Remaining returns how much is left at now of a turn asked for at asked.
func Remaining(now, asked time.Time) time.Duration {
	return max(0, Window-now.Sub(asked))
}

// Proves reports whether a read of the value that found revision shows that nobody
// was given a turn since asOf, nor acted in an earlier one after it: the value was
// the same for a rest before asOf.
func (t *Turn) Proves(revision uint64, asOf time.Time) bool {
	return t.known && revision == t.revision && !asOf.Before(t.seenAt.Add(Rest))
}
