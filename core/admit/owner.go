package admit

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"anviltack/core"
)

// candidate is a slot paired with an instance that might own it.
type candidate struct {
	slot     int
	instance core.Instance
	weight   uint64
}

// AssignOwners returns the owner of each slot of an endpoint by rendezvous hashing with
// bounded loads: slots and instances are paired in the order of their weights, and no
// instance owns more than its even share rounded up. The loss of an instance therefore
// never removes more slots than that, and moves few others. The result is empty without
// instances.
func AssignOwners(e core.Endpoint, slots int, instances []core.Instance) []core.Instance {
	if len(instances) == 0 {
		return nil
	}
	candidates := make([]candidate, 0, slots*len(instances))
	for s := range slots {
		for _, m := range instances {
			h := xxhash.Sum64String(string(e) + "/" + strconv.Itoa(s) + "/" + string(m))
			candidates = append(candidates, candidate{slot: s, instance: m, weight: h})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.instance, b.instance), cmp.Compare(a.slot, b.slot))
	})
	owners := make([]core.Instance, slots)
	owned := make(map[core.Instance]int, len(instances))
	maxOwned := (slots + len(instances) - 1) / len(instances)
	for _, c := range candidates {
		if owners[c.slot] == "" && owned[c.instance] < maxOwned {
			owners[c.slot] = c.instance
			owned[c.instance]++
		}
	}
	return owners
}

// OtherOwners returns the distinct owners other than self.
func OtherOwners(owners []core.Instance, self core.Instance) []core.Instance {
	var out []core.Instance
	for _, o := range owners {
		if o != self && !slices.Contains(out, o) {
			out = append(out, o)
		}
	}
	return out
}
