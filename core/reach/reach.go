// Package reach decides from the answers of endpoints whether an instance is partitioned
// from everything outside its data centre.
package reach

import (
	"time"

	"anviltack/core"
)

// Endpoint is what an instance knows of one endpoint's answers.
type Endpoint struct {
	DataCentre core.DataCentre
	// AnsweredAt is when the endpoint last answered anything; zero if it never did.
	AnsweredAt time.Time
	// UnansweredSince is when the oldest request without an answer was sent; zero if the
	// endpoint has answered something since.
	UnansweredSince time.Time
}

const (
	// MinSilence is how long a request may be unanswered before it is evidence of a
	// partition. Several endpoints that are merely slow answer something within it.
	MinSilence = 120 * time.Millisecond
	// minSilent is how many endpoints must leave requests unanswered: a single one may
	// have failed.
	minSilent = 2
	// minSilentDataCentres is in how many data centres they must be, unless there are
	// fewer: one may have lost its power.
	minSilentDataCentres = 2
)

// IsPartitioned reports whether nothing outside the data centre answers. Each group alone
// would find out later: its endpoints fail one after the other, and a single silent endpoint
// proves nothing.
func IsPartitioned(now time.Time, own core.DataCentre, endpoints []Endpoint) bool {
	silent := 0
	all, silentIn := map[core.DataCentre]bool{}, map[core.DataCentre]bool{}
	for _, e := range endpoints {
		if e.DataCentre == own {
			continue
		}
		if now.Sub(e.AnsweredAt) < MinSilence {
			return false
		}
		all[e.DataCentre] = true
		if !e.UnansweredSince.IsZero() && now.Sub(e.UnansweredSince) >= MinSilence {
			silent++
			silentIn[e.DataCentre] = true
		}
	}
	return silent >= minSilent && len(silentIn) >= min(minSilentDataCentres, len(all))
}
