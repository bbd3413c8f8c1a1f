package instance

import (
	"slices"
	"time"

	"anviltack/core"
	"anviltack/core/mark"
	"anviltack/core/route"
)

// resetTracker replaces the sample tracker when the set of members has changed.
func (g *groupControl) resetTracker() {
	names := make([]core.Endpoint, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	slices.Sort(names)
	if g.tracker == nil || !slices.Equal(names, g.trackedNames) {
		g.tracker = mark.NewTracker(names...)
		g.trackedNames = names
	}
}

// observeStatus updates the freshness and the lag estimates of the members from
// a status.
func (g *groupControl) observeStatus(m *memberControl, sentAt, now time.Time) {
	s := m.member.Status
	g.tracker.Observe(m.member.Name, sentAt, s)
	m.lagEstimator.Observe(s.Visible(), sentAt)
	if newest, ok := g.tracker.History().Newest(); ok {
		g.recordReached(newest.Point, now)
	}
	if isPrimary(s, g.term) {
		g.recordReached(s.Visible(), now)
	}
}

// recordReached records for every member's lag estimate that the group reached
// p.
func (g *groupControl) recordReached(p core.Point, now time.Time) {
	for _, m := range g.members {
		m.lagEstimator.RecordReached(p, now)
	}
}

// updateFreshness updates the freshness and the lag forecast that readers see of
// a member.
func (g *groupControl) updateFreshness(m *memberControl) {
	if m.member.SampledAt.IsZero() {
		return
	}
	m.member.FreshAsOf, _ = g.tracker.History().FreshAsOf(m.member.Status.Visible())
	m.member.Forecast = m.lagEstimator.Forecast()
}

// recordSampleFailure records that a status request to a member failed.
func (g *groupControl) recordSampleFailure(name core.Endpoint) {
	if m, ok := g.members[name]; ok {
		m.member.readStats.recordFailure()
	}
}

// candidate returns the member as a candidate for routing a read. It is suspect
// if it failed since its last sample or if that sample is older than
// sampleTimeout.
func (m *Member) candidate(requirement mark.Requirement, reachedAt, now time.Time, sampleTimeout time.Duration) route.Candidate {
	latency, failedAt := m.readStats.latencyAndFailure()
	expected, _ := m.Forecast.ExpectedAt(requirement, reachedAt, now)
	return route.Candidate{
		Endpoint:   m.Name,
		DataCentre: m.DataCentre,
		Role:       m.Status.Role,
		Visible:    m.Status.Visible(),
		SampledAt:  m.SampledAt,
		FreshAsOf:  m.FreshAsOf,
		ExpectedAt: expected,
		InFlight:   m.pool.inFlight(),
		Slots:      min(m.Slots, m.pool.connectionLimit()),
		Latency:    latency,
		Suspect:    !m.SampledAt.After(failedAt) || now.Sub(m.SampledAt) > sampleTimeout,
		Leaving:    m.Leaving,
	}
}

// isDurable reports whether what a read saw on m at p cannot be lost: p is
// confirmed, or m is a replica and still a member of a group of at most three,
// whose primary holds p too, so that two members, a majority, hold it.
func (s *GroupState) isDurable(m *Member, p core.Point) bool {
	const replicaAndPrimary = 2
	_, isMember := s.Members[m.Name]
	if isMember && m.Status.Role == core.RoleReplica && replicaAndPrimary > len(s.Members)/2 {
		return true
	}
	return s.Term == p.Term && s.Confirmed.Covers(p)
}
