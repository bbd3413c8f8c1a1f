package patch

import (
	"fmt"

	"anviltack/core"
)

// memberFaults returns a fault for every group of which the next configuration
// changes more than one endpoint. Majorities of two configurations that follow on
// each other share an endpoint only when they differ in one: without that, an
// instance with the old configuration could acknowledge a write that a failover
// under the new one does not find.
func (c Config) memberFaults(next Config) []Fault {
	var faults []Fault
	for _, name := range sortedNames(c.Groups) {
		after, ok := next.Groups[name]
		if !ok {
			continue
		}
		if n := c.Groups[name].changes(after); n > 1 {
			faults = append(faults, Fault{
				Path:    join(join("groups", string(name)), "endpoints"),
				Problem: fmt.Sprintf("%d endpoints added or removed at once", n),
				Allowed: "one in each patch",
			})
		}
	}
	return faults
}

// changes returns how many endpoints are in only one of two versions of a group.
// An endpoint at another address is another endpoint.
func (g Group) changes(next Group) int {
	same := 0
	for name, e := range g.Endpoints {
		if o, ok := next.Endpoints[name]; ok && o.Address == e.Address {
			same++
		}
	}
	return len(g.Endpoints) + len(next.Endpoints) - 2*same
}

// maxMembers bounds the endpoints of a group.
const maxMembers = 9

func (k *checker) members(path string, endpoints map[core.Endpoint]Endpoint) {
	if n := len(endpoints); n == 0 || n > maxMembers {
		k.fault(join(path, "endpoints"), fmt.Sprintf("%d endpoints", n), fmt.Sprintf("1 to %d; an odd number but while one is replaced", maxMembers))
	}
}
