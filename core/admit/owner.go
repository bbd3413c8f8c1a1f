package admit

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"anviltack/core"
)

// pair is one slot with one instance that might own it.
type pair struct {
	slot   int
	member core.Instance
	weight uint64
}

// Assign returns the owner of each slot of an endpoint by rendezvous hashing with
// bounded loads: slots and members are paired in the order of their weights, and
// no member owns more than its even share rounded up. Losing a member therefore
// never takes more slots than that with it, and moves few others. The result is
// empty without members.
func Assign(e core.Endpoint, slots int, members []core.Instance) []core.Instance {
	if len(members) == 0 {
		return nil
	}
	pairs := make([]pair, 0, slots*len(members))
	for s := range slots {
		for _, m := range members {
			h := xxhash.Sum64String(string(e) + "/" + strconv.Itoa(s) + "/" + string(m))
			pairs = append(pairs, pair{slot: s, member: m, weight: h})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member, b.member), cmp.Compare(a.slot, b.slot))
	})
	owners := make([]core.Instance, slots)
	load := make(map[core.Instance]int, len(members))
	most := (slots + len(members) - 1) / len(members)
	for _, p := range pairs {
		if owners[p.slot] == "" && load[p.member] < most {
			owners[p.slot] = p.member
			load[p.member]++
		}
	}
	return owners
}

// Others returns each owner other than self, once.
func Others(owners []core.Instance, self core.Instance) []core.Instance {
	var out []core.Instance
	for _, o := range owners {
		if o != self && !slices.Contains(out, o) {
			out = append(out, o)
		}
	}
	return out
}
