package home

import "time"

const (
	// sessionGrace is how long an instance goes on serving idle sessions of a group whose homes
	// are other instances: the list may change back, and lists differ for a moment.
	sessionGrace = 500 * time.Millisecond
	// minRetention is how long it stays in such a group after the last use: joining it again
	// takes new connections and samples.
	minRetention = 4 * time.Second
)

// NonHome is what an instance does in a group of which it is no home: it was until lately,
// or no home accepted a session.
type NonHome struct {
	// Since is since when the instance has been no home.
	Since time.Time
	// FallbackUntil is until when it serves sessions because no home accepted one.
	FallbackUntil time.Time
	// Uses counts the statements that run and the open transactions, and UsedAt is when one
	// last began or ended.
	Uses   int
	UsedAt time.Time
}

// EndsSessions reports whether idle sessions have to end, so that their callers' next ones
// are relayed to a home.
func (n NonHome) EndsSessions(now time.Time) bool {
	return now.Sub(n.Since) >= sessionGrace && now.Sub(n.FallbackUntil) >= sessionGrace
}

// MayLeave reports whether the instance leaves the group.
func (n NonHome) MayLeave(now time.Time) bool {
	return n.Uses == 0 && now.Sub(n.UsedAt) >= minRetention
}
