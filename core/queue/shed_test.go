package queue

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// class is a kind of statement in the overload of TestOverload.
type class struct {
	share    float64
	work     time.Duration
	target   time.Duration
	asked    int
	inTarget int
}

// overload is an endpoint of some slots that takes statements in the order in which
// they come, from instances that each send it one at a time.
type overload struct {
	random  *rand.Rand
	now     time.Duration
	queue   happenings
	slots   int
	busy    int
	waiting []func()
	senders []*sender
	classes []*class
	sheds   bool
}

// sender is one instance.
type sender struct {
	Queue
	active     bool
	answeredAt time.Duration
	pending    map[uint64]func()
	last       uint64
}

type happening struct {
	at  time.Duration
	run func()
}

type happenings []happening

func (h happenings) Len() int           { return len(h) }
func (h happenings) Less(i, j int) bool { return h[i].at < h[j].at }
func (h happenings) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)        { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (o *overload) after(d time.Duration, run func()) {
	heap.Push(&o.queue, happening{o.now + d, run})
}

// arrive offers statements at a rate.
func (o *overload) arrive(every time.Duration) {
	o.after(time.Duration(o.random.ExpFloat64()*float64(every)), func() {
		o.submit(o.senders[o.random.IntN(len(o.senders))], o.draw())
		o.arrive(every)
	})
}

func (o *overload) draw() *class {
	x := o.random.Float64()
	for _, c := range o.classes {
		if x -= c.share; x < 0 {
			return c
		}
	}
	return o.classes[0]
}

func (o *overload) submit(s *sender, c *class) {
	c.asked++
	arrived := o.now
	if o.sheds && o.random.Float64() < s.Refusal(o.now-s.answeredAt, c.target, o.classes[0].target) {
		return
	}
	s.last++
	w := Waiter{ID: s.last, Due: time.Unix(0, 0).Add(arrived + c.target), Limit: max(0, c.target-s.Hold())}
	if !s.Add(w, 1) {
		return
	}
	s.pending[w.ID] = func() {
		sentAt := o.now
		o.run(c.work, func() {
			s.active, s.answeredAt = false, o.now
			s.Held(o.now - sentAt)
			if o.now-arrived <= c.target {
				c.inTarget++
			}
			o.next(s)
		})
	}
	o.next(s)
}

func (o *overload) next(s *sender) {
	if s.active {
		return
	}
	if w, ok := s.Next(); ok {
		s.active = true
		s.pending[w.ID]()
		delete(s.pending, w.ID)
	}
}

// run takes a slot of the endpoint for some work.
func (o *overload) run(work time.Duration, done func()) {
	start := func() {
		o.busy++
		o.after(work, func() {
			o.busy--
			done()
			if len(o.waiting) > 0 && o.busy < o.slots {
				next := o.waiting[0]
				o.waiting = o.waiting[1:]
				next()
			}
		})
	}
	if o.busy < o.slots {
		start()
		return
	}
	o.waiting = append(o.waiting, start)
}

// play offers half as much again as the endpoint can do for a minute.
func play(seed uint64, sheds bool) []*class {
	o := &overload{random: rand.New(rand.NewPCG(seed, 1)), slots: 6, sheds: sheds, classes: []*class{
		{share: 0.15, work: 11 * time.Millisecond, target: 200 * time.Millisecond},
		{share: 0.70, work: 33 * time.Millisecond, target: 400 * time.Millisecond},
		{share: 0.15, work: 55 * time.Millisecond, target: 800 * time.Millisecond},
	}}
	for range 34 {
		o.senders = append(o.senders, &sender{pending: make(map[uint64]func())})
	}
	const meanWork = 33 * time.Millisecond
	o.arrive(meanWork / 9)
	for o.now < time.Minute {
		h := heap.Pop(&o.queue).(happening)
		o.now = h.at
		h.run()
	}
	return o.classes
}

// goodput is nine tenths of what six slots can do in a minute with statements of 33 ms.
const goodput = 9 * 6 * 60 * 1000 / 33 / 10

// TestOverload is the load of a group whose replicas lag far behind, so that all its
// reads come to a primary with too few slots, from many instances that each queue
// next to nothing: refusing the statements that may come back later serves more
// callers in time, those with the shortest target above all.
func TestOverload(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		without, with := play(seed, false), play(seed, true)
		total := func(classes []*class) (n int) {
			for _, c := range classes {
				n += c.inTarget
			}
			return n
		}
		rate := func(c *class) float64 { return float64(c.inTarget) / float64(c.asked) }
		t.Logf("served in time %d and %d; shortest target %.2f and %.2f, longest %.2f and %.2f", total(without), total(with),
			rate(without[0]), rate(with[0]), rate(without[2]), rate(with[2]))
		is.True(total(with) >= goodput)
		is.True(total(with) > total(without))
		is.True(rate(with[0]) > rate(without[0]))
		is.True(rate(with[1]) > rate(without[1]))
	}
}

// TestIdleEndpointIsNoOverload lets a statement through when nothing was answered
// for a while.
func TestIdleEndpointIsNoOverload(t *testing.T) {
	is := is.New(t)
	var q Queue
	const shortest, longest = 200 * time.Millisecond, 800 * time.Millisecond
	is.Equal(q.Refusal(0, longest, shortest), 0.0)
	for range 50 {
		q.Held(time.Second)
	}
	is.Equal(q.Refusal(0, longest, shortest), 1.0)
	is.Equal(q.Refusal(0, shortest, shortest), 0.0) // what is spared itself
	is.Equal(q.Refusal(staleHold, longest, shortest), 0.0)
	is.Equal(q.Refusal(0, longest, 0), 0.0) // no target is known
}
