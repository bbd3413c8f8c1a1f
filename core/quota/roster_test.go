package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"anviltack/core"
)

// TestOwners checks that each part of a limit has an owner in its own data centre, that the
// limits are spread over the instances, that few owners change with an instance, and that
// the parts of a data centre without instances have none.
func TestOwners(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	centres := []core.DataCentre{"dc0", "dc1", "dc2", "dc3"}
	var listed []Instance
	for n := range 32 {
		listed = append(listed, Instance{Name: core.Instance(fmt.Sprint("i", n)), DataCentre: centres[n%4]})
	}
	r := NewRoster(listed[0], centres, time.Second)
	r.Observe(now, listed, true)
	const organisations = 800
	before := make(map[core.Organisation][]core.Instance)
	owned := make(map[core.Instance]int)
	for n := range organisations {
		o := core.Organisation(fmt.Sprint("o", n))
		before[o] = r.Owners(o, 4)
		is.Equal(len(before[o]), 4)
		for slot, i := range before[o] {
			owned[i]++
			is.True(i == listed[0].Name || r.others[i].centre == centres[slot])
		}
		is.True(r.Order(o, 4)[0].IsNear)
	}
	for _, i := range listed {
		is.True(owned[i.Name] > 60 && owned[i.Name] < 140) // 100 on average
	}
	r.Observe(now, listed[:31], true) // i31 of dc3 leaves
	r.Tick(now.Add(maxAbsence + r.takeoverDelay()))
	for o, owners := range before {
		for slot, i := range r.Owners(o, 4) {
			is.True(i == owners[slot] || owners[slot] == "i31")
		}
	}
	r.Observe(now, nil, true)
	r.Tick(now.Add(2 * (maxAbsence + r.takeoverDelay())))
	is.Equal(r.Owners("o1", 4), []core.Instance{"i0", "", "", ""})
}

// TestSmallSites checks that all parts of a limit have owners where there are fewer data
// centres or instances than parts.
func TestSmallSites(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= 5; n++ {
		s := newSimulation(1, min(n, 2), n)
		s.limits["o"] = Limit{Rate: 30, Burst: 30}
		s.play(settle)
		share := 0.0
		for _, i := range s.nodes {
			share += i.roster.Share("o", i.roster.Slots(s.limits["o"]))
		}
		is.Equal(share, 1.0)
	}
}

// TestRefund checks that returned tokens never raise a bucket above the level that it would
// have had they not been taken.
func TestRefund(t *testing.T) {
	for seed := range uint64(500) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 2))
		now := time.Unix(1000, 0)
		burst := 1 + 20*random.Float64()
		with := bucket{rate: 40 * random.Float64(), burst: burst, tokens: burst * random.Float64(), at: now}
		without := with
		returned := with.take(now, 1+random.IntN(20))
		takenAt := now
		for range random.IntN(20) {
			now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
			n := random.IntN(4)
			n = with.take(now, n)
			is.Equal(without.take(now, n), n)
		}
		with.refund(now, takenAt, returned)
		is.True(with.tokens <= without.tokens+roundingError)
	}
}

// TestRoster runs the scripts in testdata/roster: when an instance, i0 of the data centre a,
// may grant. The source of the list is usually heard every second.
func TestRoster(t *testing.T) {
	datadriven.Walk(t, "testdata/roster", func(t *testing.T, path string) {
		now := time.Unix(1000, 0)
		r := NewRoster(Instance{Name: "i0", DataCentre: "a"}, []core.DataCentre{"a", "b"}, time.Second)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				f := strings.Fields(line)
				now = rosterCommand(t, r, now, f)
				r.Tick(now)
				fmt.Fprintf(&out, "%s: grants %v\n", line, r.MayGrant())
			}
			return out.String()
		})
	})
}

// rosterCommand runs one line of a script and returns the time after it.
func rosterCommand(t *testing.T, r *Roster, now time.Time, f []string) time.Time {
	t.Helper()
	switch f[0] {
	case "list": // list INSTANCE.CENTRE ...
		var listed []Instance
		for _, name := range f[1:] {
			name, centre, _ := strings.Cut(name, ".")
			listed = append(listed, Instance{Name: core.Instance(name), DataCentre: core.DataCentre(centre)})
		}
		r.Hear(now)
		r.Observe(now, listed, slices.Contains(f[1:], "i0.a"))
	case "resume":
		r.Resume()
	case "suspended": // suspended DURATION: nothing is done meanwhile
		return now.Add(parseDuration(t, f[1]))
	case "hearing", "silent": // hearing DURATION, silent DURATION
		for end := now.Add(parseDuration(t, f[1])); now.Before(end); {
			now = now.Add(time.Second)
			if f[0] == "hearing" {
				r.Hear(now)
			}
			r.Tick(now)
		}
	case "contact": // contact INSTANCE same|other AGE: every second for two seconds
		sign := Sign{Digest: r.digest, Age: parseDuration(t, f[3])}
		if f[2] == "other" {
			sign.Digest++
		}
		for range 2 {
			now = now.Add(time.Second)
			sign.Age += time.Second
			r.Contact(now, core.Instance(f[1]), sign)
			r.Tick(now)
		}
	}
	return now
}

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestMissingOwnerIsMet checks that an instance which has just started leaves its parts to one
// that is missing in the list and announces itself, until that has stopped for certain.
func TestMissingOwnerIsMet(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewRoster(Instance{Name: "i0", DataCentre: "a"}, []core.DataCentre{"a", "b"}, time.Second)
	r.Resume()
	r.Hear(now)
	r.Observe(now, []Instance{{Name: "i2", DataCentre: "b"}}, true)
	r.Tick(now)
	is.Equal(r.Share("o", r.Slots(Limit{})), 0.5) // all parts of its data centre
	r.Meet(now, Instance{Name: "i1", DataCentre: "a"})
	is.Equal(r.Share("o", r.Slots(Limit{})), 0.25)
	r.Meet(now, Instance{Name: "i2", DataCentre: "b"})
	is.Equal(r.Share("o", r.Slots(Limit{})), 0.25)
	now = now.Add(maxAbsence)
	r.Hear(now)
	r.Tick(now)
	is.Equal(r.Share("o", r.Slots(Limit{})), 0.25)
	now = now.Add(r.takeoverDelay())
	r.Hear(now)
	r.Tick(now)
	r.Tick(now)
	is.Equal(len(r.others), 1)
}
