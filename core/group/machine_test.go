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
func (w *world) load() {
	w.submit(w.instances[w.random.IntN(len(w.instances))], w.random.IntN(2) == 0 || w.readsOnly)
	w.after(time.Duration(2+w.random.IntN(30))*time.Millisecond, w.load)
}

// heal removes every fault, lets the group settle and checks its final state.
func (w *world) heal(d time.Duration) {
	for _, f := range w.endpoints {
		f.dead, f.cut = false, map[core.Endpoint]bool{}
		w.thaw(f)
	}
	for _, p := range w.instances {
		p.lost, p.deaf = map[core.Endpoint]bool{}, map[core.Endpoint]bool{}
		p.stops = false
		p.periods = DefaultPeriods()
		w.resume(p)
	}
	w.noPeers = false
	w.run(d)
	best := w.endpoints[0]
	for _, f := range w.endpoints {
		if f.primary && (f.term > best.term || !best.primary) {
			best = f
		}
	}
	if !best.primary {
		w.fault("no primary after the faults ended")
	}
	if id := w.missing(best.log, w.now, math.MaxUint64); id != 0 {
		w.fault("write %d lost by %s", id, best.name)
	}
}

func (w *world) command(d *datadriven.TestData) string {
	w.out.Reset()
	for _, line := range strings.Split(d.Input, "\n") {
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		w.apply(f)
	}
	return w.out.String() + strings.Join(append(w.faults, ""), "\n")
}

func (w *world) apply(f []string) {
	var e *fakeEndpoint
	var p *fakeInstance
	if len(f) > 1 {
		e = w.endpoint(core.Endpoint(f[1]))
		if i := slices.Index([]string{"0", "1", "2"}, f[1]); i >= 0 && i < len(w.instances) {
			p = w.instances[i]
		}
	}
	switch f[0] {
	case "load":
		w.load()
	case "leaving":
		w.leave(e.name)
	case "run":
		d, _ := time.ParseDuration(f[1])
		w.run(d)
	case "kill":
		e.dead, e.primary = true, false
	case "restart":
		e.dead, e.primary = false, false
	case "freeze":
		e.frozen = true
	case "thaw":
		w.thaw(e)
	case "cut":
		for _, o := range w.endpoints {
			e.cut[o.name] = true
		}
	case "pause":
		p.paused = true
	case "resume":
		w.resume(p)
	case "deaf":
		p.deaf[core.Endpoint(f[2])] = true
	case "lost":
		p.lost[core.Endpoint(f[2])] = true
	case "same-rank":
		for _, q := range w.instances {
			q.SetRank(0, len(w.instances))
		}
		w.noPeers = true
	case "reads-only":
		w.readsOnly = true
	case "no-peers":
		w.noPeers = true
	case "pause-before-promoting":
		p.stops = true
	case "state":
		w.state()
	case "heal":
		w.heal(3 * time.Second)
	default:
		w.note("unknown command %s", f[0])
	}
}

func (w *world) state() {
	for _, p := range w.instances {
		term, primary := p.Primary()
		w.note("instance %d: term %d primary %s closed %v", p.number, term, primary, p.Confirmed().Closed)
		if l := p.Last(); l.Term == term && !l.ResumedAt.IsZero() {
			w.note("instance %d: %s, detect %v, ask %v, fence %v, promote %v, resume %v", p.number, l.Reason,
				parts(l.SuspectedAt, l.BeganAt), parts(l.DecidedAt, l.SuspectedAt), parts(l.FencedAt, l.DecidedAt),
				parts(l.PromotedAt, l.FencedAt), parts(l.ResumedAt, l.PromotedAt))
		}
	}
}

func parts(to, from time.Time) time.Duration { return to.Sub(from).Round(time.Millisecond) }

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var w *world
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "world" {
				n := 2
				if d.HasArg("instances") {
					d.ScanArgs(t, "instances", &n)
				}
				w = newWorld(1, n)
				w.load()
			}
			return w.command(d)
		})
	})
}

// TestPromotesByLast fences two endpoints, one of which went over to the newest
// term with a longer log that was not repaired yet.
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
		for _, x := range m.SampleFailed(now, "b", now, FailureRefused) {
			if x.Kind == ActionFence {
				fences = append(fences, x)
			}
		}
	}
	a.Fence, c.Fence = 4, 4
	m.Fenced(now, "a", 4, a, true)
	actions := m.Fenced(now, "c", 4, c, true)
	is.Equal(actions[0], Action{Kind: ActionPromote, Endpoint: "c", Term: 4})
}

// TestConfirmsOwnTerm keeps an entry of an earlier term unconfirmed until an
// entry of the present one is held with it.
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

