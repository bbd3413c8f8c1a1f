package route

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"anviltack/core"
	"anviltack/core/mark"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func scanInt(t *testing.T, d *datadriven.TestData, key string, otherwise int) int {
	t.Helper()
	n := otherwise
	if d.HasArg(key) {
		d.ScanArgs(t, key, &n)
	}
	return n
}

func scanText(t *testing.T, d *datadriven.TestData, key, otherwise string) string {
	t.Helper()
	s := otherwise
	if d.HasArg(key) {
		d.ScanArgs(t, key, &s)
	}
	return s
}

func parsePoint(t *testing.T, s string) core.Point {
	t.Helper()
	p, err := core.ParsePoint(s)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// parseCandidate parses "NAME ROLE DATA-CENTRE VISIBLE fresh=MS ...".
func parseCandidate(t *testing.T, line string) Candidate {
	t.Helper()
	f := strings.Fields(line)
	c := Candidate{Endpoint: core.Endpoint(f[0]), Role: core.Role(f[1]), DataCentre: core.DataCentre(f[2]), Visible: parsePoint(t, f[3]), Slots: 3, Latency: 3 * time.Millisecond}
	for _, a := range f[4:] {
		key, text, _ := strings.Cut(a, "=")
		var n int
		if text != "" {
			if _, err := fmt.Sscan(text, &n); err != nil {
				t.Fatal(err)
			}
		}
		switch key {
		case "fresh":
			c.FreshAsOf = at(n)
		case "expected":
			c.ExpectedAt = at(n)
		case "load":
			c.InFlight = n
		case "latency":
			c.Latency = time.Duration(n) * time.Millisecond
		case "doubted":
			c.Suspect = true
		case "leaving":
			c.Leaving = true
		default:
			t.Fatalf("unknown candidate field %s", key)
		}
	}
	return c
}

func (c Choice) text() string {
	s := string(c.Action)
	if c.Endpoint != "" {
		s += " " + string(c.Endpoint)
	}
	if !c.Until.IsZero() {
		s += " until " + c.Until.Sub(start).String()
	}
	if c.Err != nil {
		s += fmt.Sprintf(" %s, retry after %v", c.Err, c.Err.RetryAfter)
	}
	return s
}

func TestChoices(t *testing.T) {
	var q Request
	datadriven.RunTest(t, "testdata/choose", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "candidates":
			q.Candidates = nil
			for line := range strings.Lines(d.Input) {
				q.Candidates = append(q.Candidates, parseCandidate(t, line))
			}
			return ""
		case "choose":
			q.Arrived = at(scanInt(t, d, "arrived", 1000))
			q.Deadline = at(scanInt(t, d, "deadline", 2000))
			q.Requirement = mark.Requirement{Point: parsePoint(t, scanText(t, d, "point", "0.0")), Since: at(scanInt(t, d, "since", 0))}
			q.NewestSample = mark.GroupSample{At: at(scanInt(t, d, "newest", 0)), Point: parsePoint(t, scanText(t, d, "reached", "0.0"))}
			r := NewRouter(rand.New(rand.NewPCG(1, 2)),
				WithDataCentre("bkk-a"),
				WithPolicy(Policy(scanText(t, d, "policy", string(PolicyNearest)))),
				WithWaitPolicy(WaitPolicy(scanText(t, d, "patience", string(WaitForecast)))))
			return r.Choose(&q, at(scanInt(t, d, "now", 1000))).text() + "\n"
		}
		d.Fatalf(t, "unknown command %s", d.Cmd)
		return ""
	})
}

func TestLagForecast(t *testing.T) {
	var estimator *LagEstimator
	datadriven.RunTest(t, "testdata/lag", func(t *testing.T, d *datadriven.TestData) string {
		now := at(scanInt(t, d, "at", 0))
		point := parsePoint(t, scanText(t, d, "point", "0.0"))
		switch d.Cmd {
		case "replica":
			estimator = &LagEstimator{}
			return ""
		case "expect":
			estimator.RecordReached(point, now)
		case "observe":
			estimator.Observe(point, now)
		case "when":
			w, ok := estimator.Forecast().ExpectedAt(mark.Requirement{Point: point, Since: start}, at(scanInt(t, d, "reached", 0)), now)
			if !ok {
				return "not known\n"
			}
			return fmt.Sprintf("%v\n", w.Sub(start))
		}
		forecast := estimator.Forecast()
		lag, _ := forecast.currentLag(now)
		return fmt.Sprintf("lag=%v rate=%.0f/s behind=%v\n", lag, forecast.Rate, forecast.isBehind(now))
	})
}

func TestIsValid(t *testing.T) {
	is := is.New(t)
	p := core.Point{Term: 2, Position: 90}
	is.True(IsValid(p, p))
	is.True(IsValid(p, core.Point{Term: 2, Position: 91}))
	is.True(!IsValid(p, core.Point{Term: 2, Position: 89}))
	is.True(!IsValid(p, core.Point{Term: 3, Position: 95}))
}

