package proxy

import (
	"encoding/json"
	"io"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"anviltack/clock"
	"anviltack/core"
)

// TestStop checks that a stopping instance becomes not ready, ends idle sessions only
// after new ones had time to stop arriving, and lets an open transaction end.
func TestStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	idle, busy := sim.open("idle", "newest"), sim.open("busy", "newest")
	is.Equal(busy.send(Statement{ID: "1", Kind: KindBegin}).State, StateTransaction)
	is.NoErr(busy.send(Statement{ID: "2", Kind: KindWrite}).Err)
	is.True(sim.proxy.IsReady())
	close(sim.stop)
	sim.waitFor(func() bool { return !sim.proxy.IsReady() })
	is.NoErr(idle.send(Statement{ID: "3", Kind: KindRead}).Err) // still served
	receive(t, idle.ended, "end of the session")
	a := busy.send(Statement{ID: "4", Kind: KindCommit})
	is.NoErr(a.Err)
	is.Equal(a.Proof, "signed by p")
	receive(t, busy.ended, "end of the session")
	is.NoErr(receive(t, sim.done, "end of the instance"))
}

// TestStopEndsTransactions checks that a transaction that is still open after half of the
// grace period is ended and rolled back.
func TestStopEndsTransactions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	c := sim.open("a", "newest")
	c.send(Statement{ID: "1", Kind: KindBegin})
	is.NoErr(c.send(Statement{ID: "2", Kind: KindWrite}).Err)
	close(sim.stop)
	receive(t, c.ended, "end of the session")
	is.NoErr(receive(t, sim.done, "end of the instance"))
	sim.mu.Lock()
	defer sim.mu.Unlock()
	is.Equal(sim.fakes[0].last, core.Point{Term: 1, Position: 10})
}

// TestStopAwaitsClose guards against a process that exits while the close of its last session
// still tells the other side that nothing more was run, or that interrupts this close.
func TestStopAwaitsClose(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	c := sim.openRelayed("a", "newest")
	is.NoErr(c.send(Statement{ID: "1", Kind: KindRead}).Err)
	c.closeTime = 500 * time.Millisecond
	close(sim.stop)
	is.NoErr(receive(t, sim.done, "end of the instance"))
	is.True(c.isClosed.Load()) // the session was closed before the instance ended
	is.True(!c.interruptedClose.Load())
}

// TestStopAnswersRunningStatements guards against a process that exits, at the end of a planned
// stop, while a statement that was read has no answer: here a write that the primary leaves
// unanswered.
func TestStopAnswersRunningStatements(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.proxy.settings.GracePeriod = 2 * time.Second
	sim.startAndWait()
	sim.setField(sim.find("p"), "delay", "1m")
	c := sim.open("a", "newest")
	c.statements <- Statement{ID: "1", Kind: KindWrite}
	close(sim.stop)
	is.NoErr(receive(t, sim.done, "end of the instance"))
	is.True(c.isClosed.Load()) // the session was closed before the instance ended
	is.Equal(describe(c.lastAnswer()), "3001 idle")
	receive(t, c.ended, "end of the session")
	is.Equal(c.lastAnswer().Err, errDisconnected) // there is one answer
}

// TestStopAnswersRelayedStatements guards against a process that exits, at the end of a planned
// stop, while a statement that it relayed has no answer.
func TestStopAnswersRelayedStatements(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newNonHomeSimulation(t)
	sim.proxy.settings.GracePeriod = 2 * time.Second
	givenUp := make(chan struct{})
	sim.relay = func(Peer) (*Relay, error) {
		return &Relay{
			Run:    func() RelayEnd { <-givenUp; return RelayEnd{Cause: RelayStopped} },
			Stop:   func(bool) {}, // the statement still runs
			GiveUp: func() { close(givenUp) },
		}, nil
	}
	sim.startNonHome()
	c := sim.open("a", "bounded")
	sim.waitFor(func() bool { return sim.proxy.counts.relayed.Count() == 1 })
	close(sim.stop)
	is.NoErr(receive(t, sim.done, "end of the instance"))
	receive(t, givenUp, "answer to the statement")
	receive(t, c.ended, "end of the session")
}

// TestStopDuringBegin guards against cutting a transaction between two statements because its
// session was told to stop at the moment when its BEGIN had been read.
func TestStopDuringBegin(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	c := sim.open("a", "newest")
	c.onRead = func(Statement) { sim.proxy.endSessions(false, anySession) }
	is.Equal(describe(c.send(Statement{ID: "1", Kind: KindBegin})), "2004, come back later idle")
	receive(t, c.ended, "end of the session")
}