// TestAvailability closes a group whose replicas refuse, and decides which writes
// wait for it.
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
	m.SampleFailed(now, "b", epoch, FailureRefused)
	a := m.Availability()
	is.Equal(a, Availability{Serving: true, Since: now})
	is.Equal(a.Admit(now, now.Add(2*time.Second), 0, 1), Admission{Wait: true})
	is.Equal(a.Admit(now, now.Add(2*time.Second), 1, 1), Admission{RetryAfter: expectedGap})
	is.Equal(a.Admit(now, now.Add(time.Second), 0, 1), Admission{RetryAfter: expectedGap})
	is.Equal(a.Admit(now.Add(expectedGap), now.Add(expectedGap+minRemaining), 0, 1), Admission{Wait: true})
	is.Equal(a.Admit(now.Add(hopelessGap+1), now.Add(time.Hour), 0, 1), Admission{RetryAfter: hopelessRetry})
}

// TestVerdict judges statements that reached position 7 of term 2.
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

// disturb applies a random fault.
func (w *world) disturb(r *rand.Rand) {
	f := w.endpoints[r.IntN(3)]
	p := w.instances[r.IntN(len(w.instances))]
	switch r.IntN(13) {
	case 0:
		f.dead, f.primary = true, false
	case 1, 2:
		f.dead = false
	case 3:
		f.frozen = true
	case 4, 5:
		w.thaw(f)
	case 6:
		f.cut[w.endpoints[r.IntN(3)].name] = true
	case 7:
		clear(f.cut)
	case 8:
		p.paused = true
	case 9:
		w.resume(p)
	case 10:
		p.deaf[f.name] = r.IntN(2) == 0
	case 11:
		p.lost[f.name] = r.IntN(2) == 0
	case 12:
		p.stops = true
	}
}

// hasten makes the instances suspect the primary at the least sign, since
// safety must not rest on any period.
func (w *world) hasten() {
	for _, p := range w.instances {
		p.periods.RefusedSpan, p.periods.Silence, p.periods.Stall = 0, 60*time.Millisecond, 80*time.Millisecond
		p.periods.Absence, p.periods.RankDelay, p.periods.OpinionTimeout = 40*time.Millisecond, 0, 0
		p.periods.Pause = time.Hour
	}
}

func TestSafety(t *testing.T) {
	promotions, acked, unknown := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 3).Draw(t, "instances"))
		w.jitter = time.Duration(rapid.SampledFrom([]int{1, 5, 60}).Draw(t, "jitter")) * time.Millisecond
		w.noPeers = rapid.Bool().Draw(t, "no peers")
		if rapid.Bool().Draw(t, "hasty") {
			w.hasten()
		}
		w.load()
		for range rapid.IntRange(5, 40).Draw(t, "faults") {
			w.disturb(w.random)
			w.run(time.Duration(w.random.IntN(1200)) * time.Millisecond)
		}
		w.heal(8 * time.Second)
		promotions += len(w.promotions)
		acked += len(w.acked)
		unknown += w.unknown
		if len(w.faults) > 0 {
			t.Fatalf("%s\n%s", strings.Join(w.faults, "\n"), w.out.String())
		}
	})
	t.Logf("%d promotions, %d acknowledged, %d unknown", promotions, acked, unknown)
}

// harmless applies one fault that must not lead to a promotion.
func (w *world) harmless() {
	f := w.endpoints[w.random.IntN(3)]
	p := w.instances[w.random.IntN(len(w.instances))]
	d := time.Duration(w.random.Int64N(int64(499 * time.Millisecond)))
	switch w.random.IntN(4) {
	case 0:
		f.frozen = true
		w.run(d)
		w.thaw(f)
	case 1:
		p.paused = true
		w.run(d * 3)
		w.resume(p)
	case 2:
		p.deaf[f.name] = true
		w.run(d * 4)
		delete(p.deaf, f.name)
	case 3:
		p.lost[f.name] = true
		w.run(d * 4)
		delete(p.lost, f.name)
	}
	w.run(time.Duration(w.random.IntN(300)) * time.Millisecond)
}

func TestNoFalseFailover(t *testing.T) {
	const trials, parts = 1000, 4
	for part := range uint64(parts) {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < trials; seed += parts {
				w := newWorld(seed, 2+int(seed%3)/2)
				w.jitter = time.Duration(1+seed%40) * time.Millisecond
				w.load()
				w.run(200 * time.Millisecond)
				for range 3 {
					w.harmless()
				}
				if len(w.promotions) > 0 || len(w.faults) > 0 {
					t.Errorf("seed %d: %s %v", seed, w.out.String(), w.faults)
				}
			}
		})
	}
}

func TestGap(t *testing.T) {
	for _, c := range []struct {
		name  string
		apply string
	}{{"killed", "kill a"}, {"frozen", "freeze a"}, {"half cut", "cut a"}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var gaps, detects, asks, fences, promotes, resumes []time.Duration
			for seed := range uint64(50) {
				w := newWorld(seed, 3)
				w.load()
				w.run(500*time.Millisecond + time.Duration(seed)*time.Millisecond)
				w.apply(strings.Fields(c.apply))
				start := w.now
				w.run(4 * time.Second)
				var l Failover
				for _, p := range w.instances {
					if p.Last().Term > l.Term {
						l = p.Last()
					}
				}
				is.True(!l.ResumedAt.IsZero())
				is.Equal(len(w.faults), 0)
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
