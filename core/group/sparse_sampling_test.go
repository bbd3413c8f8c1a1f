package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"anviltack/core"
)

// sparseMachine is a machine with external terms and sparse samples, with p as the
// primary of term 1 and the replicas r and s.
type sparseMachine struct {
	*Machine
	now time.Time
}

func newSparseMachine() *sparseMachine {
	p := DefaultPeriods()
	p.Sample, p.SampleTimeout, p.Busy = time.Second, 200*time.Millisecond, 10*time.Millisecond
	p.Silence, p.MaxAnswerAge, p.ResponseTimeout = 400*time.Millisecond, 3*time.Second, 200*time.Millisecond
	p.PauseThreshold, p.MaxTick, p.Stall = time.Hour, 100*time.Millisecond, time.Second
	m := &sparseMachine{Machine: New("g", "i", WithPeriods(p), WithExternalTerms(), WithSparseSamples()), now: epoch}
	m.Configure(epoch, []Member{{Name: "p"}, {Name: "r", SameDataCentre: true}, {Name: "s"}})
	m.report("p", core.RolePrimary, 1, 1, 10)
	m.report("r", core.RoleReplica, 1, 1, 10)
	m.report("s", core.RoleReplica, 1, 1, 10)
	return m
}

// report delivers a status that was requested now and whose last entry is at position in
// entryTerm.
func (m *sparseMachine) report(name core.Endpoint, role core.Role, term, entryTerm, position uint64) []Action {
	s := core.Status{Role: role, Term: term, Fence: term, Received: position, Applied: position, Last: core.Point{Term: entryTerm, Position: position}}
	return m.Sampled(m.now, name, m.now, s)
}

func (m *sparseMachine) advance(d time.Duration) []Action {
	m.now = m.now.Add(d)
	return m.Tick(m.now)
}

func sampleKinds(actions []Action) map[core.Endpoint]ActionKind {
	kinds := map[core.Endpoint]ActionKind{}
	for _, a := range actions {
		kinds[a.Endpoint] = a.Kind
	}
	return kinds
}

// TestSparseSamples checks that in each period the primary gets a primary check and one
// replica is sampled, in rotation.
func TestSparseSamples(t *testing.T) {
	is := is.New(t)
	m := newSparseMachine()
	// The primary was unknown when it was first sampled, so it is checked early.
	is.Equal(sampleKinds(m.advance(300*time.Millisecond)), map[core.Endpoint]ActionKind{"p": ActionCheckPrimary})
	m.PrimaryCheckPassed(m.now, "p", m.now, core.Point{Term: 1, Position: 10})
	is.Equal(len(m.advance(600*time.Millisecond)), 0)
	is.Equal(sampleKinds(m.advance(500*time.Millisecond)), map[core.Endpoint]ActionKind{"p": ActionCheckPrimary, "r": ActionSample})
	m.PrimaryCheckPassed(m.now, "p", m.now, core.Point{Term: 1, Position: 10})
	m.report("r", core.RoleReplica, 1, 1, 10)
	is.Equal(sampleKinds(m.advance(1100*time.Millisecond)), map[core.Endpoint]ActionKind{"p": ActionCheckPrimary, "s": ActionSample})
}

// TestWriteSamplesOneReplica confirms a write with its own answer and one replica's
// status.
func TestWriteSamplesOneReplica(t *testing.T) {
	is := is.New(t)
	m := newSparseMachine()
	m.advance(10 * time.Millisecond)
	m.PrimaryCheckPassed(m.now, "p", m.now, core.Point{Term: 1, Position: 11})
	kinds := sampleKinds(m.AddDemand(m.now, Demand{Point: core.Point{Term: 1, Position: 11}}))
	is.Equal(kinds, map[core.Endpoint]ActionKind{"r": ActionSample})
	m.report("r", core.RoleReplica, 1, 1, 11)
	is.Equal(m.Confirmed().Position, uint64(11))
}

