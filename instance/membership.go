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

// Periods and limits of the control of configuration and membership.
const (
	// broadcastTakeoverDelay is how long the second watcher of a data centre
	// waits for the first one to broadcast a new version.
	broadcastTakeoverDelay = 300 * time.Millisecond
	// membershipPeriod is the time between two published membership views, and
	// between two checks of the view by the watchers.
	membershipPeriod = 250 * time.Millisecond
	// memberListPeriod is the time between two updates of the list of all
	// members, which is for operators.
	memberListPeriod = time.Second
	// broadcastQueueSize is how many broadcasts may be queued; instances that
	// miss a dropped one pull the configuration after a heartbeat.
	broadcastQueueSize = 16
)

// membership is the control state of configuration and membership; only the
// control goroutine accesses it.
type membership struct {
	control *control
	adopter *patch.Adopter
	table   *member.Table
	// pushedVersion is the highest version that a push from this data centre
	// delivered.
	pushedVersion uint64
	// leaving are the endpoints marked as leaving on the platform's list as of
	// leavingIndex; a list with a lower index never replaces them.
	leaving      []core.Endpoint
	leavingIndex uint64
	// epoch is a checksum of the live instances; ranks change only with it.
	epoch uint64
	// members are all instances as of membersAt.
	members   []member.Member
	membersAt time.Time
}

// membershipView is an immutable snapshot of the membership for other
// goroutines.
type membershipView struct {
	document   patch.Document
	source     patch.Source
	self       member.Member
	members    []member.Member
	neighbours []member.Member
	// heartbeatsDue are the neighbours that receive the next heartbeat.
	heartbeatsDue []member.Member
	// rank is this instance's rank for watching the platform.
	rank int
	// isWatcher reports whether this instance watches the platform.
	isWatcher bool
	// missingVersion is the highest announced version if it is above the one in
	// force, and zero otherwise.
	missingVersion uint64
	leaving        []core.Endpoint
	leavingIndex   uint64
}

// broadcast is an update to be sent to the roots of subtrees of the broadcast
// tree.
type broadcast struct {
	update   peer.Update
	subtrees []member.Subtree
}

func newMembership(c *control) *membership {
	s := c.instance.settings
	ms := &membership{
		control: c,
		adopter: patch.NewAdopter(),
		table:   member.NewTable(member.Member{Instance: s.Instance, DataCentre: s.DataCentre, Address: s.Peers}),
	}
	ms.publish(time.Now())
	return ms
}

// adopt puts a document into force unless that version or a newer one already
// is.
func (ms *membership) adopt(now time.Time, d patch.Document, source patch.Source) {
	if ms.adopter.TryAdopt(d, source) != patch.VerdictAdopted {
		return
	}
	ms.table.AdoptVersion(d.Version)
	config := d.Config
	ms.control.adopt(d.Version, &config)
	ms.publish(now)
	switch ms.table.Rank(now, member.DutyWatch) {
	case 0:
		ms.broadcast(now)
	case 1:
		version := d.Version
		time.AfterFunc(broadcastTakeoverDelay, func() {
			ms.control.tryPost(func(now time.Time) {
				if ms.pushedVersion < version {
					ms.broadcast(now)
				}
			})
		})
	}
}

// broadcast queues the document in force for the instances that are not known to
// have it.
func (ms *membership) broadcast(now time.Time) {
	d := ms.adopter.Current()
	subtrees := append(ms.table.BroadcastTree(now, d.Version), ms.table.RemoteWatchers(now, d.Version)...)
	if len(subtrees) == 0 {
		return
	}
	compact := d.WithNewestEntryOnly()
	update := peer.Update{Version: d.Version, Document: &compact, From: ms.table.Self().DataCentre}
	if n := len(compact.History); n > 0 && len(compact.History[n-1].Patch) > 0 {
		update.Entries = compact.History
	}
	select {
	case ms.control.instance.broadcasts <- broadcast{update: update, subtrees: subtrees}:
	default:
	}
}

// adoptPushed adopts a document that a peer in the given data centre pushed.
func (ms *membership) adoptPushed(now time.Time, d patch.Document, from core.DataCentre) {
	if from == ms.table.Self().DataCentre {
		ms.pushedVersion = max(ms.pushedVersion, d.Version)
	}
	ms.adopt(now, d, patch.SourcePeer)
}

// recordHeartbeat records the member, its version and its list of leaving
// endpoints from a heartbeat.
func (ms *membership) recordHeartbeat(now time.Time, received member.Heartbeat) {
	ms.table.RecordHeartbeat(now, received)
	ms.adopter.RecordVersion(received.Version, patch.SourcePeer)
	ms.setLeaving(now, received.Leaving, received.LeavingIndex)
}

