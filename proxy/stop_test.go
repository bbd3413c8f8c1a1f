package proxy

import (
	"encoding/json"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"anviltack/clock"
	"anviltack/core"
)

// TestStop takes no new sessions, ends idle ones only once callers go elsewhere, and
// lets an open transaction end.
func TestStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(nil)
	w.run()
	idle, busy := w.open("idle", "newest"), w.open("busy", "newest")
	is.Equal(busy.send(Statement{ID: "1", Kind: KindBegin}).State, StateTransaction)
	is.NoErr(busy.send(Statement{ID: "2", Kind: KindWrite}).Err)
	is.True(w.proxy.IsReady())
	close(w.stop)
	w.until(func() bool { return !w.proxy.IsReady() })
	is.NoErr(idle.send(Statement{ID: "3", Kind: KindRead}).Err) // still served
	<-idle.ended
	a := busy.send(Statement{ID: "4", Kind: KindCommit})
	is.NoErr(a.Err)
	is.Equal(a.Proof, "signed by p")
	<-busy.ended
	is.NoErr(<-w.done)
}

// TestStopEndsTransactions ends a transaction that is still open after half of the
// grace period, and rolls it back.
func TestStopEndsTransactions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(nil)
	w.run()
	c := w.open("a", "newest")
	c.send(Statement{ID: "1", Kind: KindBegin})
	is.NoErr(c.send(Statement{ID: "2", Kind: KindWrite}).Err)
	close(w.stop)
	<-c.ended
	is.NoErr(<-w.done)
	w.mu.Lock()
	defer w.mu.Unlock()
	is.Equal(w.fakes[0].last, core.Point{Term: 1, Position: 10})
}

// TestIsolatedInstanceIsNotReady sends callers elsewhere while no endpoint answers.
func TestIsolatedInstanceIsNotReady(t *testing.T) {
	t.Parallel()
	w := newWorld(nil)
	w.run()
	c := w.open("a", "newest")
	dark := func(on bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, f := range w.fakes {
			f.dark = on
		}
	}
	dark(true)
	w.until(func() bool { return !w.proxy.IsReady() })
	<-c.ended
	dark(false)
	w.until(w.proxy.IsReady)
}

// TestRefusalIsExplained logs what decided a refusal, with the caller's id and the
// age of the evidence, and nothing of the statement's text.
func TestRefusalIsExplained(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(nil)
	logger, hook := test.NewNullLogger()
	w.proxy.log = logrus.NewEntry(logger)
	w.run()
	c := w.open("a", "newest")
	for _, f := range w.fakes[1:] {
		w.setField(f, "deaf", "yes")
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

// TestMetricsAndDump serves counters, histograms and the state of the process.
func TestMetricsAndDump(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(nil)
	w.run()
	is.NoErr(w.open("a", "newest").send(Statement{ID: "1", Kind: KindWrite}).Err)
	r := httptest.NewRecorder()
	w.proxy.writeMetrics(r, nil)
	is.True(strings.Contains(r.Body.String(), "anviltack_statements 1\n"))
	is.True(strings.Contains(r.Body.String(), "anviltack_confirm_ns_count 1\n"))
	r = httptest.NewRecorder()
	w.proxy.writeDump(r, nil)
	var dump struct {
		Instance string
		Groups   []groupDump
	}
	is.NoErr(json.Unmarshal(r.Body.Bytes(), &dump))
	is.Equal(dump.Instance, "i1")
	is.Equal(dump.Groups[0].Primary, core.Endpoint("p"))
	is.Equal(len(dump.Groups[0].Endpoints), 3)
}

// TestConnectionsStayWithinThePart opens no more connections than the instance's
// part, whatever comes at once.
func TestConnectionsStayWithinThePart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(nil)
	w.run()
	e := (*w.proxy.groups.Load())["g"].state.Load().primary
	for range 50 {
		go func() { _, _ = e.acquire(connectionRequest{maxWait: time.Minute}) }()
	}
	w.until(func() bool { return e.dump().Waiting > 40 })
	d := e.dump()
	is.True(d.Open <= d.Limit+extraSampleConnections)
}

// TestRolledBackConnectionIsClean gives a connection on only after its transaction
// was rolled back there.
func TestRolledBackConnectionIsClean(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(nil)
	w.run()
	a, b := w.open("a", "newest"), w.open("b", "newest")
	for range 10 {
		a.send(Statement{ID: "1", Kind: KindBegin})
		is.NoErr(a.send(Statement{ID: "2", Kind: KindWrite}).Err)
		is.NoErr(a.send(Statement{ID: "3", Kind: KindRollback}).Err)
		answer := b.send(Statement{ID: "4", Kind: KindWrite})
		is.NoErr(answer.Err)
		is.Equal(answer.State, StateIdle)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	is.Equal(w.fakes[0].last.Position, uint64(20))
}

// TestRecover serves from nothing kept: an instance that takes the place of one which
// lost power reads what that one acknowledged, and writes, while the endpoints'
// directory, the configuration and the last turn are all it has.
func TestRecover(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(nil)
	w.run()
	before := w.open("before", "newest")
	is.NoErr(before.send(Statement{ID: "1", Kind: KindWrite}).Err)
	w.mu.Lock()
	w.turn = Item{Revision: 3, Value: "i9 abc"} // nobody told whether it is over
	w.peers = []Peer{{Name: "i2"}}
	w.mu.Unlock()
	log := logrus.New()
	log.SetOutput(io.Discard)
	w.proxy = New(Settings{Instance: "i2", DataCentre: "dc1", Grace: 6 * time.Second}, w.seams(clock.Now), log.WithField("instance", "i2"))
	w.run()
	after := w.open("after", "newest")
	a := after.send(Statement{ID: "2", Kind: KindRead})
	is.NoErr(a.Err)
	is.Equal(a.Rows, []string{"p at 1.11 map[]"})
	is.NoErr(after.send(Statement{ID: "3", Kind: KindWrite}).Err)
}
