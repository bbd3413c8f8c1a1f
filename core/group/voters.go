package group

import (
	"time"

	"anviltack/core"
)

// Voters describes the group's voters beyond its members.
type Voters struct {
	// Unlisted is the number of voters that are not among the members. They cannot be
	// reached, and count for the size of a majority.
	Unlisted int
	// Floor is the lowest term whose confirmations count.
	Floor uint64
	// Since is when this instance learned of the present voters.
	Since time.Time
}

// SetVoters replaces what is known of the voters; Configure says which members are voters. By
// default all members are, and nothing else is.
func (m *Machine) SetVoters(v Voters) {
	if v == m.voters {
		return
	}
	m.voters = v
	m.attempt = nil
}

// majority returns the number of voters that make a majority.
func (m *Machine) majority() int { return (m.listedVoters()+m.voters.Unlisted)/2 + 1 }

// listedVoters returns the number of members that are voters.
func (m *Machine) listedVoters() int { return m.countVoters(func(*member) bool { return true }) }

// countVoters returns the number of members that are voters and meet a condition.
func (m *Machine) countVoters(ok func(e *member) bool) int {
	n := 0
	for _, e := range m.members {
		if !e.Learner && ok(e) {
			n++
		}
	}
	return n
}

// noteLogEnd handles the end of the primary's log in the present term as of sentAt. The first
// one since the voters changed is the barrier.
func (m *Machine) noteLogEnd(sentAt time.Time, position uint64) {
	if !m.hasBarrier() && !sentAt.Before(m.voters.Since) {
		m.barrier, m.barrierAt = core.Point{Term: m.term, Position: position}, sentAt
	}
}

// hasBarrier reports whether the barrier is of the present term and the present voters.
func (m *Machine) hasBarrier() bool {
	return m.term > 0 && m.barrier.Term == m.term && !m.barrierAt.Before(m.voters.Since)
}

// holdsBarrier reports whether a member has the log of the present term up to the barrier.
func (m *Machine) holdsBarrier(e *member) bool {
	return e.known && e.status.Term == m.term && !e.sentAt.Before(m.voters.Since) && e.positionIn(m.term) >= m.barrier.Position
}

// AreVotersConfirmed reports whether a majority of the present voters holds everything that
// was acknowledged before they became the voters: only then may they change again.
func (m *Machine) AreVotersConfirmed() bool {
	if !m.hasBarrier() || m.confirmed.Closed {
		return false
	}
	return m.countVoters(func(e *member) bool { return m.isCounted(e) && m.holdsBarrier(e) }) >= m.majority()
}

// HasCaughtUp reports whether an endpoint holds everything that was acknowledged before the
// present voters became the voters, and receives the log of the present term.
func (m *Machine) HasCaughtUp(endpoint core.Endpoint) bool {
	e := m.member(endpoint)
	return e != nil && m.hasBarrier() && e.failures == 0 && m.holdsBarrier(e)
}