// TestStoppedSessionEndsAfterTransaction checks that a session that is told to stop during a
// transaction ends right after it.
func TestStoppedSessionEndsAfterTransaction(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	c := sim.open("a", "newest")
	is.NoErr(c.send(Statement{ID: "1", Kind: KindBegin}).Err)
	sim.proxy.endSessions(false, anySession)
	is.NoErr(c.send(Statement{ID: "2", Kind: KindWrite}).Err)
	is.Equal(describe(c.send(Statement{ID: "3", Kind: KindCommit})), "p at 1.11 map[]; signed by p idle")
	receive(t, c.ended, "end of the session")
}

// TestIdleEndsAreCounted guards against a transaction whose idle end is not counted because its
// session was told to stop after it, and checks that an interrupt is not counted as such an end.
func TestIdleEndsAreCounted(t *testing.T) {
	t.Parallel()
	for _, forced := range []bool{false, true} {
		t.Run(strconv.FormatBool(forced), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sim := newSimulation(t)
			sim.startAndWait()
			c := sim.open("a", "newest")
			is.NoErr(c.send(Statement{ID: "1", Kind: KindBegin}).Err)
			sim.proxy.endSessions(forced, anySession)
			receive(t, c.ended, "end of the session")
			want := int64(1)
			if forced {
				want = 0
			}
			is.Equal(sim.proxy.counts.idleEnds.Count(), want)
		})
	}
}

// TestIsolatedInstanceIsNotReady checks that the instance is not ready and ends idle
// sessions while no endpoint answers.
func TestIsolatedInstanceIsNotReady(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t)
	sim.startAndWait()
	c := sim.open("a", "newest")
	setUnreachable := func(on bool) {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		for _, f := range sim.fakes {
			f.unreachable = on
		}
	}
	setUnreachable(true)
	sim.waitFor(func() bool { return !sim.proxy.IsReady() })
	receive(t, c.ended, "end of the session")
	setUnreachable(false)
	sim.waitFor(sim.proxy.IsReady)
}

// TestIsolatedInstanceEndsRefusedSessions checks that an instance that reaches no group ends
// a session right after it refused a statement of it, so that the caller's retry reaches
// another instance, and does not queue the statement first.
func TestIsolatedInstanceEndsRefusedSessions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	for _, name := range []core.Endpoint{"p", "r", "s"} {
		sim.setField(sim.find(name), "dark", "yes")
	}
	sim.waitFor(func() bool { return !sim.proxy.IsReady() })
	for i, database := range []core.Database{"newest", "session"} {
		sentAt := time.Now()
		c := sim.open(string(database), database)
		refused := asError(c.send(Statement{ID: strconv.Itoa(i), Kind: KindWrite}).Err)
		is.Equal(refused.Code, core.CodeNoPrimary)
		is.True(refused.RetryAfter > 0)
		receive(t, c.ended, "end of the session")
		is.True(time.Since(sentAt) < maxReadinessDelay/2)
	}
}

// TestProbesEndSessionsSooner checks that idle sessions of an instance that is not ready end
// once the platform has seen it in two probes, and not only after the longest time that this
// may take.
func TestProbesEndSessionsSooner(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	idle := sim.open("idle", "newest")
	is.NoErr(idle.send(Statement{ID: "1", Kind: KindRead}).Err)
	is.True(sim.proxy.AnswerProbe())
	close(sim.stop)
	sim.waitFor(func() bool { return !sim.proxy.IsReady() })
	notReadyAt := time.Now()
	is.True(!sim.proxy.AnswerProbe())
	time.Sleep(2 * probeMargin)
	is.NoErr(idle.send(Statement{ID: "2", Kind: KindRead}).Err) // one probe may have been lost
	is.True(!sim.proxy.AnswerProbe())
	receive(t, idle.ended, "end of the session")
	is.True(time.Since(notReadyAt) < maxReadinessDelay-probeMargin)
}

// TestRefusalIsExplained checks that the log line of a rejected statement has the reason,
// the caller's id and the age of the last confirmation, and nothing of the statement's
// text.
func TestRefusalIsExplained(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	logger, hook := test.NewNullLogger()
	sim.proxy.log = logrus.NewEntry(logger)
	sim.startAndWait()
	c := sim.open("a", "newest")
	for _, f := range sim.fakes[1:] {
		sim.setField(f, "deaf", "yes")
	}
	is.True(c.send(Statement{ID: "5c0e", Kind: KindWrite, Text: "WRITE secret 1"}).Err != nil)
	var found *logrus.Entry
	for _, e := range hook.AllEntries() {
		if e.Data["event"] == int(core.EventRefused) {
			found = e
		}
	}
	is.True(found != nil)
	is.Equal(found.Data["id"], "5c0e")
	is.Equal(found.Data["code"], int(core.CodeOutcomeUnknown))
	is.Equal(found.Data["group"], core.Group("g"))
	for _, name := range []string{"reason", "version", "term", "confirmed_age_ms", "took_ms", "retry_ms"} {
		is.True(found.Data[name] != nil)
	}
	text, _ := found.String()
	is.True(!strings.Contains(text, "secret"))
}

