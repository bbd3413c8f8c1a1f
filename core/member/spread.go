package member

import (
	"net/netip"
	"slices"
	"strconv"
	"time"
)

// watchers is how many instances of a data centre watch the platform.
const watchers = 2

// spareWatchers is how many further ranks exchange heartbeats with the watchers
// of a large data centre, to take over from them.
const spareWatchers = 2

// Hop is one step of a spreading configuration: To gets the document and hands
// it on to Onward.
type Hop struct {
	To     netip.AddrPort
	Onward []netip.AddrPort
}

// Tree splits the receivers into at most fanOut subtrees of nearly equal size.
func Tree(receivers []netip.AddrPort, fanOut int) []Hop {
	var hops []Hop
	for parts := min(fanOut, len(receivers)); parts > 0; parts-- {
		n := (len(receivers) + parts - 1) / parts
		hops = append(hops, Hop{To: receivers[0], Onward: slices.Clone(receivers[1:n])})
		receivers = receivers[n:]
	}
	return hops
}

// Spread returns the hops by which a watcher hands a version to the instances
// of its data centre that are not known to have it. Leaving instances get it
// too, since they still serve what they began.
func (t *Table) Spread(now time.Time, version uint64) []Hop {
	return Tree(t.receivers(now, version), t.fanOut)
}

func (t *Table) receivers(now time.Time, version uint64) []netip.AddrPort {
	members := slices.DeleteFunc(t.Members(now), func(m Member) bool {
		return m.State == StateDead || m.DataCentre != t.self.DataCentre ||
			m.Instance == t.self.Instance || m.Version >= version
	})
	return addresses(order("spread\x00"+strconv.FormatUint(version, 10), members))
}

// Across returns the watchers of the other data centres that are not known to
// have the version; each spreads it in its own data centre.
func (t *Table) Across(now time.Time, version uint64) []Hop {
	var hops []Hop
	for _, dc := range t.DataCentres(now) {
		if dc == t.self.DataCentre {
			continue
		}
		for _, m := range t.Holders(now, dc, DutyWatch, watchers) {
			if m.Version < version {
				hops = append(hops, Hop{To: m.Address})
			}
		}
	}
	return hops
}

// IsWatcher reports whether this instance watches the platform for its data
// centre.
func (t *Table) IsWatcher(now time.Time) bool {
	r := t.Rank(now, DutyWatch)
	return r >= 0 && r < watchers
}

// FanOut returns to how many instances this one hands a configuration.
func (t *Table) FanOut() int { return t.fanOut }

func addresses(members []Member) []netip.AddrPort {
	a := make([]netip.AddrPort, 0, len(members))
	for _, m := range members {
		a = append(a, m.Address)
	}
	return a
}