// TestStaleReplicaDelaysNoConfirmation checks that the other replica is sampled as well
// when the one in the instance's data centre answers but receives nothing from the
// primary.
func TestStaleReplicaDelaysNoConfirmation(t *testing.T) {
	is := is.New(t)
	m := newSparseMachine()
	m.advance(10 * time.Millisecond)
	m.PrimaryCheckPassed(m.now, "p", m.now, core.Point{Term: 1, Position: 11})
	m.AddDemand(m.now, Demand{Point: core.Point{Term: 1, Position: 11}})
	m.report("r", core.RoleReplica, 1, 1, 10)
	is.Equal(sampleKinds(m.advance(sampleAllAfter))["s"], ActionSample)
	m.report("s", core.RoleReplica, 1, 1, 11)
	is.Equal(m.Confirmed().Position, uint64(11))
	is.True(m.Availability().IsOpen())
}

// TestLeadWithoutDemandIsNoStall guards against a failover because a primary check reports
// a position ahead of replicas that were not sampled.
func TestLeadWithoutDemandIsNoStall(t *testing.T) {
	is := is.New(t)
	m := newSparseMachine()
	m.advance(10 * time.Millisecond)
	m.PrimaryCheckPassed(m.now, "p", m.now, core.Point{Term: 1, Position: 99})
	for range 9 {
		m.advance(100 * time.Millisecond)
	}
	is.True(!m.IsRunningFailover())
	is.True(m.Availability().IsOpen())
}

// TestUnconfirmedDemandIsStall checks that a group fails over when no majority confirms a
// demanded position.
func TestUnconfirmedDemandIsStall(t *testing.T) {
	is := is.New(t)
	m := newSparseMachine()
	m.advance(10 * time.Millisecond)
	m.PrimaryCheckPassed(m.now, "p", m.now, core.Point{Term: 1, Position: 11})
	m.AddDemand(m.now, Demand{Point: core.Point{Term: 1, Position: 11}})
	for range 11 {
		m.report("r", core.RoleReplica, 1, 1, 10)
		m.report("s", core.RoleReplica, 1, 1, 10)
		m.PrimaryCheckPassed(m.now, "p", m.now, core.Point{})
		m.advance(100 * time.Millisecond)
	}
	is.True(m.IsRunningFailover())
	is.True(!m.Availability().IsOpen())
}

// TestFullReplicasAreNoStall guards against treating a primary as partitioned from its
// replicas when these only accept no connection for a sample.
func TestFullReplicasAreNoStall(t *testing.T) {
	is := is.New(t)
	m := newSparseMachine()
	m.advance(10 * time.Millisecond)
	demanded := core.Point{Term: 1, Position: 11}
	for range 25 {
		m.advance(100 * time.Millisecond)
		m.PrimaryCheckPassed(m.now, "p", m.now, demanded)
		m.SampleFailed(m.now, "r", m.now, OutcomeAnswered)
		m.SampleFailed(m.now, "s", m.now, OutcomeAnswered)
		m.AddDemand(m.now, Demand{Point: demanded})
		is.True(!m.IsRunningFailover())
	}
	// A replica that reports a lower position and one that does not answer do show a
	// stall.
	m.report("r", core.RoleReplica, 1, 1, 10)
	m.SampleFailed(m.now, "s", m.now, OutcomeTimeout)
	is.True(m.stalledOnDemand(m.now) > time.Second)
}

// TestFullPrimaryIsNotAbsent guards against a failover by an instance that just started
// and has only the replicas' status, because the primary accepts no connection.
func TestFullPrimaryIsNotAbsent(t *testing.T) {
	is := is.New(t)
	m := newSparseMachine()
	m.Machine = New("g", "i", WithPeriods(m.periods), WithExternalTerms(), WithSparseSamples())
	m.Configure(m.now, []Member{{Name: "p"}, {Name: "r"}, {Name: "s"}})
	for range 50 {
		m.report("r", core.RoleReplica, 1, 1, 10)
		m.report("s", core.RoleReplica, 1, 1, 10)
		m.SampleFailed(m.now, "p", m.now, OutcomeAnswered)
		m.advance(100 * time.Millisecond)
		is.True(!m.IsRunningFailover())
	}
	m.SampleFailed(m.now, "p", m.now, OutcomeTimeout)
	attempted := false
	for range 50 {
		m.report("r", core.RoleReplica, 1, 1, 10)
		m.report("s", core.RoleReplica, 1, 1, 10)
		m.advance(100 * time.Millisecond)
		attempted = attempted || m.IsRunningFailover()
	}
	is.True(attempted) // a primary that does not answer counts as absent
}

