package peer

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"anviltack/core"
	"anviltack/core/admit"
	"anviltack/io/peer/wire"
)

// RequestSlot asks the owner of an endpoint's slot to lend it or to renew its lease.
func (c *Client) RequestSlot(ctx context.Context, owner netip.AddrPort, e core.Endpoint, r admit.SlotRequest) (admit.SlotGrant, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	m, err := c.peer(owner).Ask(ctx, encodeSlotRequest(e, r))
	if err != nil {
		return admit.SlotGrant{}, fmt.Errorf("peer: could not request a slot: %w", err)
	}
	return admit.SlotGrant{ID: r.ID, To: r.From, Slot: int(m.GetSlot()), Lease: microseconds(m.GetLeaseUs())}, nil
}

// ReturnSlot returns a slot to its owner.
func (c *Client) ReturnSlot(ctx context.Context, owner netip.AddrPort, e core.Endpoint, r admit.SlotRequest) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if _, err := c.peer(owner).Return(ctx, encodeSlotRequest(e, r)); err != nil {
		return fmt.Errorf("peer: could not return a slot: %w", err)
	}
	return nil
}

// RecallSlot asks a borrower to return a slot that self owns.
func (c *Client) RecallSlot(ctx context.Context, to netip.AddrPort, e core.Endpoint, self core.Instance, r admit.SlotRecall) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.peer(to).Recall(ctx, &wire.SlotRecall{
		Endpoint: string(e), Instance: string(self), Id: r.ID, Slot: int32(r.Slot), QuantumUs: uint64(max(r.Quantum.Microseconds(), 0)),
	})
	if err != nil {
		return fmt.Errorf("peer: could not recall a slot: %w", err)
	}
	return nil
}

func encodeSlotRequest(e core.Endpoint, r admit.SlotRequest) *wire.SlotAsk {
	return &wire.SlotAsk{Endpoint: string(e), Instance: string(r.From), Id: r.ID, Slot: int32(r.Slot), Demand: uint32(max(r.Demand, 0))}
}

func decodeSlotRequest(m *wire.SlotAsk) (core.Endpoint, admit.SlotRequest) {
	return core.Endpoint(m.GetEndpoint()), admit.SlotRequest{
		ID: m.GetId(), From: core.Instance(m.GetInstance()), Slot: int(m.GetSlot()), Demand: int(m.GetDemand()),
	}
}

// maxMicroseconds is the largest number of microseconds that fits time.Duration.
const maxMicroseconds = uint64(1<<63-1) / uint64(time.Microsecond)

func microseconds(n uint64) time.Duration {
	return time.Duration(min(n, maxMicroseconds)) * time.Microsecond
}

// Ask handles a request for a slot.
func (s *server) Ask(ctx context.Context, m *wire.SlotAsk) (*wire.SlotGrant, error) {
	if s.handlers.RequestSlot == nil {
		return nil, errNotImplemented("Ask")
	}
	if m.GetInstance() == "" {
		return nil, twirp.RequiredArgumentError("instance")
	}
	e, a := decodeSlotRequest(m)
	g, err := s.handlers.RequestSlot(ctx, e, a)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &wire.SlotGrant{Slot: int32(g.Slot), LeaseUs: uint64(max(g.Lease.Microseconds(), 0))}, nil
}

// Return handles the return of a slot.
func (s *server) Return(_ context.Context, m *wire.SlotAsk) (*wire.Acknowledgement, error) {
	if s.handlers.ReturnSlot == nil {
		return nil, errNotImplemented("Return")
	}
	s.handlers.ReturnSlot(decodeSlotRequest(m))
	return &wire.Acknowledgement{}, nil
}

// Recall handles the recall of a slot.
func (s *server) Recall(_ context.Context, m *wire.SlotRecall) (*wire.Acknowledgement, error) {
	if s.handlers.RecallSlot == nil {
		return nil, errNotImplemented("Recall")
	}
	s.handlers.RecallSlot(core.Endpoint(m.GetEndpoint()), core.Instance(m.GetInstance()),
		admit.SlotRecall{ID: m.GetId(), Slot: int(m.GetSlot()), Quantum: microseconds(m.GetQuantumUs())})
	return &wire.Acknowledgement{}, nil
}
