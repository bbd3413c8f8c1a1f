package instance

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"anviltack/core"
	"anviltack/core/member"
	"anviltack/core/patch"
	"anviltack/io/bearer"
	"anviltack/io/peer"
	"anviltack/settings"
)

const (
	// heartbeatPeriod is the time between two heartbeats to one peer.
	heartbeatPeriod = time.Second
	// pullQueueSize is how many pulls may be queued; a pull dropped from a full
	// queue is triggered again by a later heartbeat.
	pullQueueSize = 16
)

// heartbeat returns this instance's current heartbeat message.
func (in *Instance) heartbeat() member.Heartbeat {
	view := in.membership.Load()
	return member.Heartbeat{
		Instance: view.self.Instance, DataCentre: view.self.DataCentre, Address: view.self.Address,
		Version: view.document.Version, Uptime: time.Since(in.startedAt), Draining: view.self.State == member.StateLeaving,
		Leaving: view.leaving, LeavingIndex: view.leavingIndex,
	}
}

// handleHeartbeat records a heartbeat and queues a pull if its sender has a
// newer configuration.
func (in *Instance) handleHeartbeat(received member.Heartbeat) {
	in.control.tryPost(func(now time.Time) { in.control.membership.recordHeartbeat(now, received) })
	if received.Version > in.membership.Load().document.Version {
		select {
		case in.pullSources <- received.Address:
		default:
		}
	}
}

// heartbeatSender exchanges heartbeats with the neighbours.
type heartbeatSender struct {
	instance *Instance
}

// Serve sends heartbeats until the context ends.
func (s *heartbeatSender) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		start := time.Now()
		s.sendRound(ctx, s.instance.membership.Load().heartbeatsDue)
		sleep(ctx, heartbeatPeriod-time.Since(start))
	}
	return ctx.Err()
}

// sendRound sends one heartbeat to each of the members and to each seed that is
// not a member yet.
func (s *heartbeatSender) sendRound(ctx context.Context, members []member.Member) {
	view := s.instance.membership.Load()
	var receivers []netip.AddrPort
	for _, m := range members {
		receivers = append(receivers, m.Address)
	}
	for _, a := range s.instance.settings.Seeds {
		if a != view.self.Address && !view.hasMember(a) {
			receivers = append(receivers, a)
		}
	}
	var wg sync.WaitGroup
	for _, a := range receivers {
		wg.Go(func() {
			if response, err := s.instance.peers.Heartbeat(ctx, a, s.instance.heartbeat()); err == nil {
				s.instance.handleHeartbeat(response)
			}
		})
	}
	wg.Wait()
}

// hasMember reports whether a member has the address.
func (v *membershipView) hasMember(a netip.AddrPort) bool {
	return slices.ContainsFunc(v.members, func(m member.Member) bool { return m.Address == a })
}

// configPuller fetches newer configurations from peers.
type configPuller struct {
	instance *Instance
}

// Serve carries out queued pulls until the context ends.
func (p *configPuller) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case from := <-p.instance.pullSources:
			p.pull(ctx, from)
		}
	}
}

func (p *configPuller) pull(ctx context.Context, from netip.AddrPort) {
	u, err := p.instance.peers.Pull(ctx, from, p.instance.membership.Load().document.Version)
	if err != nil {
		p.instance.event(core.EventConfigSource).WithField("peer", from).WithError(err).Warn("could not pull the configuration from a peer")
		return
	}
	if u.Document == nil {
		return
	}
	c := p.instance.control
	c.post(ctx, func(now time.Time) { c.membership.adopt(now, *u.Document, patch.SourcePeer) })
}

// peerToken returns the bearer token for requests between instances, derived
// from the operators' token, which is the same throughout a deployment.
func peerToken(s settings.Settings) string { return bearer.Derive(s.Token, "peer") }

// peerHandlers returns the handlers of requests from other instances.
func (in *Instance) peerHandlers() peer.Handlers {
	return peer.Handlers{
		Heartbeat: func(_ context.Context, received member.Heartbeat) member.Heartbeat {
			in.handleHeartbeat(received)
			return in.heartbeat()
		},
		Pull: func(_ context.Context, version uint64) peer.Update {
			current := in.membership.Load().document
			if current.Version <= version {
				return peer.Update{Version: current.Version}
			}
			compact := current.WithNewestEntryOnly()
			return peer.Update{Version: current.Version, Document: &compact}
		},
		Push:        in.handlePush,
		RequestSlot: in.handleSlotRequest,
		ReturnSlot:  in.handleReturn,
		RecallSlot:  in.handleRecall,
		Opinion:     in.handleOpinionRequest,
		Promoted:    in.handlePromotion,
	}
}

// handlePush adopts an update that a peer pushed and forwards it.
func (in *Instance) handlePush(ctx context.Context, u peer.Update) (uint64, error) {
	current := in.membership.Load().document
	next, err := applyUpdate(current, u)
	in.forwardUpdate(u, next, err == nil)
	if err != nil {
		return current.Version, err
	}
	done := make(chan struct{})
	in.control.post(ctx, func(now time.Time) {
		defer close(done)
		in.control.membership.adoptPushed(now, next, u.From)
	})
	select {
	case <-done:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	return max(current.Version, next.Version), nil
}

// applyUpdate returns the document that results from an update, or the current
// one if the update is not newer.
func applyUpdate(current patch.Document, u peer.Update) (patch.Document, error) {
	switch {
	case u.Version <= current.Version:
		return current, nil
	case u.Document != nil:
		return *u.Document, nil
	default:
		return current.ApplyEntries(u.Entries)
	}
}

// forwardUpdate queues an update for the instances further down the broadcast
// tree.
func (in *Instance) forwardUpdate(u peer.Update, d patch.Document, complete bool) {
	subtrees := member.Subtrees(u.Receivers, member.DefaultFanOut)
	if len(subtrees) == 0 {
		return
	}
	if complete {
		compact := d.WithNewestEntryOnly()
		u.Document = &compact
	}
	u.From = in.settings.DataCentre
	select {
	case in.broadcasts <- broadcast{update: u, subtrees: subtrees}:
	default:
	}
}
