package instance

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"anviltack/core"
	"anviltack/core/admit"
)

// lendTimeout bounds each call; an ask is held for less.
const lendTimeout = 2 * time.Second

// askKey names an ask of another instance.
type askKey struct {
	from core.Instance
	id   uint64
}

// grant answers a held ask. Where the asker has gone the lease lapses.
func (l *links) grant(g admit.Grant) {
	k := askKey{g.To, g.ID}
	if held, ok := l.asks[k]; ok {
		delete(l.asks, k)
		held <- g
	}
}

// hold takes an ask of another instance and waits for its answer.
func (l *links) hold(ctx context.Context, a admit.Ask) (admit.Grant, error) {
	answer := make(chan admit.Grant, 1)
	k := askKey{a.From, a.ID}
	now := time.Now()
	l.mu.Lock()
	l.asks[k] = answer
	l.apply(now, l.sharing.HandleAsk(now, a))
	l.mu.Unlock()
	select {
	case g := <-answer:
		return g, nil
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.asks, k)
		l.mu.Unlock()
		return admit.Grant{}, ctx.Err()
	}
}

func (l *links) sendAsk(m admit.BorrowMessage) {
	in := l.instance
	g, err := admit.Grant{}, errNoAddress
	if to, ok := in.addressOf(m.To); ok {
		g, err = in.lendingClient.RequestSlot(context.Background(), to, l.name, m.Ask)
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.apply(now, l.sharing.HandleFailure(now, m.To, m.Ask.ID))
		return
	}
	if g.Slot != admit.NoSlot {
		in.counters.slotsBorrowed.Inc(1)
	}
	l.apply(now, l.sharing.HandleGrant(now, m.To, g))
}

// sendReturn gives a slot back; a lost return costs the rest of the lease.
func (l *links) sendReturn(m admit.BorrowMessage) {
	if to, ok := l.instance.addressOf(m.To); ok {
		_ = l.instance.lendingClient.ReturnSlot(context.Background(), to, l.name, m.Ask)
	}
}

// sendRecall asks for a slot; a lost recall is followed by another.
func (l *links) sendRecall(r admit.Recall) {
	in := l.instance
	if to, ok := in.addressOf(r.To); ok {
		_ = in.lendingClient.RecallSlot(context.Background(), to, l.name, in.settings.Instance, r)
	}
}

// addressOf returns where an instance's peers reach it.
func (in *Instance) addressOf(name core.Instance) (netip.AddrPort, bool) {
	for _, m := range in.membership.Load().members {
		if m.Instance == name {
			return m.Address, m.Address.IsValid()
		}
	}
	return netip.AddrPort{}, false
}

var errNoAddress = fmt.Errorf("instance: the owner's address is not known")

// linksTo returns the links to an endpoint, nil when it is not configured.
func (in *Instance) linksTo(e core.Endpoint) *links {
	for _, g := range in.View().Groups {
		if m, ok := g.State().Members[e]; ok {
			return m.connections
		}
	}
	return nil
}

// asked answers another instance's ask for a slot.
func (in *Instance) asked(ctx context.Context, e core.Endpoint, a admit.Ask) (admit.Grant, error) {
	l := in.linksTo(e)
	if l == nil {
		return admit.Grant{}, fmt.Errorf("instance: endpoint %q is not in use here", e)
	}
	return l.hold(ctx, a)
}

// returned takes a slot back from another instance.
func (in *Instance) returned(e core.Endpoint, a admit.Ask) {
	if l := in.linksTo(e); l != nil {
		now := time.Now()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.apply(now, l.sharing.HandleReturn(now, a))
	}
}

// recalled takes in an owner's recall of a slot.
func (in *Instance) recalled(e core.Endpoint, from core.Instance, r admit.Recall) {
	if l := in.linksTo(e); l != nil {
		now := time.Now()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.apply(now, l.sharing.HandleRecall(now, from, r))
	}
}
