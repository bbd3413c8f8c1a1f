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

// askKey identifies another instance's request for a slot.
type askKey struct {
	from core.Instance
	id   uint64
}

// answerAsk answers a pending request for a slot. If the requester no longer
// waits, the slot lease expires.
func (p *endpointPool) answerAsk(g admit.Grant) {
	k := askKey{g.To, g.ID}
	if response, ok := p.pendingAsks[k]; ok {
		delete(p.pendingAsks, k)
		response <- g
	}
}

// handleAsk handles another instance's request for a slot and waits for the
// response.
func (p *endpointPool) handleAsk(ctx context.Context, a admit.Ask) (admit.Grant, error) {
	response := make(chan admit.Grant, 1)
	k := askKey{a.From, a.ID}
	now := time.Now()
	p.mu.Lock()
	p.pendingAsks[k] = response
	p.applyOutput(now, p.sharing.HandleAsk(now, a))
	p.mu.Unlock()
	select {
	case g := <-response:
		return g, nil
	case <-ctx.Done():
		p.mu.Lock()
		delete(p.pendingAsks, k)
		p.mu.Unlock()
		return admit.Grant{}, ctx.Err()
	}
}

func (p *endpointPool) sendAsk(m admit.BorrowMessage) {
	in := p.instance
	g, err := admit.Grant{}, errNoAddress
	if to, ok := in.addressOf(m.To); ok {
		g, err = in.lendingClient.RequestSlot(context.Background(), to, p.name, m.Ask)
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.applyOutput(now, p.sharing.HandleFailure(now, m.To, m.Ask.ID))
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
		_ = p.instance.lendingClient.ReturnSlot(context.Background(), to, p.name, m.Ask)
	}
}

// sendRecall asks the borrower to return a slot; a lost recall is followed by
// another.
func (p *endpointPool) sendRecall(r admit.Recall) {
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

// handleAsk handles another instance's request for a slot.
func (in *Instance) handleAsk(ctx context.Context, e core.Endpoint, a admit.Ask) (admit.Grant, error) {
	p := in.endpointPool(e)
	if p == nil {
		return admit.Grant{}, fmt.Errorf("instance: endpoint %q is not configured on this instance", e)
	}
	return p.handleAsk(ctx, a)
}

// handleReturn handles the return of a slot by a borrower.
func (in *Instance) handleReturn(e core.Endpoint, a admit.Ask) {
	if p := in.endpointPool(e); p != nil {
		now := time.Now()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.applyOutput(now, p.sharing.HandleReturn(now, a))
	}
}

// handleRecall handles an owner's recall of a slot.
func (in *Instance) handleRecall(e core.Endpoint, from core.Instance, r admit.Recall) {
	if p := in.endpointPool(e); p != nil {
		now := time.Now()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.applyOutput(now, p.sharing.HandleRecall(now, from, r))
	}
}
