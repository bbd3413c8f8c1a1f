package proxy

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"anviltack/clock"
	"anviltack/core"
	"anviltack/core/voter"
)

var soakSeed = flag.Uint64("soakseed", 1, "seed of TestSoakOfVoters")

// minVotersSoak is the least duration of TestSoakOfVoters, in which each fault comes several
// times.
const minVotersSoak = 30 * time.Second

// newEndpoint returns an empty endpoint with a name and an address of its own.
func (s *soak) newEndpoint() *soakEndpoint {
	s.started++
	return &soakEndpoint{term: 1, info: Endpoint{
		StartedAt: int64(s.started),
		Name:      core.Endpoint(fmt.Sprint("e", s.started)), Group: "g", Slots: 4, Role: core.RoleReplica,
		Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(s.started)),
	}}
}

// list returns the entries of the directory.
func (s *soak) list() []Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Endpoint
	for _, e := range s.endpoints {
		if !e.unlisted {
			list = append(list, e.info)
		}
	}
	return list
}

// pause waits up to a time.
func pause(random *rand.Rand, most time.Duration) {
	time.Sleep(time.Duration(random.Int64N(int64(most))))
}

// injectChange lets something happen to the list of endpoints or to the instances.
func (s *soak) injectChange(random *rand.Rand) {
	s.mu.Lock()
	e, i := s.endpoints[random.IntN(len(s.endpoints))], random.IntN(len(s.instances))
	s.mu.Unlock()
	switch random.IntN(6) {
	case 0:
		s.release(random, e)
	case 1:
		s.mu.Lock()
		s.ends[i]()
		s.mu.Unlock()
		pause(random, 300*time.Millisecond)
		s.startInstance(i)
	case 2, 3:
		s.crashOthers(random, e)
	default:
		s.crashUnlisted(random, e, random.IntN(4) == 0)
	}
	pause(random, time.Second)
}

// crashUnlisted lets an endpoint crash, lapses its entry, and brings it back: with its log and
// a new name, or empty under its name.
func (s *soak) crashUnlisted(random *rand.Rand, e *soakEndpoint, empty bool) {
	s.mu.Lock()
	e.crashed = true
	s.mu.Unlock()
	pause(random, time.Second)
	s.mu.Lock()
	e.unlisted = true
	s.mu.Unlock()
	pause(random, 2*time.Second)
	s.mu.Lock()
	s.restart(e)
	empty = empty && s.loseLog(e)
	s.started++
	e.crashed, e.unlisted, e.info.StartedAt = false, false, int64(s.started)
	if empty {
		e.log, e.applied, e.primary = nil, 0, false
	} else {
		e.info.Name = core.Endpoint("e" + strconv.Itoa(s.started))
	}
	s.mu.Unlock()
}

// loseLog reports whether the log of an endpoint may be lost: no voter's log is that was lost
// before. The caller holds the lock.
func (s *soak) loseLog(e *soakEndpoint) bool {
	isLost := func(v voter.Voter) bool {
		return v.Started <= s.lost.StartedAt && (v.Address == s.lost.Address || !v.Address.IsValid())
	}
	if slices.ContainsFunc(s.voters.set().Voters, isLost) {
		return false
	}
	s.lost = e.info
	return true
}

// crashOthers lets an endpoint receive nothing while all others crash.
func (s *soak) crashOthers(random *rand.Rand, e *soakEndpoint) {
	s.mu.Lock()
	e.notReceiving = true
	others := slices.DeleteFunc(slices.Clone(s.endpoints), func(o *soakEndpoint) bool { return o == e })
	s.mu.Unlock()
	pause(random, time.Second)
	var crashes sync.WaitGroup
	for _, o := range others {
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		crashes.Go(func() { s.crashUnlisted(own, o, false) })
	}
	crashes.Wait()
	s.mu.Lock()
	e.notReceiving = false
	s.mu.Unlock()
}

// release replaces an endpoint, the new one first. The old one ends once it is no voter, or is
// kept if that takes too long.
func (s *soak) release(random *rand.Rand, e *soakEndpoint) {
	s.mu.Lock()
	if e.info.Leaving || e.crashed {
		s.mu.Unlock()
		return
	}
	s.endpoints = append(s.endpoints, s.newEndpoint())
	s.mu.Unlock()
	pause(random, time.Second)
	s.mu.Lock()
	e.info.Leaving = true
	s.mu.Unlock()
	isVoter := true
	for range 100 {
		pause(random, 200*time.Millisecond)
		set := s.voters.set()
		s.mu.Lock()
		address := e.info.Address
		s.mu.Unlock()
		if isVoter = slices.ContainsFunc(set.Voters, func(v voter.Voter) bool { return v.Address == address }); !isVoter {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if isVoter {
		e.info.Leaving = false
		return
	}
	e.crashed, e.unlisted = true, true
	s.endpoints = slices.DeleteFunc(s.endpoints, func(o *soakEndpoint) bool { return o == e })
}

// TestSoakOfVoters injects three series of overlapping faults: those of TestSoak, and endpoints
// that crash, lose their entries and come back with or without their logs, are replaced, and
// instances that are killed and started again. It checks what TestSoak checks.
func TestSoakOfVoters(t *testing.T) {
	t.Parallel()
	s := newSoak(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	var callers, series sync.WaitGroup
	for i := range 12 {
		callers.Go(func() { s.runCaller(ctx, i) })
	}
	end := clock.Now().Add(max(*soakDuration, minVotersSoak))
	for i, inject := range []func(*rand.Rand){s.injectFault, s.injectChange, s.injectChange} {
		random := rand.New(rand.NewPCG(*soakSeed, uint64(i)))
		series.Go(func() {
			for clock.Now().Before(end) {
				inject(random)
			}
		})
	}
	series.Wait()
	cancel()
	callers.Wait()
	s.checkFinalLog(t)
	t.Logf("seed %d: %d writes acknowledged, %d rejected, %d promotions, voters %s", *soakSeed, s.writes, len(s.rejected), s.promotions, s.voters.set())
	for _, f := range s.violations {
		t.Error(f)
	}
}
