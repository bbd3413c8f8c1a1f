package instance

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"anviltack/core"
	"anviltack/core/member"
	"anviltack/core/patch"
	"anviltack/io/peer"
)

// Periods of the control of configuration and membership.
const (
	// takeover is how long the second watcher of a data centre gives the first
	// one to spread a new version.
	takeover = 300 * time.Millisecond
	// fleetPeriod is the time between two views of the fleet.
	fleetPeriod = 250 * time.Millisecond
	// membersPeriod is the time between two lists of all instances, which are
	// for operators.
	membersPeriod = time.Second
	// spreadQueue is how many spreads may wait; heartbeats make up for more.
	spreadQueue = 16
)

// fleet is the control state of configuration and membership; only the control
// goroutine touches it.
type fleet struct {
	control *control
	adopter *patch.Adopter
	table   *member.Table
	// pushed is the highest version that a push in this data centre brought.
	pushed uint64
	// leaving are the endpoints that the platform's list calls leaving as of
	// leavingIndex; both never go back to a lower index.
	leaving      []core.Endpoint
	leavingIndex uint64
	// epoch changes with the instances that are ranked.
	epoch uint64
	// members are all instances as of membersAt.
	members   []member.Member
	membersAt time.Time
}

// fleetView is what other goroutines see of the fleet; it never changes.
type fleetView struct {
	document   patch.Document
	source     patch.Source
	self       member.Member
	members    []member.Member
	neighbours []member.Member
	// due are the neighbours to which the next heartbeat goes.
	due []member.Member
	// rank is this instance's rank for watching the platform.
	rank int
	// watching tells whether this instance watches the platform.
	watching bool
	// missing is a version above the one in force that was heard of, or zero.
	missing      uint64
	leaving      []core.Endpoint
	leavingIndex uint64
}

// spread is a configuration on its way to others.
type spread struct {
	update peer.Update
	hops   []member.Subtree
}

func newFleet(c *control) *fleet {
	s := c.instance.settings
	f := &fleet{
		control: c,
		adopter: patch.NewAdopter(),
		table:   member.NewTable(member.Member{Instance: s.Instance, DataCentre: s.DataCentre, Address: s.Peers}),
	}
	f.publish(time.Now())
	return f
}

// offer adopts a document unless one at least as new is in force.
func (f *fleet) offer(now time.Time, d patch.Document, source patch.Source) {
	if f.adopter.TryAdopt(d, source) != patch.VerdictAdopted {
		return
	}
	f.table.AdoptVersion(d.Version)
	config := d.Config
	f.control.adopt(d.Version, &config)
	f.publish(now)
	switch f.table.Rank(now, member.DutyWatch) {
	case 0:
		f.spread(now)
	case 1:
		version := d.Version
		time.AfterFunc(takeover, func() {
			f.control.offer(func(now time.Time) {
				if f.pushed < version {
					f.spread(now)
				}
			})
		})
	}
}

// spread hands the document in force to those who are not known to have it.
func (f *fleet) spread(now time.Time) {
	d := f.adopter.Current()
	hops := append(f.table.BroadcastTree(now, d.Version), f.table.RemoteWatchers(now, d.Version)...)
	if len(hops) == 0 {
		return
	}
	brief := d.WithNewestEntryOnly()
	update := peer.Update{Version: d.Version, Document: &brief, From: f.table.Self().DataCentre}
	if n := len(brief.History); n > 0 && len(brief.History[n-1].Patch) > 0 {
		update.Entries = brief.History
	}
	select {
	case f.control.instance.spreads <- spread{update: update, hops: hops}:
	default:
	}
}

// take takes in a document that a peer pushed.
func (f *fleet) take(now time.Time, d patch.Document, from core.DataCentre) {
	if from == f.table.Self().DataCentre {
		f.pushed = max(f.pushed, d.Version)
	}
	f.offer(now, d, patch.SourcePeer)
}

// hear takes in a heartbeat.
func (f *fleet) hear(now time.Time, b member.Heartbeat) {
	f.table.RecordHeartbeat(now, b)
	f.adopter.RecordVersion(b.Version, patch.SourcePeer)
	f.listLeaving(now, b.Leaving, b.LeavingIndex)
}

