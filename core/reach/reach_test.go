package reach

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"anviltack/core"
)

// TestIsPartitioned runs the scripts in testdata: a line for each endpoint with its data
// centre, how long ago it last answered and how long its oldest request has been unanswered,
// or "-".
func TestIsPartitioned(t *testing.T) {
	now := time.Unix(1000, 0)
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var endpoints []Endpoint
			for line := range strings.Lines(d.Input) {
				f := strings.Fields(line)
				e := Endpoint{DataCentre: core.DataCentre(f[0]), AnsweredAt: now.Add(-parseDuration(t, f[1]))}
				if f[2] != "-" {
					e.UnansweredSince = now.Add(-parseDuration(t, f[2]))
				}
				endpoints = append(endpoints, e)
			}
			if IsPartitioned(now, core.DataCentre(d.Cmd), endpoints) {
				return "partitioned\n"
			}
			return "reached\n"
		})
	})
}

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// load is an instance in dc0 that sends statements to endpoints in four data centres, chosen
// at random, one every ten milliseconds on average.
type load struct {
	random    *rand.Rand
	now       time.Time
	endpoints []Endpoint
	// requests are the statements without an answer.
	requests []request
	// unreachable are the data centres that answer nothing, and slow is an endpoint that
	// takes a second for each statement; -1 for none.
	unreachable map[core.DataCentre]bool
	slow        int
	// partitioned is the result of the step before; when it becomes true, the instance
	// samples all endpoints.
	partitioned bool
}

// request is a statement that was sent to an endpoint and will be answered at a time.
type request struct {
	endpoint         int
	sentAt, answerAt time.Time
}

func newLoad(t *rapid.T) *load {
	l := &load{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: time.Unix(1000, 0), unreachable: map[core.DataCentre]bool{}, slow: -1}
	for i := range 9 {
		l.endpoints = append(l.endpoints, Endpoint{DataCentre: core.DataCentre("dc" + string(rune('0'+i%4)))})
	}
	return l
}

// step advances the load by a millisecond and reports whether the instance counts as
// partitioned.
func (l *load) step() bool {
	l.now = l.now.Add(time.Millisecond)
	if l.random.IntN(10) == 0 {
		const meanService = 20
		r := request{endpoint: l.random.IntN(len(l.endpoints)), sentAt: l.now}
		r.answerAt = l.now.Add(time.Duration(l.random.ExpFloat64()*meanService+2) * time.Millisecond)
		if r.endpoint == l.slow {
			r.answerAt = l.now.Add(time.Second)
		}
		l.requests = append(l.requests, r)
	}
	waiting := l.requests[:0]
	for _, r := range l.requests {
		e := &l.endpoints[r.endpoint]
		switch {
		case !r.answerAt.After(l.now) && !l.unreachable[e.DataCentre]:
			e.AnsweredAt, e.UnansweredSince = l.now, time.Time{}
			continue
		case e.UnansweredSince.IsZero() && e.AnsweredAt.Before(r.sentAt) && l.now.Sub(r.sentAt) >= MinSilence:
			e.UnansweredSince = r.sentAt
		}
		waiting = append(waiting, r)
	}
	l.requests = waiting
	partitioned := IsPartitioned(l.now, "dc0", l.endpoints)
	if partitioned && !l.partitioned {
		l.sampleAll()
	}
	l.partitioned = partitioned
	return partitioned
}

// sampleAll requests the status of all endpoints.
func (l *load) sampleAll() {
	for i := range l.endpoints {
		r := request{endpoint: i, sentAt: l.now, answerAt: l.now.Add(5 * time.Millisecond)}
		if i == l.slow {
			r.answerAt = l.now.Add(time.Second)
		}
		l.requests = append(l.requests, r)
	}
}

// maxSpurious is below the time for which an instance must count as partitioned until it
// reports that it is not ready.
const maxSpurious = 140 * time.Millisecond

// TestCutDataCentre is the load of a data centre that is cut off while its callers go on
// asking: it is noticed within 400 ms and is over soon after the first answers.
func TestCutDataCentre(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		l := newLoad(rt)
		for range 1000 {
			l.step()
		}
		for _, dc := range []core.DataCentre{"dc1", "dc2", "dc3"} {
			l.unreachable[dc] = true
		}
		for noticed := 1; !l.step(); noticed++ {
			is.True(noticed < 400)
		}
		clear(l.unreachable)
		for healed := 1; l.step(); healed++ {
			is.True(healed < 50)
		}
	})
}

// TestFailuresElsewhere is the load while one other data centre has lost its power and an
// endpoint takes a second for each statement: the few answers left still show that the
// instance is not partitioned.
func TestFailuresElsewhere(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		l := newLoad(rt)
		l.unreachable["dc2"] = true
		l.slow = 1
		spurious := time.Duration(0)
		for range 2000 {
			spurious += time.Millisecond
			if !l.step() {
				spurious = 0
			}
			is.True(spurious < maxSpurious)
		}
	})
}
