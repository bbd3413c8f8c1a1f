package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"anviltack/core"
)

// ringDuty names the order of the heartbeat ring.
const ringDuty = "ring"

// DutyWatch is the duty of watching the platform for a data centre.
const DutyWatch = "watch"

// NotRanked is the rank of an instance that holds no duties.
const NotRanked = -1

// weight orders the instances for one duty (rendezvous hashing).
func weight(duty string, i core.Instance) uint64 {
	return xxhash.Sum64String(duty + "\x00" + string(i))
}

// order sorts members by their rank for a duty, rank 0 first.
func order(duty string, members []Member) []Member {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(weight(duty, b.Instance), weight(duty, a.Instance)), cmp.Compare(a.Instance, b.Instance))
	})
	return members
}

// Live returns the live instances of a data centre, or of all when it is empty.
func (t *Table) Live(now time.Time, dc core.DataCentre) []Member {
	return slices.DeleteFunc(t.Members(now), func(m Member) bool {
		return m.State != StateLive || dc != "" && m.DataCentre != dc
	})
}

// Holders returns the n first ranks of a duty in a data centre.
func (t *Table) Holders(now time.Time, dc core.DataCentre, duty string, n int) []Member {
	ranked := order(duty, t.Live(now, dc))
	return ranked[:min(n, len(ranked))]
}

// Rank returns this instance's rank for a duty in its data centre.
func (t *Table) Rank(now time.Time, duty string) int {
	ranked := order(duty, t.Live(now, t.self.DataCentre))
	return slices.IndexFunc(ranked, func(m Member) bool { return m.Instance == t.self.Instance })
}

// Homes returns the instances that connect to a group: the w first ranks over
// all data centres, or every live instance when w is zero.
func (t *Table) Homes(now time.Time, g core.Group, w int) []Member {
	ranked := order("home\x00"+string(g), t.Live(now, ""))
	if w <= 0 {
		return ranked
	}
	return ranked[:min(w, len(ranked))]
}

// DataCentres returns the names of the data centres with a live instance.
func (t *Table) DataCentres(now time.Time) []core.DataCentre {
	var names []core.DataCentre
	for _, m := range t.Live(now, "") {
		names = append(names, m.DataCentre)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
