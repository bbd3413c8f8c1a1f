package pool

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestPool runs the scripts in testdata/pool: one event a line at a time in
// milliseconds; the output is what the pool wants done.
func TestPool(t *testing.T) {
	datadriven.Walk(t, "testdata/pool", func(t *testing.T, path string) {
		start := time.Unix(1000, 0)
		var p *Pool
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "pool" {
				var most, live int
				d.ScanArgs(t, "most", &most)
				d.ScanArgs(t, "live", &live)
				p = New(most)
				p.SetMembers(start.Add(-2*defaultSettle), live)
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
		actions = p.Want(now, int(number(2)))
	case "opened":
		actions = p.Opened(now, number(2))
	case "open-failed":
		p.OpenFailed(now, number(2), f[3] == "too-many")
	case "acquire":
		id, ok := p.Acquire(now, Work(f[2]))
		fmt.Fprintf(out, "%s acquire %d %t\n", f[0], id, ok)
	case "expect":
		p.Expect(now, number(2), Work(f[3]), now.Add(time.Duration(number(4))*time.Millisecond))
	case "release":
		actions = p.Release(now, number(2), Ending{Clean: f[3] != "unclean", Altered: f[3] == "altered"})
	case "tested":
		actions = p.Tested(now, number(2), f[3] == "ok")
	case "members":
		actions = p.SetMembers(now, int(number(2)))
	case "states":
		for _, c := range p.connections {
			fmt.Fprintf(out, "%s %d %s\n", f[0], c.id, c.state)
		}
		fmt.Fprintf(out, "%s limit %d\n", f[0], p.Limit(now))
	default:
		t.Fatalf("no event %q", line)
	}
	for _, a := range actions {
		fmt.Fprintf(out, "%s %s %d\n", f[0], a.Do, a.Connection)
	}
}

// TestPoolProperties checks that the share is never exceeded by openings and
// that only connections known to be clean are reused.
func TestPoolProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		p := New(rapid.IntRange(1, 60).Draw(t, "most"))
		p.SetMembers(now, rapid.IntRange(1, 6).Draw(t, "live"))
		dirty := map[uint64]bool{}
		pick := func(t *rapid.T) uint64 {
			ids := []uint64{p.last + 1}
			for _, c := range p.connections {
				ids = append(ids, c.id)
			}
			return rapid.SampledFrom(ids).Draw(t, "connection")
		}
		apply := func(before int, actions []Action) {
			for _, a := range actions {
				switch {
				case a.Do == DoClose:
					before--
				case a.Do == DoOpen && before >= p.Limit(now):
					t.Fatalf("opened above the limit of %d", p.Limit(now))
				case a.Do == DoOpen:
					before++
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"want": func(t *rapid.T) {
				before := p.Open()
				apply(before, p.Want(now, rapid.IntRange(0, 20).Draw(t, "waiting")))
				if p.Open() > max(before, p.Limit(now)) || p.Count(StateOpening) > maxOpening {
					t.Fatalf("%d connections, %d opening", p.Open(), p.Count(StateOpening))
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
			"expect": func(t *rapid.T) { p.Expect(now, pick(t), WorkRead, now.Add(100*time.Millisecond)) },
			"release": func(t *rapid.T) {
				id := pick(t)
				e := Ending{Clean: rapid.Bool().Draw(t, "clean"), Altered: rapid.Bool().Draw(t, "altered")}
				p.Release(now, id, e)
				if e.Clean && !e.Altered {
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
			"members": func(t *rapid.T) { p.SetMembers(now, rapid.IntRange(1, 6).Draw(t, "live")) },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "time")) * time.Millisecond)
			},
		})
	})
}

// TestConnectionsNeverExceeded is the invariant of the shares: whatever instances
// come and go, their limits stay within what the endpoint accepts. It assumes
// that changes of up to two instances come no closer than the settling time, that
// all learn of a change within half of that time, and that the connections of
// an instance that is gone end within half of it too.
func TestConnectionsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.SampledFrom([]int{20, 60}).Draw(t, "most")
		now := time.Unix(1000, 0)
		var shares []*Share
		live := rapid.IntRange(1, 5).Draw(t, "live")
		for range live {
			s := NewShare(most, defaultSettle)
			s.SetMembers(now, live)
			shares = append(shares, s)
		}
		gone := 0
		check := func() {
			total := gone
			for _, s := range shares {
				total += s.Limit(now)
			}
			if total > most {
				t.Fatalf("%d instances may open %d of %d connections", len(shares), total, most)
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			now = now.Add(defaultSettle + time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause"))*time.Millisecond)
			check()
			for range rapid.IntRange(0, 2).Draw(t, "leave") {
				if len(shares) > 1 {
					gone += shares[0].Limit(now)
					shares = shares[1:]
				}
			}
			if gone == 0 {
				for range min(rapid.IntRange(0, 2).Draw(t, "join"), 6-len(shares)) {
					shares = append(shares, NewShare(most, defaultSettle))
				}
			}
			for _, i := range rapid.Permutation(indexes(len(shares))).Draw(t, "order") {
				shares[i].SetMembers(now, len(shares))
				check()
				now = now.Add(defaultSettle / 2 / time.Duration(len(shares)))
				check()
			}
			gone = 0
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
