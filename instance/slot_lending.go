package instance

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"anviltack/core"
	"anviltack/core/admit"
)

// lendingTimeout bounds each request of slot lending; the owner answers a
// request for a slot sooner.
const lendingTimeout = 2 * time.Second

// slotRequestKey identifies another instance's request for a slot.
type slotRequestKey struct {
	from core.Instance
	id   uint64
}

// answerSlotRequest answers a pending request for a slot. If the requester no longer
// waits, the slot lease expires.
func (p *endpointPool) answerSlotRequest(g admit.SlotGrant) {
	k := slotRequestKey{g.To, g.ID}
	if response, ok := p.pendingSlotRequests[k]; ok {
		delete(p.pendingSlotRequests, k)
		response <- g
	}
}

// handleSlotRequest handles another instance's request for a slot and waits for the
// response.
func (p *endpointPool) handleSlotRequest(ctx context.Context, r admit.SlotRequest) (admit.SlotGrant, error) {
	response := make(chan admit.SlotGrant, 1)
	k := slotRequestKey{r.From, r.ID}
	now := time.Now()
	p.mu.Lock()
	p.pendingSlotRequests[k] = response
	p.applyOutput(now, p.sharing.HandleSlotRequest(now, r))
	p.mu.Unlock()
	select {
	case g := <-response:
		return g, nil
	case <-ctx.Done():
		p.mu.Lock()
		delete(p.pendingSlotRequests, k)
		p.mu.Unlock()
		return admit.SlotGrant{}, ctx.Err()
	}
}

func (p *endpointPool) sendSlotRequest(m admit.BorrowMessage) {
	in := p.instance
	g, err := admit.SlotGrant{}, errNoAddress
	if to, ok := in.addressOf(m.To); ok {
		g, err = in.lendingClient.RequestSlot(context.Background(), to, p.name, m.Request)
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.applyOutput(now, p.sharing.HandleFailure(now, m.To, m.Request.ID))
		return
	}
	if g.Slot != admit.NoSlot {
		in.counters.slotsBorrowed.Inc(1)
	}
	p.applyOutput(now, p.sharing.HandleGrant(now, m.To, g))
}

// sendReturn returns a slot to its owner; if the message is lost, the slot
// remains unused until its lease expires.
func (p *endpointPool) sendReturn(m admit.BorrowMessage) {
	if to, ok := p.instance.addressOf(m.To); ok {
		_ = p.instance.lendingClient.ReturnSlot(context.Background(), to, p.name, m.Request)
	}
}

// sendRecall asks the borrower to return a slot; a lost recall is followed by
// another.
func (p *endpointPool) sendRecall(r admit.SlotRecall) {
	in := p.instance
	if to, ok := in.addressOf(r.To); ok {
		_ = in.lendingClient.RecallSlot(context.Background(), to, p.name, in.settings.Instance, r)
	}
}

// addressOf returns an instance's address for peers.
func (in *Instance) addressOf(name core.Instance) (netip.AddrPort, bool) {
	for _, m := range in.membership.Load().members {
		if m.Instance == name {
			return m.Address, m.Address.IsValid()
		}
	}
	return netip.AddrPort{}, false
}

var errNoAddress = fmt.Errorf("instance: the address of the slot's owner is not known")

// endpointPool returns the pool of an endpoint, nil if the endpoint is not
// configured.
func (in *Instance) endpointPool(e core.Endpoint) *endpointPool {
	for _, g := range in.View().Groups {
		if m, ok := g.State().Members[e]; ok {
			return m.pool
		}
	}
	return nil
}

// handleSlotRequest handles another instance's request for a slot.
func (in *Instance) handleSlotRequest(ctx context.Context, e core.Endpoint, r admit.SlotRequest) (admit.SlotGrant, error) {
	p := in.endpointPool(e)
	if p == nil {
		return admit.SlotGrant{}, fmt.Errorf("instance: endpoint %q is not configured on this instance", e)
	}
	return p.handleSlotRequest(ctx, r)
}

// handleReturn handles the return of a slot by a borrower.
func (in *Instance) handleReturn(e core.Endpoint, r admit.SlotRequest) {
	if p := in.endpointPool(e); p != nil {
		now := time.Now()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.applyOutput(now, p.sharing.HandleReturn(now, r))
	}
}

// handleRecall handles an owner's recall of a slot.
func (in *Instance) handleRecall(e core.Endpoint, from core.Instance, r admit.SlotRecall) {
	if p := in.endpointPool(e); p != nil {
		now := time.Now()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.applyOutput(now, p.sharing.HandleRecall(now, from, r))
	}
}