// TestMetricsAndDump checks the output of counters, histograms and the state dump.
func TestMetricsAndDump(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	is.NoErr(sim.open("a", "newest").send(Statement{ID: "1", Kind: KindWrite}).Err)
	r := httptest.NewRecorder()
	sim.proxy.writeMetrics(r, nil)
	is.True(strings.Contains(r.Body.String(), "anviltack_statements 1\n"))
	is.True(strings.Contains(r.Body.String(), "anviltack_confirm_ns_count 1\n"))
	r = httptest.NewRecorder()
	sim.proxy.writeDump(r, nil)
	var dump struct {
		Instance string
		Groups   []groupDump
	}
	is.NoErr(json.Unmarshal(r.Body.Bytes(), &dump))
	is.Equal(dump.Instance, "i1")
	is.Equal(dump.Groups[0].Primary, core.Endpoint("p"))
	is.Equal(len(dump.Groups[0].Endpoints), 3)
}

// TestConnectionsStayWithinShare checks that no more connections are opened than the
// instance's share, however many statements arrive at once.
func TestConnectionsStayWithinShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	e := sim.proxy.placement.Load().groups["g"].state.Load().primary
	for range 50 {
		go func() { _, _ = e.acquire(connectionRequest{maxWait: time.Minute}) }()
	}
	sim.waitFor(func() bool { return e.dump().Waiting > 40 })
	d := e.dump()
	is.True(d.Open <= d.Limit+extraSampleConnections)
}

// TestRolledBackConnectionIsClean checks that a connection is reused only after its
// transaction was rolled back there.
func TestRolledBackConnectionIsClean(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	a, b := sim.open("a", "newest"), sim.open("b", "newest")
	for range 10 {
		a.send(Statement{ID: "1", Kind: KindBegin})
		is.NoErr(a.send(Statement{ID: "2", Kind: KindWrite}).Err)
		is.NoErr(a.send(Statement{ID: "3", Kind: KindRollback}).Err)
		answer := b.send(Statement{ID: "4", Kind: KindWrite})
		is.NoErr(answer.Err)
		is.Equal(answer.State, StateIdle)
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	is.Equal(sim.fakes[0].last.Position, uint64(20))
}

// TestLeavingInstanceIsNoHome checks that an instance that stops announces it once, and that
// one which announces it is no home instance any more, unless all do.
func TestLeavingInstanceIsNoHome(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newNonHomeSimulation(t)
	sim.startNonHome()
	homes := func() []Peer { return sim.proxy.placement.Load().homes["g"] }
	leaving := homes()[0].Name
	n := len(homes())
	list := slices.Clone(sim.peers)
	for k := range list {
		list[k].Leaving = list[k].Name == leaving
	}
	offer := func() {
		sim.proxy.control.post(t.Context(), func(time.Time) { sim.proxy.control.updatePeers(slices.Clone(list)) })
	}
	offer()
	sim.waitFor(func() bool {
		return !slices.ContainsFunc(homes(), func(p Peer) bool { return p.Name == leaving })
	})
	is.Equal(len(homes()), n)
	for k := range list {
		list[k].Leaving = true
	}
	offer()
	sim.waitFor(func() bool { return slices.ContainsFunc(homes(), func(p Peer) bool { return p.Name == leaving }) })
	close(sim.stop)
	is.NoErr(receive(t, sim.done, "end of the instance"))
	is.Equal(sim.left.Load(), int64(1))
}

// TestRecover checks that an instance needs no state of its own: one that replaces an
// instance that lost power reads what that one acknowledged, and writes, with only the
// directory of the endpoints, the configuration and the last promotion lease.
func TestRecover(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t)
	sim.startAndWait()
	before := sim.open("before", "newest")
	is.NoErr(before.send(Statement{ID: "1", Kind: KindWrite}).Err)
	sim.mu.Lock()
	sim.lease = VersionedValue{Revision: core.Revision{Number: 3}, Value: "i9 abc"} // not marked as released
	sim.peers = []Peer{{Name: "i2"}}
	sim.mu.Unlock()
	log := logrus.New()
	log.SetOutput(io.Discard)
	sim.proxy = New(Settings{Instance: "i2", DataCentre: "dc1", GracePeriod: 6 * time.Second}, sim.dependencies(clock.Now), log.WithField("instance", "i2"))
	sim.startAndWait()
	after := sim.open("after", "newest")
	a := after.send(Statement{ID: "2", Kind: KindRead})
	is.NoErr(a.Err)
	is.Equal(a.Rows, []string{"p at 1.11 map[]"})
	is.NoErr(after.send(Statement{ID: "3", Kind: KindWrite}).Err)
}
