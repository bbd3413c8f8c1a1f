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

// queueLimitPatch returns a patch that sets the queue limit.
func queueLimitPatch(n int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"limits":{"queue":%d}}`, n))
}

// TestSpread checks that every instance adopts a new version: with a healthy
// platform, with a lost answer of the platform, and with a watcher killed.
func TestSpread(t *testing.T) {
	h := newHarness(t)
	for i := range 4 {
		h.startInstance(fmt.Sprint("a", i), "a")
		h.startInstance(fmt.Sprint("b", i), "b")
	}
	h.awaitInstances(8)
	h.submit(h.instances["a0"], h.firstPatch())
	h.awaitVersion()
	h.setPlatformFaults(`{"lose_answers":1}`)
	h.submit(h.instances["b1"], queueLimitPatch(7))
	h.awaitVersion()
	h.kill(h.watcher("a"))
	h.submit(h.instances["b2"], queueLimitPatch(8))
	h.awaitVersion()
}

// watcher returns the instance that watches the platform for its data centre and
// broadcasts new versions.
func (h *harness) watcher(dc string) *instance {
	h.t.Helper()
	for _, p := range h.instances {
		if got, err := p.fetchStatus(); err == nil && got.Rank == 0 && string(got.DataCentre) == dc {
			return p
		}
	}
	h.t.Fatal("no watcher in " + dc)
	return nil
}

// TestStartFromPeers checks that an instance that starts while the platform is
// down gets the newest version from a peer, and that no instance returns to an
// older version when the platform is up again.
func TestStartFromPeers(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	a := h.startInstance("a", "x")
	h.awaitInstances(1)
	h.submit(a, h.firstPatch())
	h.submit(a, queueLimitPatch(5))
	h.awaitVersion()
	h.setPlatformFaults(`{"down":true}`)
	h.startInstance("b", "y", fmt.Sprintf(`, "seeds": [%q]`, a.peers))
	h.awaitVersion()
	got, err := h.instances["b"].fetchStatus()
	is.NoErr(err)
	is.Equal(got.Source, patch.SourcePeer)
	h.setPlatformFaults(`{}`)
	h.submit(h.instances["b"], queueLimitPatch(6))
	h.awaitVersion()
}

// TestRace submits conflicting patches against one version through different
// instances while the platform's answers are lost. Exactly one patch must become
// the next version, and every other one must be reported as a conflict.
func TestRace(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	for i := range 3 {
		h.startInstance(fmt.Sprint("i", i), "x")
	}
	h.awaitInstances(3)
	h.submit(h.instances["i0"], h.firstPatch())
	h.awaitVersion()
	for round := range 5 {
		h.setPlatformFaults(`{"lose_answers":4,"slow":"5ms"}`)
		winners := make(chan string, len(h.instances))
		var all sync.WaitGroup
		for name, p := range h.instances {
			all.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				r := patch.Request{ID: fmt.Sprint(name, "-", round), Base: h.version, Who: name, Why: "race", Patch: queueLimitPatch(100 + 10*round + int(name[1]))}
				a, err := p.client().Submit(ctx, r)
				var refused *operator.Error
				switch {
				case err == nil && a.Version == h.version+1:
					winners <- r.ID
				case !errors.As(err, &refused) || refused.Code != core.CodePatchConflict:
					t.Errorf("%s: version %d, error %v", name, a.Version, err)
				}
			})
		}
		all.Wait()
		is.Equal(len(winners), 1)
		h.version++
		h.awaitVersion()
		var history operator.History
		is.NoErr(h.instances["i0"].client().Get(context.Background(), "/config/history", &history))
		is.Equal(history.Entries[len(history.Entries)-1].ID, <-winners)
	}
}

// TestPlatformUnreachable checks that an instance that cannot reach the platform
// refuses patches with CodePlatformDown and adopts patches submitted elsewhere
// through its peers.
func TestPlatformUnreachable(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	a := h.startInstance("a", "x")
	h.awaitInstances(1)
	h.submit(a, h.firstPatch())
	reachable := h.platform
	h.platform = freeAddress(t)
	b := h.startInstance("b", "y", fmt.Sprintf(`, "seeds": [%q]`, a.peers))
	h.platform = reachable
	h.awaitVersion()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := b.client().Submit(ctx, patch.Request{ID: "cut-off", Base: h.version, Who: "w", Why: "y", Patch: queueLimitPatch(4)})
	var refused *operator.Error
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, core.CodePlatformDown)
	h.submit(a, queueLimitPatch(5))
	h.awaitVersion()
}
