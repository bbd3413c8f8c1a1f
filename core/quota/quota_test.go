package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"anviltack/core"
)

func everywhere(*simNode) bool { return true }

// settle is the time after which a fleet that starts for the first time grants.
const settle = 10 * time.Second

// TestUseOfTheLimit measures how much of a limit is usable: at three times the limit at
// least 95% of it, with callers everywhere and with callers in one data centre.
func TestUseOfTheLimit(t *testing.T) {
	t.Parallel()
	patterns := map[string]func(*simNode) bool{
		"callers everywhere":                  everywhere,
		"all callers in one data centre":      func(n *simNode) bool { return n.self.DataCentre == "dc0" },
		"all callers at one instance":         func(n *simNode) bool { return n.self.Name == "i5" },
		"two instances of two data centres":   func(n *simNode) bool { return n.self.Name == "i5" || n.self.Name == "i6" },
		"all data centres but one, unequally": func(n *simNode) bool { return n.self.DataCentre != "dc3" && n.self.Name < "i20" },
	}
	for name, at := range patterns {
		for _, limit := range []Limit{{5, 5}, {60, 60}, {400, 20}, {400, 800}} {
			t.Run(fmt.Sprintf("%s/%v", name, limit), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newSimulation(3, 4, 34)
				s.limits["o"] = limit
				s.play(settle)
				s.load("o", 3*limit.Rate, time.Minute, at)
				s.play(time.Minute)
				use := float64(s.served["o"]) / (limit.Rate * 60)
				t.Logf("use %.3f, %d requests to owners, %d of them to other data centres", use, s.asks, s.farAsks)
				is.True(use >= 0.95)
				is.True(s.worst("o") <= 0)
			})
		}
	}
}

// TestUsualLoad checks that an organisation which uses 62% of its limit is refused
// nothing, also when one owner is dead; the smallest, which at times exceed their limits,
// no more than one bucket would.
func TestUsualLoad(t *testing.T) {
	t.Parallel()
	for _, limit := range []Limit{{1, 2}, {4, 8}, {20, 20}, {300, 150}} {
		for _, dead := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v/owner dead %v", limit, dead), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newSimulation(4, 4, 34)
				s.limits["o"] = limit
				s.play(settle)
				var gone core.Instance
				if dead {
					gone = s.nodes["i0"].roster.Owners("o", s.nodes["i0"].roster.Slots(s.limits["o"]))[0]
					s.nodes[gone].dead = true
					s.play(5 * time.Second)
				}
				s.load("o", 0.62*limit.Rate, 2*time.Minute, func(n *simNode) bool { return n.self.Name != gone })
				s.play(2*time.Minute + time.Second)
				t.Logf("%d of %d served, %d within the limit", s.served["o"], s.asked["o"], s.within["o"])
				is.True(s.served["o"] >= s.within["o"])
				is.True(limit.Rate < 4 || s.served["o"] == s.asked["o"])
			})
		}
	}
}

// TestLostOwnersOfLargeLimit checks that an organisation which asks for far more than its
// limit keeps at least its usual load, 62% of the limit, while a third of the instances are
// cut off: none of its callers' operations may hang on one owner.
func TestLostOwnersOfLargeLimit(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		is := is.New(t)
		s := newSimulation(seed, 3, 33)
		s.limits["o"] = Limit{Rate: 600, Burst: 600}
		s.play(settle)
		for n := range 33 {
			if n%9 < 3 { // four of eleven in each data centre, or three
				s.nodes[core.Instance(fmt.Sprint("i", n))].dead = true
			}
		}
		const period = 10 * time.Second
		s.load("o", 1800, period, func(n *simNode) bool { return !n.dead })
		s.play(period)
		is.True(float64(s.served["o"]) >= 0.62*600*period.Seconds())
		is.True(s.worst("o") <= 0)
	}
}

// TestNumberOfPartsChanges checks that an owner grants from the lesser of both shares while
// other instances may divide a limit as before it changed.
func TestNumberOfPartsChanges(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 3, 33)
	s.play(settle)
	small, large := Limit{Rate: 30, Burst: 30}, Limit{Rate: 600, Burst: 600}
	roster := s.nodes["i0"].roster
	is.Equal(roster.Slots(small), 3)
	is.Equal(roster.Slots(large), 12)
	shares := func(limit Limit) float64 {
		total := 0.0
		for _, n := range s.nodes {
			total += n.ledger.share(s.now, "o", limit)
		}
		return total
	}
	is.True(math.Abs(shares(small)-1) < 0.001)
	is.True(shares(large) < 0.26) // the owners of one part in three have one in twelve
	s.play(roster.takeoverDelay())
	is.True(math.Abs(shares(large)-1) < 0.001)
	is.True(shares(small) < 0.26)
}

// TestBucketBound draws takes and returns of tokens and checks that a bucket never grants
// more in any period than its rate and burst allow.
func TestBucketBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.Float64Range(0.5, 100).Draw(t, "rate"), rapid.Float64Range(1, 100).Draw(t, "burst")
		now := time.Unix(1000, 0)
		b := bucket{rate: rate, burst: burst, tokens: burst, at: now}
		granted, elapsed := 0, 0.0
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			d := rapid.Float64Range(0, 2).Draw(t, "wait")
			now, elapsed = now.Add(time.Duration(d*float64(time.Second))), elapsed+d
			taken := b.take(now, rapid.IntRange(0, 50).Draw(t, "want"))
			returned := rapid.IntRange(0, taken).Draw(t, "returned")
			b.refund(now, now, returned)
			granted += taken - returned
			if float64(granted) > burst+rate*elapsed+0.001 {
				t.Fatalf("%d granted in %g s", granted, elapsed)
			}
		}
	})
}
