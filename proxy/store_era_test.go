package proxy

import (
	"testing"

	"github.com/matryer/is"

	"anviltack/clock"
	"anviltack/core/lease"
)

// TestRestoreDelaysPromotion checks that a primary which dies just after the store was
// restored is replaced only once the leases of the earlier era must have expired, although
// the copy shows a lease that this instance holds itself.
func TestRestoreDelaysPromotion(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	sim := newSimulation(t)
	sim.startAndWait()
	restoredAt := clock.Now()
	sim.restoreStore("i1 1x")
	sim.setField(sim.find("p"), "dark", "yes")
	sim.promotions()
	is.True(clock.Now().Sub(restoredAt) >= lease.ExpireAfter)
	is.Equal(sim.proxy.counts.storeRestores.Count(), int64(1))
}

// TestLeaseFoundInLaterEra checks that a lease whose request got no answer is not used if
// it is found only after a restore.
func TestLeaseFoundInLaterEra(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	sim := newSimulation(t)
	sim.startAndWait()
	g := sim.proxy.placement.Load().groups["g"].groupControl
	value := lease.Value{Holder: "i1", Nonce: "1x"}
	sim.mu.Lock()
	sim.lease = VersionedValue{Value: value.String()}
	sim.lease.Revision.Number = 4
	sim.mu.Unlock()
	r, err := g.readAcquired(t.Context(), value)
	is.NoErr(err)
	is.Equal(r.Number, uint64(4))
	sim.restoreStore(value.String())
	_, err = g.readAcquired(t.Context(), value)
	is.Equal(err, errLeaseHeld)
}

// TestPromotionEndsOverRestore checks that a holder which learns of a restore between its
// lease and the promotion finishes it within the lease, and leaves its release unsent.
func TestPromotionEndsOverRestore(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	sim := newSimulation(t)
	sim.startAndWait()
	g := sim.proxy.placement.Load().groups["g"].groupControl
	held, err := g.acquireLease()
	is.NoErr(err)
	sim.restoreStore("")
	_, err = g.promoteAndWait(g.group.state.Load().endpoints[1], held)
	is.NoErr(err)
	g.releaseLease(held)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	is.Equal(sim.lease.Value, "") // the release was prepared in the earlier era
	held.requestedAt = held.requestedAt.Add(-lease.Duration)
	_, err = g.promoteAndWait(g.group.state.Load().endpoints[1], held)
	is.Equal(err, errLeaseExpired)
}
