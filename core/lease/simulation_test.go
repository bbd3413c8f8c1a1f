package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"anviltack/core"
)

// storeState is what the simulated store holds of one lease.
type storeState struct {
	since  time.Time
	number uint64
	value  string
}

// holding is a lease that an instance acquired, and the promotion under it.
type holding struct {
	holder     string
	token      uint64
	acquiredAt time.Time
	// effectAt is when the promotion takes effect; zero before it is called.
	effectAt time.Time
}

// inactiveClaim is an instance's conclusion that no promotion under a lease acquired by
// asOf can still take effect.
type inactiveClaim struct{ asOf time.Time }

// leaseInstance is a simulated instance.
type leaseInstance struct {
	name  string
	lease Lease
	// era is the newest era that it has seen; start counts its processes.
	era   uint64
	start int
	// busyUntil is the end of its current attempt: an instance runs one at a time.
	busyUntil time.Time
}

// leaseSimulation lets instances acquire one lease over and over while the store loses
// and delays answers, is restored from older copies, and instances restart.
type leaseSimulation struct {
	random    *rand.Rand
	now       time.Time
	queue     []timedEvent
	instances []*leaseInstance
	// hidesEra makes the store report no era.
	hidesEra   bool
	era        uint64
	state      storeState
	history    []storeState
	downUntil  time.Time
	holdings   []*holding
	claims     []inactiveClaim
	lastToken  uint64
	lastHolder string
	promotions int
	restores   int
	violations []string
}

type timedEvent struct {
	at  time.Time
	run func()
}

func (s *leaseSimulation) after(d time.Duration, run func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.queue, at, func(e timedEvent, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	s.queue = slices.Insert(s.queue, i, timedEvent{at, run})
}

func (s *leaseSimulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.now = e.at
		e.run()
	}
}

