package place

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"anviltack/core"
)

var epoch = time.Unix(1000, 0)

// fields parses "name=value" words.
func fields(words []string) map[string]string {
	m := map[string]string{}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		m[k] = v
	}
	return m
}

func milliseconds(s string) time.Duration {
	n, _ := strconv.Atoi(s)
	return time.Duration(n) * time.Millisecond
}

// candidate parses "name primary near visible=1.7 lag=20 load=1 busy=2 ...".
func candidate(line string) Candidate {
	words := strings.Fields(line)
	f := fields(words[1:])
	has := func(name string) bool { _, ok := f[name]; return ok }
	number := func(name string) int { n, _ := strconv.Atoi(f[name]); return n }
	visible, _ := core.ParsePoint(f["visible"])
	c := Candidate{
		Endpoint: core.Endpoint(words[0]), Primary: has("primary"), Local: has("near"), Down: has("down"), Leaving: has("leaving"),
		Visible: visible, Lag: milliseconds(f["lag"]), Load: number("load"), Running: number("busy"), ConnectionShare: 4, Slots: 3,
	}
	if has("behind") {
		c.LaggingUntil = epoch.Add(milliseconds(f["behind"]))
	}
	return c
}

// TestChoose runs the scripts in testdata; times are in milliseconds from now.
func TestChoose(t *testing.T) {
	var candidates []Candidate
	datadriven.RunTest(t, "testdata/choose", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "candidates" {
			candidates = nil
			for _, line := range strings.Split(d.Input, "\n") {
				candidates = append(candidates, candidate(line))
			}
			return ""
		}
		var point, at, tried string
		d.MaybeScanArgs(t, "point", &point)
		d.MaybeScanArgs(t, "at", &at)
		d.MaybeScanArgs(t, "tried", &tried)
		p, err := core.ParsePoint(point)
		if err != nil {
			t.Fatal(err)
		}
		required := Requirement{Point: p, ReachedAt: epoch.Add(milliseconds(at))}
		random := rand.New(rand.NewPCG(1, 2))
		e, ok := Choose(epoch, required, candidates, map[core.Endpoint]bool{core.Endpoint(tried): true}, random)
		if ok {
			return string(e) + "\n"
		}
		if wait, ok := CatchUpDelay(epoch, required, candidates); ok {
			return fmt.Sprintf("wait %v\n", wait)
		}
		return "none\n"
	})
}

// TestPart checks that one share of an endpoint's connections stays free and that each
// instance may open at least one.
func TestPart(t *testing.T) {
	is := is.New(t)
	rapid.Check(t, func(t *rapid.T) {
		maxConnections, live := rapid.IntRange(1, 300).Draw(t, "most"), rapid.IntRange(1, 2000).Draw(t, "live")
		share := ConnectionShare(maxConnections, live)
		if share < 1 || share > 1 && share*(live+1) > maxConnections {
			t.Fatalf("%d of %d for each of %d", share, maxConnections, live)
		}
	})
	is.Equal(ConnectionShare(22, 0), 11)
}

// TestMaxInFlight covers an overloaded endpoint: all instances together send it no more
// than about two statements per slot, since those that wait there can no longer be
// ordered.
func TestMaxInFlight(t *testing.T) {
	is := is.New(t)
	is.Equal(MaxInFlight(3, 5), 2)
	is.Equal(MaxInFlight(5, 4), 3)
	is.Equal(MaxInFlight(5, 1), 10)
	is.Equal(MaxInFlight(5, 37), 1)
	is.Equal(MaxInFlight(1, 0), 2)
}