// applyList applies the platform's list of instances.
func (ms *membership) applyList(now time.Time, list []member.Listing) {
	ms.table.ApplyList(now, list)
	ms.publish(now)
}

// setLeaving replaces the endpoints marked as leaving unless the index is not
// newer.
func (ms *membership) setLeaving(now time.Time, leaving []core.Endpoint, index uint64) {
	if index <= ms.leavingIndex {
		return
	}
	changed := !slices.Equal(leaving, ms.leaving)
	ms.leaving, ms.leavingIndex = leaving, index
	if changed {
		ms.control.reconfigure()
		ms.publish(now)
	}
}

// markLeaving returns the group in which those endpoints are also marked as
// leaving that are marked so on the platform's list.
func (ms *membership) markLeaving(g patch.Group) patch.Group {
	if len(ms.leaving) == 0 {
		return g
	}
	endpoints := make(map[core.Endpoint]patch.Endpoint, len(g.Endpoints))
	for name, e := range g.Endpoints {
		e.Leaving = e.Leaving || slices.Contains(ms.leaving, name)
		endpoints[name] = e
	}
	return patch.Group{Endpoints: endpoints}
}

// drain marks this instance as leaving.
func (ms *membership) drain(now time.Time) {
	ms.table.Drain()
	ms.publish(now)
}

func (ms *membership) publish(now time.Time) {
	ms.epoch = ms.table.Epoch(now)
	if now.Sub(ms.membersAt) >= memberListPeriod {
		ms.members, ms.membersAt = ms.table.Members(now), now
	}
	ms.control.instance.membership.Store(&membershipView{
		document:       ms.adopter.Current(),
		source:         ms.adopter.CurrentSource(),
		self:           ms.table.Self(),
		members:        ms.members,
		neighbours:     ms.table.Neighbours(now),
		heartbeatsDue:  ms.table.HeartbeatsDue(now, heartbeatPeriod),
		rank:           ms.table.Rank(now, member.DutyWatch),
		isWatcher:      ms.table.IsWatcher(now),
		missingVersion: ms.adopter.MissingVersion(),
		leaving:        ms.leaving,
		leavingIndex:   ms.leavingIndex,
	})
}

// membershipPublisher has the control goroutine publish the membership
// periodically.
type membershipPublisher struct {
	instance *Instance
}

// Serve publishes until the context ends.
func (p *membershipPublisher) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		p.instance.control.post(ctx, p.instance.control.membership.publish)
		sleep(ctx, membershipPeriod)
	}
	return ctx.Err()
}

// broadcaster pushes new configurations to other instances.
type broadcaster struct {
	instance *Instance
}

// Serve carries out queued broadcasts until the context ends.
func (b *broadcaster) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case next := <-b.instance.broadcasts:
			for _, subtree := range next.subtrees {
				go b.push(ctx, next.update, subtree)
			}
		}
	}
}

// push sends an update to the root of a subtree: first only the new entries,
// then the full document if the receiver cannot apply them to its version.
func (b *broadcaster) push(ctx context.Context, u peer.Update, subtree member.Subtree) {
	u.Receivers = subtree.Receivers
	document := u.Document
	if len(u.Entries) > 0 {
		u.Document = nil
		version, err := b.instance.peers.Push(ctx, subtree.Root, u)
		if err == nil {
			b.recordAcknowledgement(subtree.Root, version)
			return
		}
		u.Document = document
		if !peer.IsBehind(err) {
			b.pushToReceivers(ctx, u, subtree.Receivers)
			return
		}
		u.Receivers = nil
	}
	if document == nil {
		return
	}
	u.Document, u.Entries = document, nil
	if version, err := b.instance.peers.Push(ctx, subtree.Root, u); err == nil {
		b.recordAcknowledgement(subtree.Root, version)
	} else {
		b.pushToReceivers(ctx, u, u.Receivers)
	}
}

// pushToReceivers pushes an update to the instances below one that did not
// respond.
func (b *broadcaster) pushToReceivers(ctx context.Context, u peer.Update, receivers []netip.AddrPort) {
	for _, subtree := range member.Subtrees(receivers, member.DefaultFanOut) {
		go b.push(ctx, u, subtree)
	}
}

func (b *broadcaster) recordAcknowledgement(to netip.AddrPort, version uint64) {
	c := b.instance.control
	c.tryPost(func(time.Time) { c.membership.table.RecordAcknowledgement(to, version) })
}
