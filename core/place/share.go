package place

// Part returns how many of an endpoint's connections each of live instances may
// open, at least one. One part stays free: for a replacement that starts before its
// forerunner is gone, and for instances that lost power, whose connections are only
// dropped after seconds.
func Part(most, live int) int {
	return max(1, most/(max(1, live)+1))
}

// queuedPerSlot is how many statements an endpoint gets for each of its slots: one
// runs and one is there when it ends. More would only wait where they cannot be
// put in order any more.
const queuedPerSlot = 2

// Depth returns how many statements each of live instances sends to an endpoint at
// once, at least one.
func Depth(slots, live int) int {
	live = max(1, live)
	return max(1, (queuedPerSlot*slots+live-1)/live)
}
