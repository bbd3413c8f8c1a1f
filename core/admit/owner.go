package admit

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"anviltack/core"
)

// Owner returns the instance that owns a slot of an endpoint: the one with the
// highest rendezvous hash, so that a change of members moves only the slots of
// the instances that came or went. It is empty without members.
func Owner(e core.Endpoint, slot int, members []core.Instance) core.Instance {
	var best core.Instance
	var highest uint64
	for _, m := range members {
		h := xxhash.Sum64String(string(e) + "/" + strconv.Itoa(slot) + "/" + string(m))
		if best == "" || h > highest || h == highest && m < best {
			best, highest = m, h
		}
	}
	return best
}

// Owners returns each owner of a slot of the endpoint other than self.
func Owners(e core.Endpoint, slots int, members []core.Instance, self core.Instance) []core.Instance {
	var out []core.Instance
	for i := range slots {
		o := Owner(e, i, members)
		if o != "" && o != self && !slices.Contains(out, o) {
			out = append(out, o)
		}
	}
	return out
}
