package group

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"anviltack/core"
)

// load submits a write or a read at a random instance every few milliseconds.
func (sim *simulation) load() {
	sim.submit(sim.instances[sim.random.IntN(len(sim.instances))], sim.random.IntN(2) == 0 || sim.readsOnly)
	sim.after(time.Duration(2+sim.random.IntN(30))*time.Millisecond, sim.load)
}

// removeFaults removes every fault, runs the simulation for d and checks its final
// state.
func (sim *simulation) removeFaults(d time.Duration) {
	for _, e := range sim.endpoints {
		e.dead, e.unreachable = false, map[core.Endpoint]bool{}
		sim.resumeEndpoint(e)
	}
	for _, inst := range sim.instances {
		inst.lostRequests, inst.lostAnswers = map[core.Endpoint]bool{}, map[core.Endpoint]bool{}
		inst.pauseBeforePromoting = false
		inst.periods = DefaultPeriods()
		sim.resumeInstance(inst)
	}
	sim.noPeers = false
	sim.run(d)
	best := sim.endpoints[0]
	for _, e := range sim.endpoints {
		if e.primary && (e.term > best.term || !best.primary) {
			best = e
		}
	}
	if !best.primary {
		sim.violation("no primary after the faults ended")
	}
	if id := sim.missing(best.log, sim.now, math.MaxUint64); id != 0 {
		sim.violation("write %d lost by %s", id, best.name)
	}
}

func (sim *simulation) command(d *datadriven.TestData) string {
	sim.out.Reset()
	for _, line := range strings.Split(d.Input, "\n") {
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		sim.apply(f)
	}
	return sim.out.String() + strings.Join(append(sim.violations, ""), "\n")
}

func (sim *simulation) apply(f []string) {
	var e *simEndpoint
	var inst *simInstance
	if len(f) > 1 {
		e = sim.endpoint(core.Endpoint(f[1]))
		if i := slices.Index([]string{"0", "1", "2"}, f[1]); i >= 0 && i < len(sim.instances) {
			inst = sim.instances[i]
		}
	}
	switch f[0] {
	case "load":
		sim.load()
	case "leaving":
		sim.markLeaving(e.name)
	case "run":
		d, _ := time.ParseDuration(f[1])
		sim.run(d)
	case "kill":
		e.dead, e.primary = true, false
	case "restart":
		e.dead, e.primary = false, false
	case "freeze":
		e.suspended = true
	case "thaw":
		sim.resumeEndpoint(e)
	case "cut":
		for _, o := range sim.endpoints {
			e.unreachable[o.name] = true
		}
	case "pause":
		inst.paused = true
	case "resume":
		sim.resumeInstance(inst)
	case "deaf":
		inst.lostAnswers[core.Endpoint(f[2])] = true
	case "lost":
		inst.lostRequests[core.Endpoint(f[2])] = true
	case "same-rank":
		for _, q := range sim.instances {
			q.SetRank(0, len(sim.instances))
		}
		sim.noPeers = true
	case "reads-only":
		sim.readsOnly = true
	case "no-peers":
		sim.noPeers = true
	case "pause-before-promoting":
		inst.pauseBeforePromoting = true
	case "state":
		sim.state()
	case "heal":
		sim.removeFaults(3 * time.Second)
	default:
		sim.note("unknown command %s", f[0])
	}
}

func (sim *simulation) state() {
	for _, inst := range sim.instances {
		term, primary := inst.Primary()
		sim.note("instance %d: term %d primary %s closed %v", inst.number, term, primary, inst.Confirmed().Closed)
		if l := inst.LastFailover(); l.Term == term && !l.ResumedAt.IsZero() {
			sim.note("instance %d: %s, detect %v, ask %v, fence %v, promote %v, resume %v", inst.number, l.Reason,
				elapsed(l.SuspectedAt, l.BeganAt), elapsed(l.DecidedAt, l.SuspectedAt), elapsed(l.FencedAt, l.DecidedAt),
				elapsed(l.PromotedAt, l.FencedAt), elapsed(l.ResumedAt, l.PromotedAt))
		}
	}
}

