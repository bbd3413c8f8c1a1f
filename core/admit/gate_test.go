package admit

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"anviltack/core"
)

// TestGate runs the scripts in testdata/gate: one event a line, at a time in
// milliseconds. The output is the gate's actions.
func TestGate(t *testing.T) {
	datadriven.Walk(t, "testdata/gate", func(t *testing.T, path string) {
		start := time.Unix(1000, 0)
		var g *Gate
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "gate" {
				var slots, queue int
				d.ScanArgs(t, "slots", &slots)
				d.ScanArgs(t, "queue", &queue)
				g = NewGate(FixedSlots(slots), rand.New(rand.NewPCG(1, 2)), WithQueueLimit(queue))
				return ""
			}
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				runGateLine(t, g, start, line, &out)
			}
			fmt.Fprintf(&out, "running %d waiting %d\n", g.Running(), g.Waiting())
			return out.String()
		})
	})
}

func runGateLine(t *testing.T, g *Gate, start time.Time, line string, out *strings.Builder) {
	var at, deadline int
	var id uint64
	var caller string
	atMS := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var actions []Action
	switch cmd, rest, _ := strings.Cut(line, " "); cmd {
	case "arrive":
		scan(t, rest, "%d id=%d caller=%s deadline=%d", &at, &id, &caller, &deadline)
		actions = g.Arrive(atMS(at), Request{ID: id, Caller: core.Caller(caller), Deadline: atMS(deadline)})
	case "finish":
		scan(t, rest, "%d id=%d", &at, &id)
		actions = g.Finish(atMS(at), id)
	case "cancel":
		scan(t, rest, "%d id=%d", &at, &id)
		fmt.Fprintf(out, "%d cancelled %t\n", at, g.Cancel(atMS(at), id))
	case "tick":
		scan(t, rest, "%d", &at)
		actions = g.Tick(atMS(at))
	default:
		t.Fatalf("no event %q", cmd)
	}
	for _, a := range actions {
		if a.Err == nil {
			fmt.Fprintf(out, "%d start %d\n", at, a.ID)
			continue
		}
		fmt.Fprintf(out, "%d refuse %d AT%d %s, come back in %s\n", at, a.ID, a.Err.Code, a.Err.Reason, a.Err.RetryAfter.Round(time.Millisecond))
	}
}

func scan(t *testing.T, text, format string, args ...any) {
	t.Helper()
	if _, err := fmt.Sscanf(text, format, args...); err != nil {
		t.Fatalf("%q: %v", text, err)
	}
}

// TestGateProperties checks that slots and queue are bounded, that every request is
// answered exactly once, and that nothing waits past its deadline.
func TestGateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 4).Draw(t, "slots")
		limit := rapid.IntRange(0, 8).Draw(t, "queue")
		g := NewGate(func(time.Time) int { return slots }, rand.New(rand.NewPCG(1, 2)), WithQueueLimit(limit))
		now := time.Unix(1000, 0)
		waiting := map[uint64]time.Time{}
		running := map[uint64]bool{}
		var last uint64
		apply := func(actions []Action) {
			for _, a := range actions {
				if _, ok := waiting[a.ID]; !ok {
					t.Fatalf("request %d was answered twice", a.ID)
				}
				delete(waiting, a.ID)
				if a.Err == nil {
					running[a.ID] = true
				} else if !a.Err.Code.IsNotRun() || a.Err.RetryAfter <= 0 {
					t.Fatalf("refusal %v without a retry time", a.Err)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				last++
				r := Request{
					ID:       last,
					Caller:   rapid.SampledFrom([]core.Caller{"a", "b", "c"}).Draw(t, "caller"),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "deadline")) * time.Millisecond),
				}
				waiting[last] = r.Deadline
				before := len(running)
				apply(g.Arrive(now, r))
				if len(running) > before && len(running) > slots {
					t.Fatalf("%d run on %d slots", len(running), slots)
				}
			},
			"finish": func(*rapid.T) {
				for id := range last + 1 {
					if running[id] {
						delete(running, id)
						apply(g.Finish(now, id))
						return
					}
				}
			},
			"cancel": func(*rapid.T) {
				for id := range last + 1 {
					if _, ok := waiting[id]; ok {
						if !g.Cancel(now, id) {
							t.Fatalf("request %d was lost", id)
						}
						delete(waiting, id)
						return
					}
				}
			},
			"slots": func(t *rapid.T) { slots = rapid.IntRange(0, 4).Draw(t, "slots") },
			"time": func(t *rapid.T) {
				now = now.Add(sweepPeriod + time.Duration(rapid.IntRange(0, 50).Draw(t, "time"))*time.Millisecond)
				apply(g.Tick(now))
				for id, deadline := range waiting {
					if !deadline.After(now) {
						t.Fatalf("request %d waited past its deadline", id)
					}
				}
			},
			"": func(t *rapid.T) {
				if g.Running() != len(running) || g.Waiting() != len(waiting) || g.Waiting() > limit {
					t.Fatalf("running %d of %d, waiting %d of %d", g.Running(), len(running), g.Waiting(), len(waiting))
				}
			},
		})
	})
}

