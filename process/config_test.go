package process

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"anviltack/core/patch"
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