func elapsed(to, from time.Time) time.Duration { return to.Sub(from).Round(time.Millisecond) }

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var sim *simulation
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "world" {
				n := 2
				if d.HasArg("instances") {
					d.ScanArgs(t, "instances", &n)
				}
				sim = newSimulation(1, n)
				sim.load()
			}
			return sim.command(d)
		})
	})
}

// TestPromotesByLast fences two endpoints, one of which already reports the newest term
// but has a longer log that is not repaired yet. Choosing by Status.Term and the length
// of the log would lose acknowledged entries.
func TestPromotesByLast(t *testing.T) {
	is := is.New(t)
	m := New("g", "i")
	now := epoch
	m.Configure(now, []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	a := core.Status{Role: core.RoleReplica, Fence: 3, Term: 3, Received: 2, Last: core.Point{Term: 2, Position: 9}}
	b := core.Status{Role: core.RolePrimary, Fence: 3, Term: 3, Received: 5, Last: core.Point{Term: 3, Position: 5}}
	c := core.Status{Role: core.RoleReplica, Fence: 3, Term: 3, Received: 4, Last: core.Point{Term: 3, Position: 4}}
	m.Sampled(now, "b", now, b)
	var fences []Action
	for len(fences) == 0 {
		now = now.Add(20 * time.Millisecond)
		m.Sampled(now, "a", now, a)
		m.Sampled(now, "c", now, c)
		for _, x := range m.SampleFailed(now, "b", now, OutcomeRefused) {
			if x.Kind == ActionFence {
				fences = append(fences, x)
			}
		}
	}
	a.Fence, c.Fence = 4, 4
	m.FenceDone(now, "a", 4, a, true)
	actions := m.FenceDone(now, "c", 4, c, true)
	is.Equal(actions[0], Action{Kind: ActionPromote, Endpoint: "c", Term: 4})
}

// TestConfirmsOwnTerm checks that an entry of an earlier term is confirmed only once a
// majority also holds an entry of the current term.
func TestConfirmsOwnTerm(t *testing.T) {
	is := is.New(t)
	m := New("g", "i")
	m.Configure(epoch, []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	a := core.Status{Role: core.RolePrimary, Fence: 2, Term: 2, Received: 5, Last: core.Point{Term: 2, Position: 5}}
	b := core.Status{Role: core.RoleReplica, Fence: 2, Term: 2, Received: 4, Last: core.Point{Term: 1, Position: 4}}
	m.Sampled(epoch, "a", epoch, a)
	m.Sampled(epoch, "b", epoch, b)
	is.Equal(m.Confirmed(), Confirmation{Term: 2})
	b.Received, b.Last = 5, a.Last
	later := epoch.Add(time.Millisecond)
	m.Sampled(later, "b", later, b)
	is.Equal(m.Confirmed(), Confirmation{Term: 2, Position: 5, AsOf: epoch})
}

// TestAvailability closes a group whose replicas refuse connections, and checks which
// writes are queued.
func TestAvailability(t *testing.T) {
	is := is.New(t)
	m := New("g", "i")
	m.Configure(epoch, []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	s := core.Status{Role: core.RolePrimary, Fence: 1, Term: 1, Received: 1, Last: core.Point{Term: 1, Position: 1}}
	m.Sampled(epoch, "a", epoch, s)
	s.Role = core.RoleReplica
	m.Sampled(epoch, "b", epoch, s)
	is.True(m.Availability().IsOpen())
	now := epoch.Add(10 * time.Millisecond)
	m.SampleFailed(now, "b", epoch, OutcomeRefused)
	a := m.Availability()
	is.Equal(a, Availability{Serving: true, Since: now})
	is.Equal(a.Admit(now, now.Add(2*time.Second), 0, 1), Admission{Wait: true})
	is.Equal(a.Admit(now, now.Add(2*time.Second), 1, 1), Admission{RetryAfter: expectedOutage})
	is.Equal(a.Admit(now, now.Add(time.Second), 0, 1), Admission{RetryAfter: expectedOutage})
	is.Equal(a.Admit(now.Add(expectedOutage), now.Add(expectedOutage+minRemaining), 0, 1), Admission{Wait: true})
	is.Equal(a.Admit(now.Add(longOutage+1), now.Add(time.Hour), 0, 1), Admission{RetryAfter: longOutageRetryAfter})
}

// TestVerdict checks the verdicts on statements that reached position 7 of term 2.
func TestVerdict(t *testing.T) {
	is := is.New(t)
	point := core.Point{Term: 2, Position: 7}
	later := epoch.Add(time.Second)
	confirmed := Confirmation{Term: 2, Position: 7, AsOf: later}
	is.Equal(confirmed.Verdict(later, 2, point), VerdictConfirmed)
	is.Equal(confirmed.Verdict(later.Add(1), 2, point), VerdictPending)
	is.Equal(confirmed.Verdict(later, 1, point), VerdictUnknown)
	is.Equal(confirmed.Verdict(later, 2, core.Point{}), VerdictUnknown)
	is.Equal(Confirmation{Term: 2, Position: 6, AsOf: later}.Verdict(later, 2, point), VerdictPending)
	is.Equal(Confirmation{Term: 3, Position: 9, AsOf: later}.Verdict(later, 2, point), VerdictUnknown)
	is.Equal(Confirmation{Term: 2, Position: 7, AsOf: later, Closed: true}.Verdict(later, 2, point), VerdictUnknown)
}

// injectFault injects a random fault.
func (sim *simulation) injectFault(r *rand.Rand) {
	e := sim.endpoints[r.IntN(3)]
	inst := sim.instances[r.IntN(len(sim.instances))]
	switch r.IntN(13) {
	case 0:
		e.dead, e.primary = true, false
	case 1, 2:
		e.dead = false
	case 3:
		e.suspended = true
	case 4, 5:
		sim.resumeEndpoint(e)
	case 6:
		e.unreachable[sim.endpoints[r.IntN(3)].name] = true
	case 7:
		clear(e.unreachable)
	case 8:
		inst.paused = true
	case 9:
		sim.resumeInstance(inst)
	case 10:
		inst.lostAnswers[e.name] = r.IntN(2) == 0
	case 11:
		inst.lostRequests[e.name] = r.IntN(2) == 0
	case 12:
		inst.pauseBeforePromoting = true
	}
}

// shortenPeriods makes the instances suspect the primary very early, since safety must
// not depend on any period.
func (sim *simulation) shortenPeriods() {
	for _, inst := range sim.instances {
		inst.periods.RefusedSpan, inst.periods.Silence, inst.periods.Stall = 0, 60*time.Millisecond, 80*time.Millisecond
		inst.periods.Absence, inst.periods.RankDelay, inst.periods.OpinionTimeout = 40*time.Millisecond, 0, 0
		inst.periods.PauseThreshold = time.Hour
	}
}

// TestSafety checks under random faults that no acknowledged write is lost, that no term
// is promoted twice, and that a primary serves once the faults have ended.
func TestSafety(t *testing.T) {
	promotions, acked, unknown := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 3).Draw(t, "instances"))
		sim.jitter = time.Duration(rapid.SampledFrom([]int{1, 5, 60}).Draw(t, "jitter")) * time.Millisecond
		sim.noPeers = rapid.Bool().Draw(t, "no peers")
		if rapid.Bool().Draw(t, "hasty") {
			sim.shortenPeriods()
		}
		sim.load()
		for range rapid.IntRange(5, 40).Draw(t, "faults") {
			sim.injectFault(sim.random)
			sim.run(time.Duration(sim.random.IntN(1200)) * time.Millisecond)
		}
		sim.removeFaults(8 * time.Second)
		promotions += len(sim.promotions)
		acked += len(sim.acked)
		unknown += sim.unknown
		if len(sim.violations) > 0 {
			t.Fatalf("%s\n%s", strings.Join(sim.violations, "\n"), sim.out.String())
		}
	})
	t.Logf("%d promotions, %d acknowledged, %d unknown", promotions, acked, unknown)
}

