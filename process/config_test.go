package process

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"anviltack/core"
	"anviltack/core/patch"
	"anviltack/io/operator"
)

func queuePatch(n int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"limits":{"queue":%d}}`, n))
}

// TestSpread checks that a version comes into force everywhere: with the
// platform healthy, with lost answers, and with a watcher killed.
func TestSpread(t *testing.T) {
	s := newSite(t)
	for i := range 4 {
		s.start(fmt.Sprint("a", i), "a")
		s.start(fmt.Sprint("b", i), "b")
	}
	s.awaitMembers(8)
	s.submit(s.instances["a0"], s.firstPatch())
	s.awaitVersion()
	s.fault(`{"lose_answers":1}`)
	s.submit(s.instances["b1"], queuePatch(7))
	s.awaitVersion()
	s.kill(s.watcher("a"))
	s.submit(s.instances["b2"], queuePatch(8))
	s.awaitVersion()
}

// watcher returns the instance of a data centre that spreads what it watches.
func (s *site) watcher(dc string) *instance {
	s.t.Helper()
	for _, p := range s.instances {
		if got, err := p.statusOf(); err == nil && got.Rank == 0 && string(got.DataCentre) == dc {
			return p
		}
	}
	s.t.Fatal("no watcher in " + dc)
	return nil
}

// TestStartFromPeers checks that an instance comes up with the newest version
// while the platform is down, and that nobody goes back when the platform
// returns.
func TestStartFromPeers(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	a := s.start("a", "x")
	s.awaitMembers(1)
	s.submit(a, s.firstPatch())
	s.submit(a, queuePatch(5))
	s.awaitVersion()
	s.fault(`{"down":true}`)
	s.start("b", "y", fmt.Sprintf(`, "seeds": [%q]`, a.peers))
	s.awaitVersion()
	got, err := s.instances["b"].statusOf()
	is.NoErr(err)
	is.Equal(got.Source, patch.SourcePeer)
	s.fault(`{}`)
	s.submit(s.instances["b"], queuePatch(6))
	s.awaitVersion()
}

// TestRace lets operators submit against one version at different instances
// while answers are lost. One of them wins each version, and each is told the
// truth.
func TestRace(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	for i := range 3 {
		s.start(fmt.Sprint("i", i), "x")
	}
	s.awaitMembers(3)
	s.submit(s.instances["i0"], s.firstPatch())
	s.awaitVersion()
	for round := range 5 {
		s.fault(`{"lose_answers":4,"slow":"5ms"}`)
		winners := make(chan string, len(s.instances))
		var all sync.WaitGroup
		for name, p := range s.instances {
			all.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				defer cancel()
				r := patch.Request{ID: fmt.Sprint(name, "-", round), Base: s.version, Who: name, Why: "race", Patch: queuePatch(100 + 10*round + int(name[1]))}
				a, err := p.client().Submit(ctx, r)
				var refused *operator.Error
				switch {
				case err == nil && a.Version == s.version+1:
					winners <- r.ID
				case !errors.As(err, &refused) || refused.Code != core.CodePatchConflict:
					t.Errorf("%s: version %d, error %v", name, a.Version, err)
				}
			})
		}
		all.Wait()
		is.Equal(len(winners), 1)
		s.version++
		s.awaitVersion()
		var h operator.History
		is.NoErr(s.instances["i0"].client().Get(context.Background(), "/config/history", &h))
		is.Equal(h.Entries[len(h.Entries)-1].ID, <-winners)
	}
}

// TestCutOff checks that an instance that cannot reach the platform refuses
// patches truthfully and gets those of others from its peers.
func TestCutOff(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	a := s.start("a", "x")
	s.awaitMembers(1)
	s.submit(a, s.firstPatch())
	reachable := s.platform
	s.platform = freeAddress(t)
	b := s.start("b", "y", fmt.Sprintf(`, "seeds": [%q]`, a.peers))
	s.platform = reachable
	s.awaitVersion()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := b.client().Submit(ctx, patch.Request{ID: "cut-off", Base: s.version, Who: "w", Why: "y", Patch: queuePatch(4)})
	var refused *operator.Error
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, core.CodePlatformDown)
	s.submit(a, queuePatch(5))
	s.awaitVersion()
}
