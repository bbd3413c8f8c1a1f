package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"anviltack/core"
)

// ringHashKey is hashed with instance names to order the heartbeat ring.
const ringHashKey = "ring"

// DutyWatch is the duty of watching the platform on behalf of a data centre.
const DutyWatch = "watch"

// NotRanked is the rank of an instance that holds no duties.
const NotRanked = -1

// weight returns an instance's rendezvous hash for a duty; the highest ranks first.
func weight(duty string, i core.Instance) uint64 {
	return xxhash.Sum64String(duty + "\x00" + string(i))
}

// rankMembers sorts members in place by their rank for a duty, rank 0 first.
func rankMembers(duty string, members []Member) []Member {
	type weighted struct {
		member Member
		weight uint64
	}
	all := make([]weighted, len(members))
	for i, m := range members {
		all[i] = weighted{member: m, weight: weight(duty, m.Instance)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member.Instance, b.member.Instance))
	})
	for i, w := range all {
		members[i] = w.member
	}
	return members
}

// Live returns the live instances of a data centre, or of all data centres if dc
// is empty.
func (t *Table) Live(now time.Time, dc core.DataCentre) []Member {
	return slices.DeleteFunc(t.Members(now), func(m Member) bool {
		return m.State != StateLive || dc != "" && m.DataCentre != dc
	})
}

// Holders returns the instances of a data centre with the n first ranks for a
// duty.
func (t *Table) Holders(now time.Time, dc core.DataCentre, duty string, n int) []Member {
	ranked := rankMembers(duty, t.Live(now, dc))
	return ranked[:min(n, len(ranked))]
}

// Epoch returns a checksum of the set of live instances; ranks need to be
// recomputed only when it changes.
func (t *Table) Epoch(now time.Time) uint64 {
	neighbours := t.neighbourSet()
	epoch := weight(string(t.self.State), t.self.Instance)
	for name, r := range t.records {
		if t.state(now, r, neighbours) == StateLive {
			epoch += weight(string(r.DataCentre), name)
		}
	}
	return epoch
}

// Rank returns this instance's rank for a duty in its data centre, or NotRanked.
func (t *Table) Rank(now time.Time, duty string) int {
	if t.self.State != StateLive {
		return NotRanked
	}
	own, rank, neighbours := weight(duty, t.self.Instance), 0, t.neighbourSet()
	for name, r := range t.records {
		if r.DataCentre != t.self.DataCentre || t.state(now, r, neighbours) != StateLive {
			continue
		}
		w := weight(duty, name)
		if w > own || w == own && name < t.self.Instance {
			rank++
		}
	}
	return rank
}

// HomeInstances returns the instances that connect to a group: the n first ranks
// over all data centres, or every live instance if n is not positive.
func (t *Table) HomeInstances(now time.Time, g core.Group, n int) []Member {
	ranked := rankMembers("home\x00"+string(g), t.Live(now, ""))
	if n <= 0 {
		return ranked
	}
	return ranked[:min(n, len(ranked))]
}

// DataCentres returns the names of the data centres that have a live instance.
func (t *Table) DataCentres(now time.Time) []core.DataCentre {
	var names []core.DataCentre
	for _, m := range t.Live(now, "") {
		names = append(names, m.DataCentre)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
