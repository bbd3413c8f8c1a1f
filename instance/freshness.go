package instance

import (
	"slices"
	"time"

	"anviltack/core"
	"anviltack/core/mark"
	"anviltack/core/route"
)

// track starts the samples of the group anew when its members are others.
func (g *groupControl) track() {
	names := make([]core.Endpoint, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	slices.Sort(names)
	if g.tracker == nil || !slices.Equal(names, g.tracked) {
		g.tracker = mark.NewTracker(names...)
		g.tracked = names
	}
}

// observe learns from a status how fresh the members are and how they follow.
func (g *groupControl) observe(m *memberControl, sentAt, now time.Time) {
	s := m.member.Status
	g.tracker.Observe(m.member.Name, sentAt, s)
	m.pace.Observe(s.Visible(), sentAt)
	if newest, ok := g.tracker.History().Newest(); ok {
		g.expect(newest.Point, now)
	}
	if isPrimary(s, g.term) {
		g.expect(s.Visible(), now)
	}
}

// expect tells that the group reached p.
func (g *groupControl) expect(p core.Point, now time.Time) {
	for _, m := range g.members {
		m.pace.RecordReached(p, now)
	}
}

// refresh brings what readers see of a member up to date.
func (g *groupControl) refresh(m *memberControl) {
	if m.member.SampledAt.IsZero() {
		return
	}
	m.member.FreshAsOf, _ = g.tracker.History().FreshAsOf(m.member.Status.Visible())
	m.member.Outlook = m.pace.Forecast()
}

// missed notes that a member did not answer a status request.
func (g *groupControl) missed(name core.Endpoint) {
	if m, ok := g.members[name]; ok {
		m.member.load.recordFailure()
	}
}

// candidate is the member as a choice sees it.
func (m *Member) candidate(n mark.Requirement, reached, now time.Time, patience time.Duration) route.Candidate {
	latency, failed := m.load.latencyAndFailure()
	expected, _ := m.Outlook.ExpectedAt(n, reached, now)
	return route.Candidate{
		Endpoint:   m.Name,
		DataCentre: m.DataCentre,
		Role:       m.Status.Role,
		Visible:    m.Status.Visible(),
		SampledAt:  m.SampledAt,
		FreshAsOf:  m.FreshAsOf,
		ExpectedAt: expected,
		InFlight:   m.links.inFlight(),
		Slots:      min(m.Slots, m.links.connectionLimit()),
		Latency:    latency,
		Suspect:    !m.SampledAt.After(failed) || now.Sub(m.SampledAt) > patience,
		Leaving:    m.Leaving,
	}
}

// isSettled reports whether what a read saw on m at p cannot be lost. A replica
// of three that shows p proves that its primary holds it too, and two are a
// majority.
func (s *GroupState) isSettled(m *Member, p core.Point) bool {
	const pair = 2
	if m.Status.Role == core.RoleReplica && pair > len(s.Members)/2 {
		return true
	}
	return s.Term == p.Term && s.Confirmed.Covers(p)
}
