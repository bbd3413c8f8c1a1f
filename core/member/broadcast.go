package member

import (
	"net/netip"
	"slices"
	"strconv"
	"time"
)

// watchersPerDataCentre is the number of instances of a data centre that watch
// the platform.
const watchersPerDataCentre = 2

// standbyWatchers is the number of further ranks that, in a large fleet, exchange
// heartbeats with the watchers of their data centre, so that they can take over.
const standbyWatchers = 2

// Subtree is a part of a broadcast tree: Root gets the configuration and forwards
// it to Receivers.
type Subtree struct {
	Root      netip.AddrPort
	Receivers []netip.AddrPort
}

// Subtrees splits the receivers into at most fanOut subtrees of nearly equal size.
func Subtrees(receivers []netip.AddrPort, fanOut int) []Subtree {
	var subtrees []Subtree
	for parts := min(fanOut, len(receivers)); parts > 0; parts-- {
		n := (len(receivers) + parts - 1) / parts
		subtrees = append(subtrees, Subtree{Root: receivers[0], Receivers: slices.Clone(receivers[1:n])})
		receivers = receivers[n:]
	}
	return subtrees
}

// BroadcastTree returns the subtrees to which a watcher sends a version, for all
// instances of its data centre that are not known to have it. Leaving instances
// are included, since they still serve the sessions that they have.
func (t *Table) BroadcastTree(now time.Time, version uint64) []Subtree {
	return Subtrees(t.outdatedInstances(now, version), t.fanOut)
}

func (t *Table) outdatedInstances(now time.Time, version uint64) []netip.AddrPort {
	members := slices.DeleteFunc(t.Members(now), func(m Member) bool {
		return m.State == StateDead || m.DataCentre != t.self.DataCentre ||
			m.Instance == t.self.Instance || m.Version >= version
	})
	return addresses(rankMembers("spread\x00"+strconv.FormatUint(version, 10), members))
}

// RemoteWatchers returns the watchers of the other data centres that are not
// known to have the version; each broadcasts it in its own data centre.
func (t *Table) RemoteWatchers(now time.Time, version uint64) []Subtree {
	var subtrees []Subtree
	for _, dc := range t.DataCentres(now) {
		if dc == t.self.DataCentre {
			continue
		}
		for _, m := range t.Holders(now, dc, DutyWatch, watchersPerDataCentre) {
			if m.Version < version {
				subtrees = append(subtrees, Subtree{Root: m.Address})
			}
		}
	}
	return subtrees
}

// IsWatcher reports whether this instance watches the platform on behalf of its
// data centre.
func (t *Table) IsWatcher(now time.Time) bool {
	r := t.Rank(now, DutyWatch)
	return r >= 0 && r < watchersPerDataCentre
}

// FanOut returns the number of instances to which this one forwards a
// configuration.
func (t *Table) FanOut() int { return t.fanOut }

func addresses(members []Member) []netip.AddrPort {
	a := make([]netip.AddrPort, 0, len(members))
	for _, m := range members {
		a = append(a, m.Address)
	}
	return a
}
