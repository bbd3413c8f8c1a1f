package mark

import (
	"errors"
	"fmt"
	"hash/crc32"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"anviltack/core"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func sinceStart(t time.Time) string { return t.Sub(start).String() }

type script struct {
	t       *testing.T
	marks   *Marks
	tracker *Tracker
}

func scanPoint(t *testing.T, d *datadriven.TestData, key string) core.Point {
	t.Helper()
	var s string
	d.ScanArgs(t, key, &s)
	p, err := core.ParsePoint(s)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func scanInt(t *testing.T, d *datadriven.TestData, key string) int {
	t.Helper()
	var n int
	d.ScanArgs(t, key, &n)
	return n
}

func (s *script) run(d *datadriven.TestData) string {
	var b strings.Builder
	switch d.Cmd {
	case "session":
		s.marks = New(at(scanInt(s.t, d, "at")))
	case "raise":
		var g string
		d.ScanArgs(s.t, "group", &g)
		changed := s.marks.Raise(core.Group(g), scanPoint(s.t, d, "point"), at(scanInt(s.t, d, "at")))
		fmt.Fprintf(&b, "changed=%v %s\n", changed, s.marks)
	case "accept":
		err := s.marks.Accept(strings.TrimSpace(d.Input), at(scanInt(s.t, d, "at")))
		fmt.Fprintf(&b, "%v %s\n", err, s.marks)
	case "need":
		var g string
		d.ScanArgs(s.t, "group", &g)
		r := s.marks.Requirement(core.Group(g), time.Duration(scanInt(s.t, d, "age"))*time.Millisecond, at(scanInt(s.t, d, "at")))
		fmt.Fprintf(&b, "point=%s since=%s\n", r.Point, sinceStart(r.Since))
	case "members":
		s.tracker = NewTracker("a", "b", "c")
	case "status":
		s.status(d)
		for _, o := range s.tracker.History().samples {
			fmt.Fprintf(&b, "%s %s\n", sinceStart(o.At), o.Point)
		}
	case "fresh":
		t, ok := s.tracker.History().FreshAsOf(scanPoint(s.t, d, "point"))
		if !ok {
			return "not known\n"
		}
		fmt.Fprintf(&b, "%s\n", sinceStart(t))
	case "held":
		fmt.Fprintf(&b, "%v\n", s.tracker.IsConfirmed(scanPoint(s.t, d, "point"), at(scanInt(s.t, d, "since"))))
	default:
		d.Fatalf(s.t, "unknown command %s", d.Cmd)
	}
	return b.String()
}

func (s *script) status(d *datadriven.TestData) {
	var name string
	d.ScanArgs(s.t, "of", &name)
	p := scanPoint(s.t, d, "point")
	st := core.Status{Role: core.RoleReplica, Fence: p.Term, Term: p.Term, Received: p.Position, Applied: p.Position, Last: p}
	if d.HasArg("fence") {
		st.Fence = uint64(scanInt(s.t, d, "fence"))
	}
	if d.HasArg("last") {
		st.Last = scanPoint(s.t, d, "last")
	}
	s.tracker.Observe(core.Endpoint(name), at(scanInt(s.t, d, "sent")), st)
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{t: t}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.run(d) })
	})
}

func TestTokenRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		m := New(start)
		for range rapid.IntRange(0, 3*MaxGroups).Draw(t, "raises") {
			g := core.Group(rapid.StringMatching(`[a-z0-9_.-]{1,4}`).Draw(t, "group"))
			p := core.Point{Term: rapid.Uint64().Draw(t, "term"), Position: rapid.Uint64().Draw(t, "position")}
			m.Raise(g, p, start)
			is.True(len(m.entries) <= MaxGroups)
		}
		o := New(start)
		is.NoErr(o.Accept(m.String(), start))
		is.Equal(o.String(), m.String())
	})
}

func TestTokenDamage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(start)
		m.Raise("index-1", core.Point{Term: 3, Position: rapid.Uint64().Draw(t, "position")}, start)
		b := []byte(m.String())
		b[rapid.IntRange(0, len(b)-1).Draw(t, "where")] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		o := New(start)
		var e *core.Error
		if err := o.Accept(string(b), start); !errors.As(err, &e) || e.Code != core.CodeBadMark {
			t.Fatalf("%q was accepted: %v", b, err)
		}
		if o.String() != New(start).String() {
			t.Fatalf("a refused token left marks: %s", o)
		}
	})
}

func TestTokenBounds(t *testing.T) {
	groups := strings.Repeat("g@1.1,", MaxGroups)
	for _, body := range []string{
		"1:g@01.1:", "1:g@1.+1:", "1:g@1.1,g@1.1:", "1:h@1.1,g@1.1:", "1:g@1:", "1:@1.1:", "1:g 1@1.1:",
		"1:g@18446744073709551616.1:", "1:" + strings.Repeat("g", maxNameBytes+1) + "@1.1:", "1:" + groups + "z@1.1:",
		"1:" + strings.Repeat(" ", MaxTokenBytes) + ":",
	} {
		is := is.New(t)
		token := string(appendChecksum([]byte(body), crc32.ChecksumIEEE([]byte(body))))
		var e *core.Error
		is.True(errors.As(New(start).Accept(token, start), &e))
		is.Equal(e.Code, core.CodeBadMark)
	}
	var long []string
	for i := range MaxGroups + 1 {
		long = append(long, fmt.Sprintf("g%02d@1.1", i))
	}
	body := "1:" + strings.Join(long, ",") + ":"
	err := New(start).Accept(string(appendChecksum([]byte(body), crc32.ChecksumIEEE([]byte(body)))), start)
	is.New(t).True(strings.Contains(fmt.Sprint(err), "more than"))
}

func TestEvictionAsksForFreshness(t *testing.T) {
	is := is.New(t)
	m := New(at(0))
	for i := range MaxGroups + 1 {
		m.Raise(core.Group(fmt.Sprintf("g%02d", i)), core.Point{Term: 1, Position: 9}, at(10+i))
	}
	r := m.Requirement("g00", time.Hour, at(100))
	is.Equal(r.Since, at(10+MaxGroups))
}

func FuzzAccept(f *testing.F) {
	f.Add("1:index-1@3.120:00000000")
	f.Fuzz(func(t *testing.T, s string) {
		m := New(start)
		if m.Accept(s, start) == nil && s != "" && m.String() != s {
			t.Fatalf("%q was read as %q", s, m)
		}
	})
}
