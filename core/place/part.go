package place

// Part returns how many of an endpoint's connections each of live instances may
// open, at least one.
func Part(most, live int) int {
	return max(1, most/max(1, live))
}
