package queue

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"anviltack/core"
)

// aFewPercent is the part of their statements that organisations may lose to another one.
const aFewPercent = 0.05

// site is an endpoint of four slots with eight home instances and 84 organisations, whose sizes
// follow Zipf's law with exponent 1.2.
type site struct {
	// used is the part of the slots that the organisations usually use.
	used float64
	// hot are multiples of the usual by the rank of the organisation.
	hot map[int]float64
	// work is the service time, and target the target.
	work, target time.Duration
}

// run simulates a minute and returns the organisations by rank.
func (c site) run(seed uint64) []*class {
	const slots, organisations, instances = 4, 84, 8
	o := &overload{random: rand.New(rand.NewPCG(seed, 1)), slots: slots, each: 1, sheds: true, refused: func(*class) {}}
	sizes, offered := 0.0, 0.0
	for rank := 1; rank <= organisations; rank++ {
		sizes += math.Pow(float64(rank), -1.2)
	}
	for rank := 1; rank <= organisations; rank++ {
		size := math.Pow(float64(rank), -1.2) / sizes
		share := size * max(1, c.hot[rank])
		offered += share
		o.classes = append(o.classes, &class{
			serviceTime: c.work, target: c.target, overhead: 20 * time.Millisecond,
			organisation: core.Organisation(fmt.Sprint(rank)), weight: 1000 * size, share: share,
		})
	}
	for _, class := range o.classes {
		class.share /= offered
	}
	o.run60(instances, time.Duration(float64(c.work)/(slots*c.used*offered)))
	return o.classes
}

// run60 simulates a minute of arrivals at a number of instances.
func (o *overload) run60(instances int, every time.Duration) {
	for range instances {
		o.senders = append(o.senders, newSender())
	}
	o.arrive(every)
	for o.now < time.Minute {
		e := heap.Pop(&o.events).(event)
		o.now = e.at
		e.run()
	}
}

// late returns the part that was not served in time, without that of the hot organisations.
func (c site) late(classes []*class) float64 {
	submitted, inTarget := 0, 0
	for i, class := range classes {
		if c.hot[i+1] == 0 {
			submitted += class.submitted
			inTarget += class.inTarget
		}
	}
	return 1 - float64(inTarget)/float64(submitted)
}

// served returns how many were served in time in all.
func served(classes []*class) (n int) {
	for _, c := range classes {
		n += c.inTarget
	}
	return n
}

// TestHotOrganisations covers one organisation, and two at once, that send 7.5 times their usual:
// the others lose at most a few percent, and the slots are not left free for it.
func TestHotOrganisations(t *testing.T) {
	is := is.New(t)
	for _, hot := range []map[int]float64{{1: 7.5}, {2: 7.5}, {12: 7.5}, {1: 7.5, 2: 7.5}, {2: 7.5, 5: 7.5}} {
		for seed := range uint64(3) {
			with := site{used: 0.6, hot: hot, work: 24 * time.Millisecond, target: 400 * time.Millisecond}
			alone := with
			alone.hot = nil
			classes := with.run(seed)
			before, beside := with.late(alone.run(seed)), with.late(classes)
			t.Logf("hot %v: %.4f late without and %.4f beside", hot, before, beside)
			is.True(beside-before <= aFewPercent)
			offered := 0
			for _, c := range classes {
				offered += c.submitted
			}
			capacity := 4 * int(time.Minute/with.work)
			is.True(served(classes) >= 9*min(offered, capacity)/10)
		}
	}
}

// TestHotItem covers an item that gets a quarter of all writes of eight groups, so that the
// primary of its group is offered more than it can run: those who write other items there lose
// at most a few percent. The item's writers are an organisation of a middling size.
func TestHotItem(t *testing.T) {
	is := is.New(t)
	const groups, rank, used = 8, 4, 0.5
	usual := math.Pow(rank, -1.2)
	sizes := 0.0
	for r := 1; r <= 84; r++ {
		sizes += math.Pow(float64(r), -1.2)
	}
	for seed := range uint64(3) {
		// three quarters of all writes go to other items, a quarter to this one
		with := site{used: used * 0.75, hot: map[int]float64{rank: 1 + groups*0.25/0.75*sizes/usual}, work: 24 * time.Millisecond, target: 400 * time.Millisecond}
		classes := with.run(seed)
		t.Logf("%.4f of the others late; %d of %d of the item's", with.late(classes), classes[rank-1].inTarget, classes[rank-1].submitted)
		is.True(with.late(classes) <= aFewPercent)
		is.True(served(classes) >= 9*4*int(time.Minute/with.work)/10)
	}
}