// listed takes in the platform's list of instances.
func (f *fleet) listed(now time.Time, list []member.Listing) {
	f.table.ApplyList(now, list)
	f.publish(now)
}

// listLeaving takes in which endpoints the platform's list calls leaving.
func (f *fleet) listLeaving(now time.Time, leaving []core.Endpoint, index uint64) {
	if index <= f.leavingIndex {
		return
	}
	changed := !slices.Equal(leaving, f.leaving)
	f.leaving, f.leavingIndex = leaving, index
	if changed {
		f.control.reconfigure()
		f.publish(now)
	}
}

// overlay marks the endpoints as leaving that the platform's list calls so.
func (f *fleet) overlay(g patch.Group) patch.Group {
	if len(f.leaving) == 0 {
		return g
	}
	endpoints := make(map[core.Endpoint]patch.Endpoint, len(g.Endpoints))
	for name, e := range g.Endpoints {
		e.Leaving = e.Leaving || slices.Contains(f.leaving, name)
		endpoints[name] = e
	}
	return patch.Group{Endpoints: endpoints}
}

// drain marks this instance as leaving.
func (f *fleet) drain(now time.Time) {
	f.table.Drain()
	f.publish(now)
}

func (f *fleet) publish(now time.Time) {
	f.epoch = f.table.Epoch(now)
	if now.Sub(f.membersAt) >= membersPeriod {
		f.members, f.membersAt = f.table.Members(now), now
	}
	f.control.instance.fleet.Store(&fleetView{
		document:     f.adopter.Current(),
		source:       f.adopter.CurrentSource(),
		self:         f.table.Self(),
		members:      f.members,
		neighbours:   f.table.Neighbours(now),
		due:          f.table.HeartbeatsDue(now, beatPeriod),
		rank:         f.table.Rank(now, member.DutyWatch),
		watching:     f.table.IsWatcher(now),
		missing:      f.adopter.MissingVersion(),
		leaving:      f.leaving,
		leavingIndex: f.leavingIndex,
	})
}

// ticker makes the control goroutine publish the fleet as time passes.
type ticker struct {
	instance *Instance
}

// Serve ticks until the context ends.
func (t *ticker) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		t.instance.control.post(ctx, t.instance.control.fleet.publish)
		sleep(ctx, fleetPeriod)
	}
	return ctx.Err()
}

// spreader hands new configurations to other instances.
type spreader struct {
	instance *Instance
}

// Serve carries out spreads until the context ends.
func (s *spreader) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case w := <-s.instance.spreads:
			for _, h := range w.hops {
				go s.push(ctx, w.update, h)
			}
		}
	}
}

// push hands an update to one instance: first only what changed, and the whole
// document when the receiver cannot follow from there.
func (s *spreader) push(ctx context.Context, u peer.Update, h member.Subtree) {
	u.Receivers = h.Receivers
	whole := u.Document
	if len(u.Entries) > 0 {
		u.Document = nil
		version, err := s.instance.peers.Push(ctx, h.Root, u)
		if err == nil {
			s.acknowledged(h.Root, version)
			return
		}
		u.Document = whole
		if !peer.IsBehind(err) {
			s.pass(ctx, u, h.Receivers)
			return
		}
		u.Receivers = nil
	}
	if whole == nil {
		return
	}
	u.Document, u.Entries = whole, nil
	if version, err := s.instance.peers.Push(ctx, h.Root, u); err == nil {
		s.acknowledged(h.Root, version)
	} else {
		s.pass(ctx, u, u.Receivers)
	}
}

// pass hands an update to the instances below one that did not answer.
func (s *spreader) pass(ctx context.Context, u peer.Update, onward []netip.AddrPort) {
	for _, h := range member.Subtrees(onward, member.DefaultFanOut) {
		go s.push(ctx, u, h)
	}
}

func (s *spreader) acknowledged(to netip.AddrPort, version uint64) {
	c := s.instance.control
	c.offer(func(time.Time) { c.fleet.table.RecordAcknowledgement(to, version) })
}
