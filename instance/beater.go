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
	// beatPeriod is the time between two heartbeats to one peer.
	beatPeriod = time.Second
	// pullQueue is how many pulls may wait; later heartbeats make up for more.
	pullQueue = 16
)

// beat returns what this instance tells of itself.
func (in *Instance) beat() member.Heartbeat {
	f := in.fleet.Load()
	return member.Heartbeat{
		Instance: f.self.Instance, DataCentre: f.self.DataCentre, Address: f.self.Address,
		Version: f.document.Version, Uptime: time.Since(in.started), Draining: f.self.State == member.StateLeaving,
		Leaving: f.leaving, LeavingIndex: f.leavingIndex,
	}
}

// heard takes in a heartbeat and pulls the configuration of a peer that has a
// newer one.
func (in *Instance) heard(b member.Heartbeat) {
	in.control.offer(func(now time.Time) { in.control.fleet.hear(now, b) })
	if b.Version > in.fleet.Load().document.Version {
		select {
		case in.pulls <- b.Address:
		default:
		}
	}
}

// beater exchanges heartbeats with the neighbours.
type beater struct {
	instance *Instance
}

// Serve sends heartbeats until the context ends.
func (b *beater) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		start := time.Now()
		b.round(ctx, b.instance.fleet.Load().due)
		sleep(ctx, beatPeriod-time.Since(start))
	}
	return ctx.Err()
}

// round sends one heartbeat to each of the members and to each seed that is no
// member yet.
func (b *beater) round(ctx context.Context, members []member.Member) {
	f := b.instance.fleet.Load()
	var to []netip.AddrPort
	for _, m := range members {
		to = append(to, m.Address)
	}
	for _, a := range b.instance.settings.Seeds {
		if a != f.self.Address && !f.knows(a) {
			to = append(to, a)
		}
	}
	var all sync.WaitGroup
	for _, a := range to {
		all.Go(func() {
			if got, err := b.instance.peers.Heartbeat(ctx, a, b.instance.beat()); err == nil {
				b.instance.heard(got)
			}
		})
	}
	all.Wait()
}

// knows reports whether an address is that of a member.
func (f *fleetView) knows(a netip.AddrPort) bool {
	return slices.ContainsFunc(f.members, func(m member.Member) bool { return m.Address == a })
}

// puller fetches newer configurations from peers.
type puller struct {
	instance *Instance
}

// Serve pulls until the context ends.
func (p *puller) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case from := <-p.instance.pulls:
			p.pull(ctx, from)
		}
	}
}

func (p *puller) pull(ctx context.Context, from netip.AddrPort) {
	u, err := p.instance.peers.Pull(ctx, from, p.instance.fleet.Load().document.Version)
	if err != nil {
		p.instance.event(core.EventConfigSource).WithField("peer", from).WithError(err).Warn("no configuration from a peer")
		return
	}
	if u.Document == nil {
		return
	}
	c := p.instance.control
	c.post(ctx, func(now time.Time) { c.fleet.offer(now, *u.Document, patch.SourcePeer) })
}

// peerToken is what instances show each other; all of a deployment have the same
// operators' token.
func peerToken(s settings.Settings) string { return bearer.Derive(s.Token, "peer") }

// peerHandlers answer other instances.
func (in *Instance) peerHandlers() peer.Handlers {
	return peer.Handlers{
		Heartbeat: func(_ context.Context, b member.Heartbeat) member.Heartbeat {
			in.heard(b)
			return in.beat()
		},
		Pull: func(_ context.Context, version uint64) peer.Update {
			held := in.fleet.Load().document
			if held.Version <= version {
				return peer.Update{Version: held.Version}
			}
			brief := held.WithNewestEntryOnly()
			return peer.Update{Version: held.Version, Document: &brief}
		},
		Push:        in.pushed,
		RequestSlot: in.handleAsk,
		ReturnSlot:  in.handleReturn,
		RecallSlot:  in.handleRecall,
		Opinion:     in.opinion,
		Promoted:    in.promoted,
	}
}

// pushed takes in an update of a peer and hands it on.
func (in *Instance) pushed(ctx context.Context, u peer.Update) (uint64, error) {
	held := in.fleet.Load().document
	next, err := follow(held, u)
	in.handOn(u, next, err == nil)
	if err != nil {
		return held.Version, err
	}
	done := make(chan struct{})
	in.control.post(ctx, func(now time.Time) {
		defer close(done)
		in.control.fleet.take(now, next, u.From)
	})
	select {
	case <-done:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	return max(held.Version, next.Version), nil
}

// follow returns the document that an update leads to.
func follow(held patch.Document, u peer.Update) (patch.Document, error) {
	switch {
	case u.Version <= held.Version:
		return held, nil
	case u.Document != nil:
		return *u.Document, nil
	default:
		return held.ApplyEntries(u.Entries)
	}
}

// handOn passes an update to the instances further down the tree.
func (in *Instance) handOn(u peer.Update, d patch.Document, known bool) {
	hops := member.Subtrees(u.Receivers, member.DefaultFanOut)
	if len(hops) == 0 {
		return
	}
	if known {
		brief := d.WithNewestEntryOnly()
		u.Document = &brief
	}
	u.From = in.settings.DataCentre
	select {
	case in.spreads <- spread{update: u, hops: hops}:
	default:
	}
}
