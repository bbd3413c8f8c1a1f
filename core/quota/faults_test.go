package quota

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"anviltack/core"
)

// defaultSeeds is the number of random runs; ANVILTACK_TEST_SEEDS sets another one.
const defaultSeeds = 8

func seeds(t *testing.T) uint64 {
	t.Helper()
	if text := os.Getenv("ANVILTACK_TEST_SEEDS"); text != "" {
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	return defaultSeeds
}

// pick returns a random instance that has not left.
func (s *simulation) pick() *simNode {
	for {
		if n := s.nodes[core.Instance(fmt.Sprint("i", s.random.IntN(len(s.nodes))))]; !n.left {
			return n
		}
	}
}

// kill ends a process and starts it again after a while.
func (s *simulation) kill(n *simNode, down time.Duration) {
	if n.dead {
		return
	}
	n.dead = true
	n.process++
	s.at(nil, down, func() {
		if !n.left {
			s.start(n, 0)
		}
	})
}

// during sets a fault and ends it after a while.
func (s *simulation) during(d time.Duration, set func(bool)) {
	set(true)
	s.at(nil, d, func() { set(false) })
}

// disrupt causes a random fault.
func (s *simulation) disrupt() {
	n, d := s.pick(), s.jitter(60*time.Second)
	switch s.random.IntN(11) {
	case 0:
		centre := n.self.DataCentre
		s.during(d, func(on bool) {
			if s.cutCentre = ""; on {
				s.cutCentre = centre
			}
		})
	case 1:
		n.suspendedUntil = s.now.Add(d / 2)
	case 2:
		s.kill(n, s.jitter(3*time.Second))
	case 3:
		s.kill(n, d)
	case 4: // replaced
		n.left, n.dead = true, true
		n.process++
		s.join(fmt.Sprint("i", len(s.nodes)), n.self.DataCentre)
	case 5:
		s.during(2*d, func(on bool) { s.storeDown = on })
	case 6:
		s.during(d, func(on bool) { n.storeCut = on })
	case 7:
		s.during(d, func(on bool) { n.alone = on })
	case 8: // the entries of all are lost
		clear(s.renewed)
	case 9: // herd
		for _, n := range s.all() {
			if !n.left && s.random.IntN(2) == 0 {
				s.kill(n, s.jitter(2*time.Second))
			}
		}
	case 10:
		s.join(fmt.Sprint("i", len(s.nodes)), n.self.DataCentre)
	}
}

// TestWindowBound checks in random runs with faults that in no five seconds more operations
// run than the limit permits, over all instances.
func TestWindowBound(t *testing.T) {
	t.Parallel()
	limits := map[core.Organisation]Limit{"small": {2, 4}, "middle": {30, 60}, "large": {200, 100}}
	for seed := range seeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSimulation(seed, 1+int(seed%4), 4+int(seed*7%30))
			s.limits = limits
			s.play(settle)
			for _, o := range []core.Organisation{"small", "middle", "large"} {
				s.load(o, 3*limits[o].Rate, 4*time.Minute, everywhere)
			}
			for range 40 {
				s.play(s.jitter(10 * time.Second))
				s.disrupt()
			}
			for o := range limits {
				if w := s.worst(o); w > 0 {
					t.Errorf("%s: %.0f operations above the limit of a window", o, w)
				}
				is.True(s.served[o] > 0)
			}
		})
	}
}

// TestLoweredLimit checks that a lower limit holds after the instances have it.
func TestLoweredLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSimulation(5, 4, 34)
	s.limits["o"] = Limit{Rate: 200, Burst: 1000}
	s.play(settle + 10*time.Second)
	s.limits["o"] = Limit{Rate: 20, Burst: 10}
	s.load("o", 400, 20*time.Second, everywhere)
	s.play(20 * time.Second)
	is.True(s.worst("o") <= 0)
}

// TestRestartedFleetServes checks that a fleet whose processes are all killed serves again
// at once, and that a fleet which was without power for long does so soon.
func TestRestartedFleetServes(t *testing.T) {
	t.Parallel()
	for down, within := range map[time.Duration]time.Duration{time.Second: time.Second, 40 * time.Second: 8 * time.Second} {
		is := is.New(t)
		s := newSimulation(6, 4, 34)
		s.limits["small"], s.limits["large"] = Limit{4, 8}, Limit{200, 200}
		s.play(settle)
		s.load("small", 2.5, 2*time.Minute, everywhere)
		s.load("large", 124, 2*time.Minute, everywhere)
		s.play(30 * time.Second)
		for _, n := range s.all() {
			s.kill(n, down)
		}
		s.play(down + within)
		for o, limit := range s.limits {
			asked, served := s.asked[o], s.served[o]
			s.play(10 * time.Second)
			t.Logf("%s down %s: %d of %d served in 10 s", o, down, s.served[o]-served, s.asked[o]-asked)
			is.True(s.worst(o) <= 0)
			is.True(float64(s.served[o]-served) >= 0.9*float64(s.asked[o]-asked))
			is.True(limit.Rate > 0)
		}
	}
}

// TestCutsKeepServing checks that the owners that remain grant while the store is down for
// long, while a data centre is cut off, and that each side has the parts of its owners.
func TestCutsKeepServing(t *testing.T) {
	t.Parallel()
	faults := map[string]func(*simulation){
		"the store is down":        func(s *simulation) { s.storeDown = true },
		"a data centre is cut off": func(s *simulation) { s.cutCentre = "dc1" },
		"both": func(s *simulation) {
			s.storeDown = true
			s.cutCentre = "dc1"
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSimulation(7, 4, 34)
			s.limits["o"] = Limit{Rate: 100, Burst: 100}
			s.play(settle)
			s.load("o", 62, 5*time.Minute, everywhere)
			s.play(10 * time.Second)
			fault(s)
			for range 8 {
				asked, served := s.asked["o"], s.served["o"]
				s.play(20 * time.Second)
				t.Logf("%d of %d served", s.served["o"]-served, s.asked["o"]-asked)
				is.True(float64(s.served["o"]-served) >= 0.97*float64(s.asked["o"]-asked))
			}
			is.True(s.worst("o") <= 0)
		})
	}
}

// TestTurnedAwayInstances checks that as much is served while the store turns away a third of
// the instances, which lose their entries and still have the list.
func TestTurnedAwayInstances(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSimulation(7, 4, 34)
	s.limits["o"] = Limit{Rate: 100, Burst: 100}
	s.play(settle)
	s.load("o", 62, 5*time.Minute, everywhere)
	s.play(10 * time.Second)
	for i, n := range s.all() {
		n.storeCut = i%3 == 0
	}
	for range 8 {
		asked, served := s.asked["o"], s.served["o"]
		s.play(20 * time.Second)
		t.Logf("%d of %d served", s.served["o"]-served, s.asked["o"]-asked)
		is.True(float64(s.served["o"]-served) >= 0.97*float64(s.asked["o"]-asked))
	}
	is.True(s.worst("o") <= 0)
}
