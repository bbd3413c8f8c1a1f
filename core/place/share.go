package place

// ConnectionShare returns how many of an endpoint's connections each instance may open,
// at least one. One further share stays free: for a replacement instance that starts
// before its predecessor is gone, and for instances that lost power, whose connections
// the endpoint drops only after seconds.
func ConnectionShare(maxConnections, instances int) int {
	return max(1, maxConnections/(max(1, instances)+1))
}

// NonHomeShare returns how many of an endpoint's connections each of some instances may open
// that are no home instances of its group, at least one: together they get the share that
// ConnectionShare leaves free.
func NonHomeShare(maxConnections, homes, others int) int {
	return max(1, ConnectionShare(maxConnections, homes)/max(1, others))
}

// InFlightPerSlot is how many statements are sent for each slot of an endpoint: one runs
// and one is ready to follow it. More would wait at the endpoint, where the instances
// can no longer order them.
const InFlightPerSlot = 2

// MaxInFlight returns how many statements each instance may have in flight to an
// endpoint, at least one.
func MaxInFlight(slots, instances int) int {
	instances = max(1, instances)
	return max(1, (InFlightPerSlot*slots+instances-1)/instances)
}