// injectHarmlessFault injects a fault that must not lead to a promotion.
func (sim *simulation) injectHarmlessFault() {
	e := sim.endpoints[sim.random.IntN(3)]
	inst := sim.instances[sim.random.IntN(len(sim.instances))]
	d := time.Duration(sim.random.Int64N(int64(499 * time.Millisecond)))
	switch sim.random.IntN(4) {
	case 0:
		e.suspended = true
		sim.run(d)
		sim.resumeEndpoint(e)
	case 1:
		inst.paused = true
		sim.run(d * 3)
		sim.resumeInstance(inst)
	case 2:
		inst.lostAnswers[e.name] = true
		sim.run(d * 4)
		delete(inst.lostAnswers, e.name)
	case 3:
		inst.lostRequests[e.name] = true
		sim.run(d * 4)
		delete(inst.lostRequests, e.name)
	}
	sim.run(time.Duration(sim.random.IntN(300)) * time.Millisecond)
}

// TestNoFalseFailover checks that short suspensions and the loss of one instance's
// requests or answers promote nothing.
func TestNoFalseFailover(t *testing.T) {
	const trials, parts = 1000, 4
	for part := range uint64(parts) {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < trials; seed += parts {
				sim := newSimulation(seed, 2+int(seed%3)/2)
				sim.jitter = time.Duration(1+seed%40) * time.Millisecond
				sim.load()
				sim.run(200 * time.Millisecond)
				for range 3 {
					sim.injectHarmlessFault()
				}
				if len(sim.promotions) > 0 || len(sim.violations) > 0 {
					t.Errorf("seed %d: %s %v", seed, sim.out.String(), sim.violations)
				}
			}
		})
	}
}

