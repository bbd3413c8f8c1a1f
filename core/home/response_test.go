package home

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"anviltack/core"
)

// openingFleet is a fleet whose instances in one data centre open sessions at the home
// instances of eight groups, with the times that the load of each takes.
type openingFleet struct {
	homes   map[core.Group][]core.Instance
	live    map[core.Instance]Instance
	load    map[core.Instance]float64
	random  *rand.Rand
	observe []Responses
	// slow are the instances that the pattern affects, by how many times; zero stands for
	// one that does not answer.
	slow map[core.Instance]float64
	// slowObservers is how many times slower the observers themselves are.
	slowObservers float64
}

const (
	// dataCentreWay is the time there and back between data centres.
	dataCentreWay = 6 * time.Millisecond
	// openWork is the processor time of a session's start at its home instance.
	openWork = 500 * time.Microsecond
	// noAnswer is after how long an attempt is given up.
	noAnswer = 300 * time.Millisecond
)

func newOpeningFleet(weak int, cores, statements float64, limits Limits) *openingFleet {
	f := &openingFleet{
		live: make(map[core.Instance]Instance), load: make(map[core.Instance]float64), slow: make(map[core.Instance]float64),
		random: rand.New(rand.NewPCG(1, 2)), observe: make([]Responses, (6+weak)/3), slowObservers: 1,
	}
	live := unevenInstances(weak, cores)
	for _, i := range live {
		f.live[i.Name] = i
	}
	f.homes = Assign(namedGroups(8, limits), live)
	for _, homes := range f.homes {
		for _, h := range homes {
			f.load[h] += statements / 8 / float64(len(homes)) * secondsPerStatement / f.live[h].Strength.Cores
		}
	}
	return f
}

// affect makes home instances of the observers' data centre slow or silent; the weakest
// first unless strongest is set.
func (f *openingFleet) affect(n int, strongest bool, times float64) {
	var near []core.Instance
	for i := range f.load {
		if f.live[i].DataCentre == "z0" {
			near = append(near, i)
		}
	}
	slices.Sort(near)
	slices.SortStableFunc(near, func(a, b core.Instance) int {
		order := cmp.Compare(f.live[a].Strength.Cores, f.live[b].Strength.Cores)
		if strongest {
			return -order
		}
		return order
	})
	for _, i := range near[:n] {
		f.slow[i] = times
	}
}

// took returns how long a home instance takes to open a session.
func (f *openingFleet) took(i core.Instance, affected bool) time.Duration {
	times := 1.0
	if s, ok := f.slow[i]; ok && affected {
		times = s
	}
	if times == 0 {
		return noAnswer
	}
	work := float64(openWork) / f.live[i].Strength.Cores * times / (1 - min(0.95, f.load[i]*times)) * f.random.ExpFloat64()
	if affected {
		work *= f.slowObservers
	}
	if f.live[i].DataCentre != "z0" {
		work += float64(dataCentreWay)
	}
	return time.Duration(work) + time.Millisecond
}

// play opens sessions for 30 s, of which the pattern lasts from the 10th to the 16th, and
// counts those that went to the affected instances then, up to 4 s after and later, beside how many a
// random order sends there, and those that left the data centre.
func (f *openingFleet) play(perSecond float64) string {
	counts := make(map[string][2]int)
	start := time.Unix(0, 0)
	for at := time.Duration(0); at < 30*time.Second; at += time.Duration(float64(time.Second) / perSecond / float64(len(f.observe))) {
		observer := &f.observe[f.random.IntN(len(f.observe))]
		var near, far []core.Instance
		homes := f.homes[core.Group(fmt.Sprint("g", f.random.IntN(8)))]
		for _, k := range f.random.Perm(len(homes)) {
			if f.live[homes[k]].DataCentre == "z0" {
				near = append(near, homes[k])
			} else {
				far = append(far, homes[k])
			}
		}
		affected := at >= 10*time.Second && at < 16*time.Second
		first := observer.Order(start.Add(at), near, far)[0]
		took := f.took(first, affected)
		observer.Observe(start.Add(at).Add(took), first, f.live[first].DataCentre == "z0", took)
		period := "before"
		switch {
		case affected:
			period = "during"
		case at >= 20*time.Second:
			period = "after"
		case at >= 16*time.Second:
			period = "soon after"
		}
		for name, is := range map[string]func(core.Instance) bool{
			"affected": func(i core.Instance) bool { _, ok := f.slow[i]; return ok },
			"far":      func(i core.Instance) bool { return f.live[i].DataCentre != "z0" },
		} {
			c := counts[period+" "+name]
			if is(first) {
				c[0]++
			}
			if is(near[0]) {
				c[1]++
			}
			counts[period+" "+name] = c
		}
	}
	var b strings.Builder
	for _, k := range []string{"during affected", "soon after affected", "after affected", "before far", "during far", "soon after far", "after far"} {
		fmt.Fprintf(&b, "%s: %d, in random order %d\n", k, counts[k][0], counts[k][1])
	}
	return b.String()
}

// TestOrderByResponse plays the patterns of testdata/responses.
func TestOrderByResponse(t *testing.T) {
	datadriven.RunTest(t, "testdata/responses", func(t *testing.T, d *datadriven.TestData) string {
		f := newOpeningFleet(85, 0.192, 2400, Limits{Connections: 46, Slots: 4})
		perSecond := 3.0
		if d.HasArg("small") {
			f, perSecond = newOpeningFleet(28, 0.464, 1300, Limits{Connections: 80, Slots: 5}), 7
		}
		var n, times int
		d.MaybeScanArgs(t, "homes", &n)
		d.MaybeScanArgs(t, "times", &times)
		f.affect(n, d.HasArg("strongest"), float64(times))
		if d.Cmd == "slow-observers" {
			f.slowObservers = float64(times)
		}
		return f.play(perSecond)
	})
}
