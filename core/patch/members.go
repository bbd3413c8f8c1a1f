package patch

import (
	"fmt"

	"anviltack/core"
)

// membershipFaults returns a fault for every group in which the next configuration
// adds or removes more than one endpoint. Any two majorities of consecutive
// configurations share an endpoint only if these differ in one at most. Without
// that, an instance with the old configuration could acknowledge a write that a
// failover under the new one does not find.
func (c Config) membershipFaults(next Config) []Fault {
	var faults []Fault
	for _, name := range sortedNames(c.Groups) {
		after, ok := next.Groups[name]
		if !ok {
			continue
		}
		if n := c.Groups[name].membershipChanges(after); n > 1 {
			faults = append(faults, Fault{
				Path:    join(join("groups", string(name)), "endpoints"),
				Problem: fmt.Sprintf("%d endpoints added or removed at once", n),
				Allowed: "one in each patch",
			})
		}
	}
	return faults
}

// membershipChanges returns the number of endpoints that are in only one of two
// versions of a group. An endpoint with another address counts as another one.
func (g Group) membershipChanges(next Group) int {
	same := 0
	for name, e := range g.Endpoints {
		if o, ok := next.Endpoints[name]; ok && o.Address == e.Address {
			same++
		}
	}
	return len(g.Endpoints) + len(next.Endpoints) - 2*same
}

// maxGroupEndpoints is the maximum number of endpoints in a group.
const maxGroupEndpoints = 9

func (k *checker) endpointCount(path string, endpoints map[core.Endpoint]Endpoint) {
	if n := len(endpoints); n == 0 || n > maxGroupEndpoints {
		k.fault(join(path, "endpoints"), fmt.Sprintf("%d endpoints", n), fmt.Sprintf("1 to %d; an odd number except while one is replaced", maxGroupEndpoints))
	}
}
