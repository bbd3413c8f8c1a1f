package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"anviltack/core"
)

// voterStatus returns the status of an endpoint in a term with its log up to position.
func voterStatus(role core.Role, term, position uint64) core.Status {
	return core.Status{Role: role, Term: term, Fence: term, Received: position, Applied: position, Last: core.Point{Term: term, Position: position}}
}

// TestUnlistedVotersCount checks that endpoints that are no longer listed count for the size of
// a majority, and that learners count for nothing.
func TestUnlistedVotersCount(t *testing.T) {
	is := is.New(t)
	m := New("g", "0", WithExternalTerms(), WithSparseSamples())
	m.SetVoters(Voters{Unlisted: 2})
	m.Configure(epoch, []Member{{Name: "a"}, {Name: "l", Learner: true}})
	m.Sampled(epoch, "a", epoch, voterStatus(core.RolePrimary, 1, 5))
	m.Sampled(epoch, "l", epoch, voterStatus(core.RoleReplica, 1, 5))
	is.True(!m.HasQuorum())
	is.Equal(m.Confirmed().Position, uint64(0))

	m.SetVoters(Voters{Unlisted: 1})
	m.Configure(epoch, []Member{{Name: "a"}, {Name: "l"}})
	is.True(m.HasQuorum())
	is.Equal(m.Confirmed().Position, uint64(5))
}

// TestVotersAreConfirmed checks that voters may change again only once a majority of them,
// sampled since the last change, holds the primary's log as it was then.
func TestVotersAreConfirmed(t *testing.T) {
	is := is.New(t)
	m := New("g", "0", WithExternalTerms(), WithSparseSamples())
	m.Configure(epoch, []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "l", Learner: true}})
	sample := func(at time.Time, name core.Endpoint, role core.Role, position uint64) {
		m.Sampled(at, name, at, voterStatus(role, 1, position))
	}
	sample(epoch, "a", core.RolePrimary, 5)
	sample(epoch, "b", core.RoleReplica, 5)
	is.True(m.AreVotersConfirmed())

	changed := epoch.Add(100 * time.Millisecond)
	m.SetVoters(Voters{Since: changed})
	is.True(!m.AreVotersConfirmed()) // nothing was sampled since
	sample(changed, "a", core.RolePrimary, 9)
	sample(changed, "b", core.RoleReplica, 8)
	sample(changed, "l", core.RoleReplica, 9)
	is.True(!m.AreVotersConfirmed()) // only the primary and a learner hold the barrier
	is.True(m.HasCaughtUp("l"))
	is.True(!m.HasCaughtUp("b"))
	sample(changed.Add(time.Millisecond), "a", core.RolePrimary, 12)
	sample(changed.Add(time.Millisecond), "b", core.RoleReplica, 9)
	is.True(m.AreVotersConfirmed()) // the barrier does not move with the log

	m.Sampled(changed.Add(time.Second), "c", changed.Add(time.Second), voterStatus(core.RolePrimary, 2, 12))
	is.True(!m.AreVotersConfirmed()) // another term
}

// TestFloor checks that nothing is confirmed in a term below the floor, and that the group is
// given a primary of a later term.
func TestFloor(t *testing.T) {
	is := is.New(t)
	m := New("g", "0", WithExternalTerms(), WithSparseSamples())
	m.SetVoters(Voters{Floor: 2})
	m.Configure(epoch, []Member{{Name: "z"}, {Name: "p", Learner: true}})
	var actions []Action
	for now := epoch; now.Before(epoch.Add(5 * time.Second)); now = now.Add(50 * time.Millisecond) {
		due := m.Sampled(now, "z", now, voterStatus(core.RoleReplica, 1, 3))
		for _, a := range append(due, m.Sampled(now, "p", now, voterStatus(core.RolePrimary, 1, 7))...) {
			if a.Kind == ActionFence {
				actions = append(actions, a)
			}
		}
		is.Equal(m.Confirmed().AsOf, time.Time{})
	}
	is.True(len(actions) > 0)
	is.Equal(actions[0], Action{Kind: ActionFence, Endpoint: "z", Term: 2, Reason: ReasonAbsent})
}