// TestFairShare floods a gate with requests of one caller, with long statements and with
// short ones, and checks that another caller's steady requests hardly wait.
func TestFairShare(t *testing.T) {
	for _, c := range []struct {
		name    string
		service time.Duration
		burst   int
		limit   time.Duration
	}{
		{"long statements", 100 * time.Millisecond, 1, 120 * time.Millisecond},
		{"short statements", 2 * time.Millisecond, 5, 6 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &flood{
				gate:    NewGate(FixedSlots(3), rand.New(rand.NewPCG(1, 2)), WithQueueLimit(64)),
				service: c.service, now: time.Unix(1000, 0), arrived: map[uint64]time.Time{},
			}
			for ms := range 5000 {
				f.step(c.burst, ms%20 == 0)
			}
			if f.ran != 250 || f.refused != 0 {
				t.Fatalf("%d of 250 orders ran, %d were refused", f.ran, f.refused)
			}
			if f.longest > c.limit {
				t.Fatalf("an order waited %s", f.longest)
			}
			t.Logf("250 orders, the longest wait %s", f.longest)
		})
	}
}

// flood is a gate that the caller "analyst" floods. Requests with odd IDs are those of the
// caller "orders" and take 2 ms.
type flood struct {
	gate    *Gate
	service time.Duration
	now     time.Time
	last    uint64
	arrived map[uint64]time.Time
	// ends are the running requests with the times at which they end.
	ends         []floodEnd
	ran, refused int
	longest      time.Duration
}

type floodEnd struct {
	id uint64
	at time.Time
}

func (f *flood) step(burst int, order bool) {
	f.now = f.now.Add(time.Millisecond)
	for i := 0; i < len(f.ends); {
		e := f.ends[i]
		if e.at.After(f.now) {
			i++
			continue
		}
		f.ends = append(f.ends[:i], f.ends[i+1:]...)
		f.apply(f.gate.Finish(f.now, e.id))
	}
	f.apply(f.gate.Tick(f.now))
	for range burst {
		f.last += 2
		f.apply(f.gate.Arrive(f.now, Request{ID: f.last, Caller: "analyst", Deadline: f.now.Add(time.Second)}))
	}
	if order {
		f.arrived[f.last+1] = f.now
		f.apply(f.gate.Arrive(f.now, Request{ID: f.last + 1, Caller: "orders", Deadline: f.now.Add(time.Second)}))
	}
}

func (f *flood) apply(actions []Action) {
	for _, a := range actions {
		order := a.ID%2 == 1
		if a.Err != nil {
			if order {
				f.refused++
			}
			continue
		}
		if !order {
			f.ends = append(f.ends, floodEnd{a.ID, f.now.Add(f.service)})
			continue
		}
		f.ran++
		f.longest = max(f.longest, f.now.Sub(f.arrived[a.ID]))
		f.ends = append(f.ends, floodEnd{a.ID, f.now.Add(2 * time.Millisecond)})
	}
}
