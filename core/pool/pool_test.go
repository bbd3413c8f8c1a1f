package pool

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestPool runs the scripts in testdata/pool. Each line is an event with its time in
// milliseconds; the output lists the actions that the pool returns.
func TestPool(t *testing.T) {
	datadriven.Walk(t, "testdata/pool", func(t *testing.T, path string) {
		start := time.Unix(1000, 0)
		var p *Pool
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "pool" {
				var maxConnections, instances int
				d.ScanArgs(t, "most", &maxConnections)
				d.ScanArgs(t, "live", &instances)
				p = New(maxConnections)
				p.SetInstances(start.Add(-2*defaultGrowDelay), instances)
				return fmt.Sprintf("limit %d\n", p.Limit(start))
			}
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				runPoolLine(t, p, start, line, &out)
			}
			return out.String()
		})
	})
}

func runPoolLine(t *testing.T, p *Pool, start time.Time, line string, out *strings.Builder) {
	f := strings.Fields(line)
	number := func(i int) uint64 {
		var n uint64
		if _, err := fmt.Sscan(f[i], &n); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		return n
	}
	now := start.Add(time.Duration(number(0)) * time.Millisecond)
	var actions []Action
	switch f[1] {
	case "want":
		actions = p.Maintain(now, int(number(2)))
	case "opened":
		actions = p.Opened(now, number(2))
	case "open-failed":
		p.OpenFailed(now, number(2), f[3] == "too-many")
	case "acquire":
		id, ok := p.Acquire(now, Work(f[2]))
		fmt.Fprintf(out, "%s acquire %d %t\n", f[0], id, ok)
	case "expect":
		p.SetDeadline(now, number(2), Work(f[3]), now.Add(time.Duration(number(4))*time.Millisecond))
	case "release":
		actions = p.Release(now, number(2), Outcome{Clean: f[3] != "unclean", NeedsReset: f[3] == "altered"})
	case "tested":
		actions = p.Tested(now, number(2), f[3] == "ok")
	case "members":
		actions = p.SetInstances(now, int(number(2)))
	case "states":
		for _, c := range p.connections {
			fmt.Fprintf(out, "%s %d %s\n", f[0], c.id, c.state)
		}
		fmt.Fprintf(out, "%s limit %d\n", f[0], p.Limit(now))
	default:
		t.Fatalf("unknown event %q", line)
	}
	for _, a := range actions {
		fmt.Fprintf(out, "%s %s %d\n", f[0], a.Kind, a.Connection)
	}
}

// TestPoolProperties checks that connections are opened only within the share and that
// only connections known to be clean are reused.
func TestPoolProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		p := New(rapid.IntRange(1, 60).Draw(t, "most"))
		p.SetInstances(now, rapid.IntRange(1, 6).Draw(t, "live"))
		dirty := map[uint64]bool{}
		pick := func(t *rapid.T) uint64 {
			ids := []uint64{p.lastID + 1}
			for _, c := range p.connections {
				ids = append(ids, c.id)
			}
			return rapid.SampledFrom(ids).Draw(t, "connection")
		}
		apply := func(before int, actions []Action) {
			for _, a := range actions {
				switch {
				case a.Kind == ActionClose:
					before--
				case a.Kind == ActionOpen && before >= p.Limit(now):
					t.Fatalf("opened above the limit of %d", p.Limit(now))
				case a.Kind == ActionOpen:
					before++
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"want": func(t *rapid.T) {
				before := p.Size()
				apply(before, p.Maintain(now, rapid.IntRange(0, 20).Draw(t, "waiting")))
				if p.Size() > max(before, p.Limit(now)) || p.Count(StateOpening) > maxOpening {
					t.Fatalf("%d connections, %d opening", p.Size(), p.Count(StateOpening))
				}
			},
			"opened": func(t *rapid.T) { p.Opened(now, pick(t)) },
			"failed": func(t *rapid.T) { p.OpenFailed(now, pick(t), rapid.Bool().Draw(t, "too many")) },
			"acquire": func(t *rapid.T) {
				id, ok := p.Acquire(now, rapid.SampledFrom([]Work{WorkRead, WorkWrite, WorkTransaction}).Draw(t, "work"))
				if ok && dirty[id] {
					t.Fatalf("connection %d was reused and is not clean", id)
				}
				if ok {
					dirty[id] = true
				}
			},
			"expect": func(t *rapid.T) { p.SetDeadline(now, pick(t), WorkRead, now.Add(100*time.Millisecond)) },
			"release": func(t *rapid.T) {
				id := pick(t)
				outcome := Outcome{Clean: rapid.Bool().Draw(t, "clean"), NeedsReset: rapid.Bool().Draw(t, "altered")}
				p.Release(now, id, outcome)
				if outcome.Clean && !outcome.NeedsReset {
					delete(dirty, id)
				}
			},
			"tested": func(t *rapid.T) {
				id := pick(t)
				reset := p.State(id) == StateResetting
				ok := rapid.Bool().Draw(t, "ok")
				p.Tested(now, id, ok)
				if ok && reset {
					delete(dirty, id)
				}
			},
			"members": func(t *rapid.T) { p.SetInstances(now, rapid.IntRange(1, 6).Draw(t, "live")) },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "time")) * time.Millisecond)
			},
		})
	})
}

// TestConnectionsNeverExceeded checks that the limits of all shares stay within what the
// endpoint accepts while instances start and end. It assumes that changes of up to two
// instances are at least the grow delay apart, that all instances see a change within
// half of that delay, and that the connections of an ended instance close within half
// of it too.
func TestConnectionsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxConnections := rapid.SampledFrom([]int{20, 60}).Draw(t, "most")
		now := time.Unix(1000, 0)
		var shares []*Share
		instances := rapid.IntRange(1, 5).Draw(t, "live")
		for range instances {
			s := NewShare(maxConnections, defaultGrowDelay)
			s.SetInstances(now, instances)
			shares = append(shares, s)
		}
		lingering := 0
		check := func() {
			total := lingering
			for _, s := range shares {
				total += s.Limit(now)
			}
			if total > maxConnections {
				t.Fatalf("%d instances may open %d of %d connections", len(shares), total, maxConnections)
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			now = now.Add(defaultGrowDelay + time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause"))*time.Millisecond)
			check()
			for range rapid.IntRange(0, 2).Draw(t, "leave") {
				if len(shares) > 1 {
					lingering += shares[0].Limit(now)
					shares = shares[1:]
				}
			}
			if lingering == 0 {
				for range min(rapid.IntRange(0, 2).Draw(t, "join"), 6-len(shares)) {
					shares = append(shares, NewShare(maxConnections, defaultGrowDelay))
				}
			}
			for _, i := range rapid.Permutation(indexes(len(shares))).Draw(t, "order") {
				shares[i].SetInstances(now, len(shares))
				check()
				now = now.Add(defaultGrowDelay / 2 / time.Duration(len(shares)))
				check()
			}
			lingering = 0
		}
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}
