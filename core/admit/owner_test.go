package admit

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"anviltack/core"
)

// TestAssign checks for many endpoints that owners have even shares and that the loss of
// one instance moves few slots of the others.
func TestAssign(t *testing.T) {
	is := is.New(t)
	const endpoints = 2000
	for _, slots := range []int{3, 5} {
		for n := 2; n <= 5; n++ {
			var members []core.Instance
			for i := range n {
				members = append(members, instanceName(i))
			}
			moved, stayed, kept := 0, 0, slots
			for e := range endpoints {
				name := core.Endpoint(fmt.Sprint("e", e))
				before := AssignOwners(name, slots, members)
				after := AssignOwners(name, slots, members[1:])
				owned := map[core.Instance]int{}
				here := 0
				for s, o := range before {
					owned[o]++
					is.True(o != "")                             // every slot has an owner
					is.True(owned[o] <= (slots+n-1)/n)           // shares are even
					is.True(!slices.Contains(after, members[0])) // a lost instance owns nothing
					if o == members[0] {
						continue
					}
					if after[s] == o {
						stayed++
						here++
					} else {
						moved++
					}
				}
				kept = min(kept, here)
			}
			share := 100 * float64(moved) / float64(moved+stayed)
			t.Logf("%d slots, %d instances: %.1f%% of the slots of those who stay move; at least %d stay", slots, n, share, kept)
			is.True(share < 35)
		}
	}
}
