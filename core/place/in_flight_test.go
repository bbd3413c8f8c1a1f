package place

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"anviltack/core"
)

// sharedEvent is an arrival at a home instance, or the end of a statement.
type sharedEvent struct {
	at   time.Duration
	home int
	// departs is set for the end of a statement that arrived at arrivedAt and was sent at
	// sentAt.
	departs           bool
	arrivedAt, sentAt time.Duration
	database          core.Database
	work              time.Duration
}

type sharedEvents []sharedEvent

func (h sharedEvents) Len() int           { return len(h) }
func (h sharedEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h sharedEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *sharedEvents) Push(x any)        { *h = append(*h, x.(sharedEvent)) }
func (h *sharedEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// sharedEndpoint is an endpoint with four slots and a queue of its own, which four home
// instances share.
type sharedEndpoint struct {
	random *rand.Rand
	events sharedEvents
	// perSecond are the arrivals at each home.
	perSecond []float64
	// calm is how long arrivals are at a tenth first, so that service times get known.
	calm    time.Duration
	homes   []sharedHome
	running int
	queued  []sharedEvent
	// inTarget counts the statements answered within target of their arrival at a home.
	inTarget []int
	served   []int
	offered  []int
}

type sharedHome struct {
	limit    InFlight
	inFlight int
	waiting  []sharedEvent
}

const (
	sharedSlots  = 4
	sharedTarget = 400 * time.Millisecond
)

func (s *sharedEndpoint) arrive(now time.Duration, home int) {
	gap := time.Duration(s.random.ExpFloat64() / s.perSecond[home] * float64(time.Second))
	if now < s.calm {
		gap *= 10
	}
	heap.Push(&s.events, sharedEvent{at: now + gap, home: home})
}

// draw returns the work of a statement: reads of 15 ms and lookups of 26 ms on average, as
// unequal as those of the users.
func (s *sharedEndpoint) draw(e sharedEvent) sharedEvent {
	const sigma = 0.7
	mean := 15.0
	e.database = "feed"
	if s.random.Float64() < 0.2 {
		mean, e.database = 26, "view"
	}
	e.work = time.Duration(mean * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2) * float64(time.Millisecond))
	return e
}

func (s *sharedEndpoint) send(now time.Duration, home int) {
	h := &s.homes[home]
	for len(h.waiting) > 0 && h.inFlight < h.limit.Limit() {
		e := h.waiting[0]
		h.waiting = h.waiting[1:]
		if now-e.arrivedAt > sharedTarget {
			continue // refused
		}
		h.inFlight++
		e.sentAt, e.departs = now, true
		s.queued = append(s.queued, e)
	}
	for len(s.queued) > 0 && s.running < sharedSlots {
		e := s.queued[0]
		s.queued = s.queued[1:]
		s.running++
		e.at = now + e.work
		heap.Push(&s.events, e)
	}
}

func (s *sharedEndpoint) run(d time.Duration) {
	s.homes, s.inTarget, s.served = make([]sharedHome, len(s.perSecond)), make([]int, len(s.perSecond)), make([]int, len(s.perSecond))
	s.offered = make([]int, len(s.perSecond))
	for i := range s.homes {
		s.homes[i].limit.SetShare(sharedSlots, len(s.homes))
		s.arrive(0, i)
	}
	for len(s.events) > 0 && s.events[0].at < d {
		e := heap.Pop(&s.events).(sharedEvent)
		h := &s.homes[e.home]
		if !e.departs {
			s.arrive(e.at, e.home)
			e = s.draw(e)
			e.arrivedAt = e.at
			if e.at >= s.calm {
				s.offered[e.home]++
			}
			h.waiting = append(h.waiting, e)
			s.send(e.at, e.home)
			continue
		}
		s.running--
		h.inFlight--
		s.served[e.home]++
		h.limit.Observe(e.database, e.at-e.sentAt, len(h.waiting) > 0)
		if e.arrivedAt >= s.calm && e.at-e.arrivedAt <= sharedTarget {
			s.inTarget[e.home]++
		}
		s.send(e.at, e.home)
	}
}

// offer runs a shared endpoint with arrivals each second at its homes for half a minute, after
// some seconds of calm.
func offer(seed uint64, perSecond ...float64) *sharedEndpoint {
	const calm, period = 10 * time.Second, 40 * time.Second
	s := &sharedEndpoint{random: rand.New(rand.NewPCG(seed, 1)), perSecond: perSecond, calm: calm}
	s.run(period)
	return s
}

// TestUnevenHomes offers three quarters of an endpoint's load to one of its four home
// instances, as while the demand of one data centre peaks and all reads of a group go to its
// primary. What the endpoint can run must not wait behind one home's even share.
func TestUnevenHomes(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		s := offer(seed, 130, 17, 17, 17)
		offered, inTarget := 0, 0
		for i := range s.homes {
			offered += s.offered[i]
			inTarget += s.inTarget[i]
		}
		is.True(inTarget > offered*9/10) // 181 statements of 17 ms a second keep four slots busy for four fifths of the time
	}
}

// TestOverloadedHomes overloads an endpoint from all of its four home instances. They must
// stay near their even shares, so that statements wait where they are ordered.
func TestOverloadedHomes(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		s := offer(seed, 120, 120, 120, 120)
		total := 0
		for _, n := range s.served {
			total += n
		}
		for _, n := range s.served {
			is.True(n > total/len(s.served)/2) // each home gets half of an even share at least
		}
	}
}