// TestExternalTermWithoutEntry checks that a group serves in a new external term before
// its first entry, and that entries of the old term do not count in it.
func TestExternalTermWithoutEntry(t *testing.T) {
	is := is.New(t)
	m := newSparseMachine()
	m.advance(10 * time.Millisecond)
	m.report("r", core.RolePrimary, 2, 1, 10)
	m.report("s", core.RoleReplica, 2, 1, 12)
	is.True(m.Availability().IsOpen())
	is.Equal(m.Confirmed(), Confirmation{Term: 2, AsOf: m.now})
	m.PrimaryCheckPassed(m.now, "r", m.now, core.Point{Term: 2, Position: 11})
	is.Equal(m.Confirmed().Position, uint64(0)) // position 12 of term 1 at s does not confirm position 11 of term 2
}

// TestFencesAtTheNextTerm checks that with external terms every attempt fences at the
// term after the group's, and that a lifted fence is removed from the state.
func TestFencesAtTheNextTerm(t *testing.T) {
	is := is.New(t)
	m := newSparseMachine()
	fence := func() uint64 {
		for range 20 {
			m.report("r", core.RoleReplica, 1, 1, 10)
			m.report("s", core.RoleReplica, 1, 1, 10)
			m.SampleFailed(m.now, "p", m.now, OutcomeTimeout)
			for _, a := range m.advance(50 * time.Millisecond) {
				if a.Kind == ActionFence {
					return a.Term
				}
			}
		}
		return 0
	}
	is.Equal(fence(), uint64(2))
	m.PostponeFailover(m.now, 100*time.Millisecond)
	is.True(!m.IsRunningFailover())
	is.Equal(fence(), uint64(2))
	m.PostponeFailover(m.now, time.Second)
	m.report("p", core.RolePrimary, 1, 1, 10)
	m.report("r", core.RoleReplica, 1, 1, 10)
	is.True(!m.Confirmed().Closed)
}

// TestFullEndpointIsNotSilent guards against a failover after a power loss, when live
// endpoints accept no more connections for a while.
func TestFullEndpointIsNotSilent(t *testing.T) {
	is := is.New(t)
	m := newSparseMachine()
	for range 30 {
		m.report("r", core.RoleReplica, 1, 1, 10)
		m.report("s", core.RoleReplica, 1, 1, 10)
		m.SampleFailed(m.now, "p", m.now, OutcomeAnswered)
		m.advance(100 * time.Millisecond)
	}
	is.True(!m.IsRunningFailover())
	is.True(m.HasQuorum())
	m.AddDemand(m.now, Demand{AsOf: m.now})
	m.SampleFailed(m.now, "p", m.now, OutcomeAnswered)
	is.Equal(len(m.Tick(m.now)), 0) // it is not sampled again at once
}

// TestPrimaryWithoutQuorum checks the detection of a primary without quorum, and that a
// proof from another source counts for it only in its own term.
func TestPrimaryWithoutQuorum(t *testing.T) {
	is := is.New(t)
	m := newSparseMachine()
	is.True(!m.IsPrimaryWithoutQuorum())
	m.advance(10 * time.Millisecond)
	m.SampleFailed(m.now, "r", m.now, OutcomeTimeout)
	m.SampleFailed(m.now, "s", m.now, OutcomeRefused)
	is.True(m.IsPrimaryWithoutQuorum())
	is.True(!m.HasQuorum())
	m.AddDemand(m.now, Demand{AsOf: m.now})
	is.True(m.IsAsOfDemanded())
	m.PrimaryUnreplaced(m.now, 2, m.now)
	is.Equal(m.Confirmed().AsOf, epoch)
	m.PrimaryUnreplaced(m.now, 1, m.now)
	is.Equal(m.Confirmed().AsOf, m.now)
	is.True(!m.IsAsOfDemanded())
}

// TestDeposedPrimaryRejectsCheck checks that an endpoint that rejects the primary check
// no longer serves and is sampled.
func TestDeposedPrimaryRejectsCheck(t *testing.T) {
	is := is.New(t)
	m := newSparseMachine()
	m.advance(10 * time.Millisecond)
	actions := m.PrimaryCheckRejected(m.now, "p", m.now)
	is.Equal(sampleKinds(actions)["p"], ActionSample)
	is.True(!m.Availability().Serving)
}

