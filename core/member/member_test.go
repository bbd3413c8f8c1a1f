package member

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"anviltack/core"
)

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7432)
}

func TestMembership(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		now := time.Unix(0, 0)
		var table *Table
		datadriven.RunTest(t, path, func(t *testing.T, c *datadriven.TestData) string {
			var name, dc, uptime string
			var version uint64
			c.MaybeScanArgs(t, "name", &name)
			c.MaybeScanArgs(t, "dc", &dc)
			c.MaybeScanArgs(t, "version", &version)
			c.MaybeScanArgs(t, "uptime", &uptime)
			up, _ := time.ParseDuration(uptime)
			switch c.Cmd {
			case "new":
				table = NewTable(Member{Instance: core.Instance(name), DataCentre: core.DataCentre(dc), Address: address(1)})
			case "list":
				table.ApplyList(now, readList(c.Input))
			case "beat":
				table.RecordHeartbeat(now, Heartbeat{
					Instance: core.Instance(name), DataCentre: core.DataCentre(dc), Version: version, Uptime: up,
					Draining: c.HasArg("draining"), Address: address(int(name[0])),
				})
			case "after":
				d, _ := time.ParseDuration(c.CmdArgs[0].Key)
				now = now.Add(d)
			case "drain":
				table.Drain()
			}
			return show(table, now)
		})
	})
}

func readList(input string) []Listing {
	var list []Listing
	for line := range strings.Lines(input) {
		f := strings.Fields(line)
		var n int
		_, _ = fmt.Sscan(f[2], &n)
		list = append(list, Listing{
			Instance: core.Instance(f[0]), DataCentre: core.DataCentre(f[1]), Address: address(n), Leaving: len(f) > 3,
		})
	}
	return list
}

func show(t *Table, now time.Time) string {
	var b strings.Builder
	for _, m := range t.Members(now) {
		fmt.Fprintf(&b, "%s %s %s version=%d listed=%v\n", m.Instance, m.DataCentre, m.State, m.Version, m.Listed)
	}
	fmt.Fprintf(&b, "rank for %s: %d\n", DutyWatch, t.Rank(now, DutyWatch))
	return b.String()
}

func fleet(n, centres int, now time.Time, options ...Option) *Table {
	t := NewTable(Member{Instance: "i0", DataCentre: "dc0", Address: address(0)}, options...)
	for i := 1; i < n; i++ {
		t.RecordHeartbeat(now, Heartbeat{
			Instance: core.Instance(fmt.Sprint("i", i)), DataCentre: core.DataCentre(fmt.Sprint("dc", i%centres)),
			Address: address(i), Uptime: time.Second,
		})
	}
	return t
}

// TestDutiesMove checks that an instance that leaves moves only its own duties,
// and that only live instances hold any.
func TestDutiesMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		now := time.Unix(100, 0)
		n := rapid.IntRange(2, 40).Draw(t, "instances")
		table := fleet(n, 2, now)
		lost := core.Instance(fmt.Sprint("i", rapid.IntRange(1, n-1).Draw(t, "lost")))
		before := make(map[string]core.Instance)
		for d := range 50 {
			duty := fmt.Sprint("duty", d)
			before[duty] = table.Holders(now, "dc0", duty, 1)[0].Instance
		}
		table.RecordHeartbeat(now, Heartbeat{Instance: lost, DataCentre: table.records[lost].DataCentre, Uptime: time.Minute, Draining: true})
		for duty, holder := range before {
			after := table.Holders(now, "dc0", duty, 1)[0].Instance
			is.True(after != lost)
			is.True(holder == lost || holder == after)
		}
		for _, m := range table.HomeInstances(now, "g", 0) {
			is.True(m.Instance != lost)
		}
	})
}

// TestSpreadReachesAll checks that the broadcast tree reaches each instance of the
// data centre exactly once, and that its depth is logarithmic in the fan-out.
func TestSpreadReachesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		now := time.Unix(100, 0)
		n := rapid.IntRange(1, 300).Draw(t, "instances")
		fan := rapid.IntRange(2, 6).Draw(t, "fan-out")
		table := fleet(n, 3, now, WithFanOut(fan))
		got := make(map[netip.AddrPort]int)
		depth := 0
		for level := table.BroadcastTree(now, 7); len(level) > 0; depth++ {
			is.True(depth > 0 || len(level) <= fan)
			var next []Subtree
			for _, subtree := range level {
				got[subtree.Root]++
				next = append(next, Subtrees(subtree.Receivers, fan)...)
			}
			level = next
		}
		for _, m := range table.Live(now, "dc0") {
			want := 1
			if m.Instance == "i0" {
				want = 0
			}
			is.Equal(got[m.Address], want)
		}
		others := len(table.Live(now, "dc0")) - 1
		is.Equal(len(got), others)
		is.True(float64(depth) <= math.Log(float64(others+1))/math.Log(float64(fan))+1)
	})
}

// TestRing checks that in a large fleet the number of neighbours is bounded, that
// neighbours are mutual, and that an instance that is no neighbour is live by the
// platform's list alone.
func TestRing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	table := fleet(200, 4, now)
	neighbours := table.Neighbours(now)
	is.True(len(neighbours) >= 2*defaultNeighboursPerSide)
	is.True(len(neighbours) < 2*defaultNeighboursPerSide+watchersPerDataCentre+standbyWatchers)
	var list []Listing
	for _, m := range table.Members(now) {
		list = append(list, Listing{Instance: m.Instance, DataCentre: m.DataCentre, Address: m.Address})
	}
	later := now.Add(time.Minute)
	table.ApplyList(later, list)
	for _, m := range table.Members(later) {
		isNeighbour := slices.ContainsFunc(neighbours, func(o Member) bool { return o.Instance == m.Instance })
		is.Equal(m.State == StateLive, !isNeighbour)
	}
	for _, m := range neighbours {
		other := NewTable(Member{Instance: m.Instance, DataCentre: m.DataCentre})
		other.ApplyList(later, list)
		is.True(slices.ContainsFunc(other.Neighbours(later), func(o Member) bool { return o.Instance == "i0" }))
	}
}