func (s *leaseSimulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

func (s *leaseSimulation) violation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%v: ", s.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

func (s *leaseSimulation) reportedEra() uint64 {
	if s.hidesEra {
		return 0
	}
	return s.era
}

// replaceState changes the stored value.
func (s *leaseSimulation) replaceState(number uint64, value string) {
	s.state = storeState{since: s.now, number: number, value: value}
	s.history = append(s.history, s.state)
}

// restore brings back a copy some seconds old after a moment without answers.
func (s *leaseSimulation) restore() {
	age := s.upTo(6 * time.Second)
	copied := s.history[0]
	for _, h := range s.history {
		if !h.since.After(s.now.Add(-age)) {
			copied = h
		}
	}
	s.era++
	s.restores++
	s.downUntil = s.now.Add(s.upTo(time.Second))
	s.replaceState(copied.number, copied.value)
	s.after(time.Second+s.upTo(8*time.Second), s.restore)
}

// call carries a request to the store and its answer back. A request may arrive seconds
// late, its answer may be lost.
func (s *leaseSimulation) call(i *leaseInstance, late bool, execute func() func()) {
	d := time.Millisecond + s.upTo(4*time.Millisecond)
	if late && s.random.IntN(4) == 0 {
		d += s.upTo(4 * time.Second)
	}
	start := i.start
	s.after(d, func() {
		if s.now.Before(s.downUntil) {
			return
		}
		answer := execute()
		era := s.reportedEra()
		if s.random.IntN(8) == 0 {
			return
		}
		s.after(time.Millisecond+s.upTo(4*time.Millisecond), func() {
			if i.start != start || era < i.era {
				return
			}
			i.era = era
			answer()
		})
	})
}

// read reads the lease and hands over what was read and the time of the request.
func (s *leaseSimulation) read(i *leaseInstance, use func(r core.Revision, value string)) {
	asOf := s.now
	s.call(i, false, func() func() {
		r, value := core.Revision{Era: s.reportedEra(), Number: s.state.number}, s.state.value
		return func() {
			i.lease.Observe(s.now, r, value)
			if i.lease.IsInactive(r, asOf) {
				s.claims = append(s.claims, inactiveClaim{asOf})
			}
			use(r, value)
		}
	})
}

// swap replaces the value if its number is that of the revision. A request that was
// prepared in an earlier era is not sent, an answer from a later one is not used.
func (s *leaseSimulation) swap(i *leaseInstance, r core.Revision, v Value, done func(core.Revision)) {
	if i.era > r.Era {
		return
	}
	s.call(i, true, func() func() {
		era, swapped := s.reportedEra(), s.state.number == r.Number
		if swapped {
			s.replaceState(s.state.number+1, v.String())
		}
		executed := core.Revision{Era: era, Number: s.state.number}
		return func() {
			if swapped && era == r.Era {
				done(executed)
			}
		}
	})
}

// attempt tries to acquire the lease and to promote under it.
func (s *leaseSimulation) attempt(i *leaseInstance) {
	s.after(s.upTo(1500*time.Millisecond), func() { s.attempt(i) })
	if s.random.IntN(20) == 0 {
		i.lease, i.era, i.busyUntil = Lease{}, 0, time.Time{}
		i.start++
	}
	if s.now.Before(i.busyUntil) {
		return
	}
	start := i.start
	i.busyUntil = s.now.Add(100 * time.Millisecond)
	s.read(i, func(r core.Revision, _ string) {
		if i.lease.LacksEraValue(s.now) {
			s.swap(i, r, EraValue(r.Era), func(core.Revision) {})
			return
		}
		if i.lease.AcquireDelay(s.now, i.name) > 0 {
			return
		}
		requestedAt := s.now
		i.busyUntil = s.now.Add(ExpireAfter)
		v := Value{Holder: i.name, Nonce: fmt.Sprint(s.random.Uint32()), Era: r.Era}
		acquired := false
		acquire := func(executed core.Revision) {
			if !acquired && i.start == start {
				acquired = true
				s.hold(i, executed, requestedAt, v)
			}
		}
		s.swap(i, r, v, acquire)
		s.after(300*time.Millisecond, func() {
			if acquired || i.start != start {
				return
			}
			s.read(i, func(again core.Revision, value string) {
				if again.Era == r.Era && value == v.String() {
					acquire(again)
				}
			})
		})
	})
}

// hold promotes under an acquired lease at some time before it expires.
func (s *leaseSimulation) hold(i *leaseInstance, r core.Revision, requestedAt time.Time, v Value) {
	h := &holding{holder: i.name, acquiredAt: s.now}
	h.token, _ = r.Token()
	s.holdings = append(s.holdings, h)
	start := i.start
	s.after(s.upTo(Duration), func() {
		if i.start != start || Remaining(s.now, requestedAt) == 0 {
			return
		}
		s.promote(h)
		s.after(h.effectAt.Sub(s.now), func() {
			v.Released = true
			if i.start == start {
				s.swap(i, r, v, func(core.Revision) {})
			}
		})
	})
}

func (s *leaseSimulation) promote(h *holding) {
	s.promotions++
	for _, o := range s.holdings {
		if o.holder != h.holder && s.now.Before(o.effectAt) {
			s.violation("%s promotes with token %d while the promotion of %s with token %d is pending", h.holder, h.token, o.holder, o.token)
		}
	}
	if h.token < s.lastToken || h.token == s.lastToken && h.holder != s.lastHolder {
		s.violation("%s promotes with token %d after %s with token %d", h.holder, h.token, s.lastHolder, s.lastToken)
	}
	s.lastToken, s.lastHolder = h.token, h.holder
	h.effectAt = s.now.Add(s.upTo(time.Second))
	for _, c := range s.claims {
		if !h.acquiredAt.After(c.asOf) && h.effectAt.After(c.asOf) {
			s.violation("%s promotes under a lease of %v that was called inactive at %v", h.holder, h.acquiredAt.Sub(epoch), c.asOf.Sub(epoch))
		}
	}
}

func simulateLease(seed uint64, hidesEra bool) *leaseSimulation {
	s := &leaseSimulation{random: rand.New(rand.NewPCG(seed, 7)), now: epoch, hidesEra: hidesEra}
	s.replaceState(0, "")
	for n := range 2 + s.random.IntN(4) {
		i := &leaseInstance{name: fmt.Sprint("i", n)}
		s.instances = append(s.instances, i)
		s.after(s.upTo(time.Second), func() { s.attempt(i) })
	}
	s.after(time.Second+s.upTo(8*time.Second), s.restore)
	s.run(40 * time.Second)
	return s
}

// leaseSeeds is the number of simulations of one test.
const leaseSeeds = 300

// TestRestoredStore checks over many seeds that promotions do not overlap, that their
// tokens rise, and that none takes effect that was excluded, while the store is restored
// from older copies, also twice within seconds and in the middle of leases.
func TestRestoredStore(t *testing.T) {
	promotions, restores := 0, 0
	for seed := range uint64(leaseSeeds) {
		s := simulateLease(seed, false)
		promotions, restores = promotions+s.promotions, restores+s.restores
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, strings.Join(s.violations, "\n"))
		}
	}
	t.Logf("%d promotions, %d restores", promotions, restores)
	if promotions < leaseSeeds || restores < leaseSeeds {
		t.Errorf("%d promotions and %d restores prove nothing", promotions, restores)
	}
}

// TestRestoredStoreWithoutEras checks that the simulation finds the faults of a store
// that is restored and does not report its era.
func TestRestoredStoreWithoutEras(t *testing.T) {
	found := 0
	for seed := range uint64(leaseSeeds) {
		if len(simulateLease(seed, true).violations) > 0 {
			found++
		}
	}
	t.Logf("faults in %d of %d seeds", found, leaseSeeds)
	if found < leaseSeeds/10 {
		t.Errorf("faults in %d of %d seeds only", found, leaseSeeds)
	}
}