// TestWaitTimeout checks that a queued write gives up after twice the expected failover
// time, well before its own deadline.
func TestWaitTimeout(t *testing.T) {
	is := is.New(t)
	a := Availability{Serving: true, Since: epoch}
	late := epoch.Add(time.Minute)
	is.Equal(a.WaitTimeout(epoch, late), 2*expectedOutage)
	is.Equal(a.WaitTimeout(epoch.Add(expectedOutage), late), 2*minRemaining)
	is.Equal(a.WaitTimeout(epoch, epoch.Add(time.Millisecond)), time.Millisecond)
}

// TestSilenceCountsFromStatement is the load of a primary that falls silent under callers'
// statements: its silence counts from the first of them.
func TestSilenceCountsFromStatement(t *testing.T) {
	is := is.New(t)
	m := newSparseMachine()
	m.advance(300 * time.Millisecond)
	m.PrimaryCheckPassed(m.now, "p", m.now, core.Point{Term: 1, Position: 10})
	m.now = m.now.Add(10 * time.Millisecond)
	sentAt := m.now
	m.now = m.now.Add(120 * time.Millisecond)
	actions := m.RequestOverdue(m.now, "p", sentAt)
	is.Equal(actions[0].Endpoint, core.Endpoint("p"))
	is.True(m.Availability().Serving)
	m.advance(90 * time.Millisecond)
	is.True(!m.Availability().Serving)
	m.advance(180 * time.Millisecond)
	m.report("r", core.RoleReplica, 1, 1, 10)
	m.report("s", core.RoleReplica, 1, 1, 10)
	is.True(m.suspectedSince.IsZero())
	m.advance(11 * time.Millisecond)
	is.True(!m.suspectedSince.IsZero())
}

// TestOverdueStatementAlone checks that a long statement at an endpoint that answers a sample
// is no failure.
func TestOverdueStatementAlone(t *testing.T) {
	is := is.New(t)
	m := newSparseMachine()
	m.advance(300 * time.Millisecond)
	m.PrimaryCheckPassed(m.now, "p", m.now, core.Point{Term: 1, Position: 10})
	sentAt := m.now.Add(time.Millisecond)
	m.now = m.now.Add(121 * time.Millisecond)
	m.RequestOverdue(m.now, "p", sentAt)
	m.PrimaryCheckPassed(m.now.Add(10*time.Millisecond), "p", m.now, core.Point{Term: 1, Position: 10})
	m.advance(800 * time.Millisecond)
	is.True(m.Availability().Serving)
	is.True(m.suspectedSince.IsZero())
}

// TestStalledWithoutMajority is the load of a group in which a leaving endpoint has ended but
// is still listed while another one is unreachable: writes stall, but fences could not reach a
// majority and would only keep the replica that is left from following the primary.
func TestStalledWithoutMajority(t *testing.T) {
	is := is.New(t)
	m := newSparseMachine()
	m.Configure(m.now, []Member{{Name: "l", Leaving: true}, {Name: "p"}, {Name: "r"}, {Name: "s"}})
	m.report("l", core.RoleReplica, 1, 1, 10)
	m.advance(10 * time.Millisecond)
	m.PrimaryCheckPassed(m.now, "p", m.now, core.Point{Term: 1, Position: 11})
	m.AddDemand(m.now, Demand{Point: core.Point{Term: 1, Position: 11}})
	for range 20 {
		m.now = m.now.Add(100 * time.Millisecond)
		m.PrimaryCheckPassed(m.now, "p", m.now, core.Point{Term: 1, Position: 11})
		m.report("r", core.RoleReplica, 1, 1, 11)
		m.SampleFailed(m.now, "s", m.now, OutcomeTimeout)
		m.SampleFailed(m.now, "l", m.now, OutcomeTimeout)
		m.AddDemand(m.now, Demand{Point: core.Point{Term: 1, Position: 11}})
		is.True(!m.IsRunningFailover())
	}
	m.Configure(m.now, []Member{{Name: "p"}, {Name: "r"}, {Name: "s"}})
	is.Equal(m.Confirmed().Position, uint64(11))
	is.True(m.Availability().IsOpen())
}