// TestGap bounds the time from a fault of the primary to the first confirmation in the
// new term.
func TestGap(t *testing.T) {
	for _, c := range []struct {
		name  string
		apply string
	}{{"killed", "kill a"}, {"frozen", "freeze a"}, {"half cut", "cut a"}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var gaps, detects, asks, fences, promotes, resumes []time.Duration
			for seed := range uint64(50) {
				sim := newSimulation(seed, 3)
				sim.load()
				sim.run(500*time.Millisecond + time.Duration(seed)*time.Millisecond)
				sim.apply(strings.Fields(c.apply))
				start := sim.now
				sim.run(4 * time.Second)
				var l Failover
				for _, inst := range sim.instances {
					if inst.LastFailover().Term > l.Term {
						l = inst.LastFailover()
					}
				}
				is.True(!l.ResumedAt.IsZero())
				is.Equal(len(sim.violations), 0)
				gaps = append(gaps, l.ResumedAt.Sub(start))
				detects = append(detects, l.SuspectedAt.Sub(start))
				asks = append(asks, l.DecidedAt.Sub(l.SuspectedAt))
				fences = append(fences, l.FencedAt.Sub(l.DecidedAt))
				promotes = append(promotes, l.PromotedAt.Sub(l.FencedAt))
				resumes = append(resumes, l.ResumedAt.Sub(l.PromotedAt))
			}
			t.Log("gap", quantiles(gaps), "detect", quantiles(detects), "ask", quantiles(asks),
				"fence", quantiles(fences), "promote", quantiles(promotes), "resume", quantiles(resumes))
			limit := 2 * time.Second
			if c.name != "killed" {
				limit = 3 * time.Second
			}
			is.True(gaps[len(gaps)*99/100] <= limit)
			is.True(gaps[len(gaps)/2] <= limit/2)
		})
	}
}

func quantiles(d []time.Duration) string {
	slices.Sort(d)
	return fmt.Sprintf("p50 %v p99 %v", d[len(d)/2].Round(time.Millisecond), d[len(d)*99/100].Round(time.Millisecond))
}