// TestLeastUrgentBurst covers lookups, the least urgent work, at 2.3 times their usual while the
// replicas of a group lag, so that its primary has it all: the more urgent work loses nothing,
// that is at most one statement in a hundred.
func TestLeastUrgentBurst(t *testing.T) {
	is := is.New(t)
	simulate := func(seed uint64, instances int, burst float64) []*class {
		o := &overload{random: rand.New(rand.NewPCG(seed, 1)), slots: 4, each: 2, sheds: true, refused: func(*class) {}, classes: []*class{
			{organisation: "a", share: 100, serviceTime: 8 * time.Millisecond, target: 200 * time.Millisecond, overhead: 20 * time.Millisecond},
			{organisation: "a", share: 60, serviceTime: 24 * time.Millisecond, target: 400 * time.Millisecond, overhead: 20 * time.Millisecond, priority: 1},
			{organisation: "a", share: 35 * burst, serviceTime: 40 * time.Millisecond, target: 1200 * time.Millisecond, overhead: 20 * time.Millisecond, priority: 2},
		}}
		rate := 0.0
		for _, c := range o.classes {
			rate += c.share
		}
		for _, c := range o.classes {
			c.share /= rate
		}
		o.run60(instances, time.Duration(float64(time.Second)/rate))
		return o.classes
	}
	for _, instances := range []int{4, 8} {
		for seed := range uint64(3) {
			without, with := simulate(seed, instances, 1), simulate(seed, instances, 2.3)
			for i, c := range with {
				rate := func(c *class) float64 { return float64(c.inTarget) / float64(c.submitted) }
				t.Logf("%d instances, priority %d: %.4f in time without and %.4f with the burst", instances, i, rate(without[i]), rate(c))
				is.True(c.priority == 2 || rate(c) >= rate(without[i])-0.01)
			}
		}
	}
}

// TestShedsHotOrganisation covers the overload of TestOverload when one organisation causes it:
// what is shed is the hot one's first, and no less is served in time than if all were alike.
func TestShedsHotOrganisation(t *testing.T) {
	is := is.New(t)
	simulate := func(seed uint64, weighed bool) (hot, others []*class, all int) {
		o := &overload{random: rand.New(rand.NewPCG(seed, 1)), slots: 6, each: 1, sheds: true, refused: func(*class) {}}
		for rank := range 10 {
			part := 1.0 / 15
			if rank == 0 {
				part = 6.0 / 15
			}
			organisation := core.Organisation("")
			if weighed {
				organisation = core.Organisation(fmt.Sprint(rank))
			}
			classes := []*class{
				{share: 0.15 * part, serviceTime: 11 * time.Millisecond, target: 200 * time.Millisecond, organisation: organisation},
				{share: 0.70 * part, serviceTime: 33 * time.Millisecond, target: 400 * time.Millisecond, organisation: organisation},
				{share: 0.15 * part, serviceTime: 55 * time.Millisecond, target: 800 * time.Millisecond, organisation: organisation},
			}
			if o.classes = append(o.classes, classes...); rank == 0 {
				hot = classes
			} else {
				others = append(others, classes...)
			}
		}
		o.run60(34, 33*time.Millisecond/9)
		return hot, others, served(o.classes)
	}
	rate := func(classes []*class) float64 {
		submitted := 0
		for _, c := range classes {
			submitted += c.submitted
		}
		return float64(served(classes)) / float64(submitted)
	}
	for seed := range uint64(3) {
		hotAlike, alike, allAlike := simulate(seed, false)
		hot, others, all := simulate(seed, true)
		t.Logf("in time: hot %.3f and others %.3f alike, %.3f and %.3f by share; %d and %d in all", rate(hotAlike), rate(alike), rate(hot), rate(others), allAlike, all)
		is.True(rate(others) > rate(alike))
		is.True(1-rate(others) <= (1-rate(hot))/2)
		is.True(100*all >= 97*allAlike)
	}
}