func drawCandidate(t *rapid.T, i int) Candidate {
	point := rapid.Custom(func(t *rapid.T) core.Point {
		return core.Point{Term: rapid.Uint64Range(1, 3).Draw(t, "term"), Position: rapid.Uint64Range(95, 100).Draw(t, "position")}
	})
	c := Candidate{
		Endpoint:   core.Endpoint(fmt.Sprint(i)),
		DataCentre: rapid.SampledFrom([]core.DataCentre{"bkk-a", "bkk-b"}).Draw(t, "data centre"),
		Role:       rapid.SampledFrom([]core.Role{core.RolePrimary, core.RoleReplica}).Draw(t, "role"),
		Visible:    point.Draw(t, "visible"),
		FreshAsOf:  at(rapid.IntRange(0, 20).Draw(t, "fresh")),
		InFlight:   rapid.IntRange(0, 4).Draw(t, "load"),
		Slots:      3,
		Suspect:    rapid.IntRange(0, 4).Draw(t, "doubted") == 0,
		Leaving:    rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
	}
	if rapid.Bool().Draw(t, "is expected") {
		c.ExpectedAt = at(rapid.IntRange(0, 100).Draw(t, "expected"))
	}
	return c
}

// satisfiesRequirement restates the rule for a replica without the methods under test.
func satisfiesRequirement(c Candidate, requirement mark.Requirement) bool {
	return c.Visible.Term >= requirement.Point.Term && c.Visible.Position >= requirement.Point.Position && !requirement.Since.After(c.FreshAsOf)
}

func TestChoiceIsRight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &Request{
			Requirement: mark.Requirement{
				Point: core.Point{Term: rapid.Uint64Range(0, 3).Draw(t, "mark term"), Position: rapid.Uint64Range(95, 100).Draw(t, "mark")},
				Since: at(rapid.IntRange(0, 20).Draw(t, "since")),
			},
			Arrived:  at(20),
			Deadline: at(rapid.IntRange(21, 80).Draw(t, "deadline")).Add(-time.Millisecond / 2),
		}
		if rapid.Bool().Draw(t, "is sampled") {
			q.NewestSample = mark.GroupSample{At: at(rapid.IntRange(0, 90).Draw(t, "newest")), Point: core.Point{
				Term: rapid.Uint64Range(0, 3).Draw(t, "reached term"), Position: rapid.Uint64Range(95, 100).Draw(t, "reached"),
			}}
		}
		for i := range rapid.IntRange(0, 5).Draw(t, "candidates") {
			q.Candidates = append(q.Candidates, drawCandidate(t, i))
		}
		r := NewRouter(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
			WithDataCentre("bkk-a"),
			WithPolicy(rapid.SampledFrom([]Policy{PolicyNearest, PolicyLeastLoaded, PolicyTwoChoices}).Draw(t, "policy")),
			WithWaitPolicy(rapid.SampledFrom([]WaitPolicy{WaitNone, WaitFixed, WaitForecast}).Draw(t, "patience")))
		now := at(rapid.IntRange(20, 90).Draw(t, "now"))
		checkChoice(t, q, r.Choose(q, now), now)
	})
}

func checkChoice(t *rapid.T, q *Request, c Choice, now time.Time) {
	good, newest := 0, uint64(0)
	byName := map[core.Endpoint]Candidate{}
	for _, o := range q.Candidates {
		byName[o.Endpoint] = o
		if o.Role == core.RoleReplica && !o.Leaving && !o.Suspect && satisfiesRequirement(o, q.Requirement) {
			good++
		}
		if o.Role == core.RolePrimary {
			newest = max(newest, o.Visible.Term)
		}
	}
	chosen := byName[c.Endpoint]
	switch c.Action {
	case ActionReplica:
		if chosen.Role != core.RoleReplica || chosen.Leaving || !satisfiesRequirement(chosen, q.Requirement) || chosen.Suspect && good > 0 {
			t.Fatalf("wrong replica %+v", chosen)
		}
	case ActionPrimary:
		if good > 0 || chosen.Role != core.RolePrimary || chosen.Leaving || chosen.Suspect || chosen.Visible.Term < newest || !chosen.Visible.Covers(q.Requirement.Point) {
			t.Fatalf("wrong primary %+v with %d replicas", chosen, good)
		}
	case ActionWait:
		if good > 0 || !c.Until.After(now) || c.Until.After(q.Deadline) {
			t.Fatalf("wrong wait until %v", c.Until)
		}
	case ActionRefuse:
		if c.Err != nil && c.Err.Code == core.CodeBadMark {
			n := q.NewestSample
			if good > 0 || n.At.Before(q.Arrived) || n.Point.Term >= q.Requirement.Point.Term && n.Point.Position >= q.Requirement.Point.Position {
				t.Fatalf("wrong refusal %v", c.Err)
			}
			return
		}
		if now.Before(q.Deadline) || c.Err == nil || c.Err.Code != core.CodeNoFreshReplica || c.Err.RetryAfter <= 0 {
			t.Fatalf("wrong refusal %v", c.Err)
		}
	}
}

func threeCandidates() *Request {
	q := &Request{Requirement: mark.Requirement{Since: at(0)}, Arrived: at(20), Deadline: at(1000)}
	for _, name := range []core.Endpoint{"a", "b", "c"} {
		q.Candidates = append(q.Candidates, Candidate{Endpoint: name, Role: core.RoleReplica, FreshAsOf: at(10), Slots: 3})
	}
	return q
}

func TestChooseAllocatesNothing(t *testing.T) {
	q := threeCandidates()
	r := NewRouter(rand.New(rand.NewPCG(1, 2)))
	is.New(t).Equal(testing.AllocsPerRun(100, func() { r.Choose(q, at(20)) }), 0.0)
}

func BenchmarkChoose(b *testing.B) {
	q := threeCandidates()
	r := NewRouter(rand.New(rand.NewPCG(1, 2)))
	b.ReportAllocs()
	for b.Loop() {
		r.Choose(q, at(20))
	}
}
