package instance

import "github.com/rcrowley/go-metrics"

// counters are the instance's metrics; traffic goroutines increment most of
// them.
type counters struct {
	sessions        metrics.Counter
	statements      metrics.Counter
	refusals        metrics.Counter
	unknownOutcomes metrics.Counter
	readsOnReplica  metrics.Counter
	readsOnPrimary  metrics.Counter
	readRetries     metrics.Counter
	readWaits       metrics.Counter
	samples         metrics.Counter
	failovers       metrics.Counter
	// submissionRetries counts submissions with a key that were sent again after
	// a lost response.
	submissionRetries metrics.Counter
	// connectionsDirty counts idle connections that were closed because they
	// received unexpected data.
	connectionsDirty metrics.Counter
	// queueRefusals counts statements that got no slot or connection in time.
	queueRefusals metrics.Counter
	// readsMoved counts reads moved off connections that did not respond.
	readsMoved metrics.Counter
	// slotsBorrowed counts slots borrowed from other instances.
	slotsBorrowed metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		sessions:          metrics.NewRegisteredCounter("sessions", r),
		statements:        metrics.NewRegisteredCounter("statements", r),
		refusals:          metrics.NewRegisteredCounter("refusals", r),
		unknownOutcomes:   metrics.NewRegisteredCounter("unknown", r),
		readsOnReplica:    metrics.NewRegisteredCounter("reads_on_replica", r),
		readsOnPrimary:    metrics.NewRegisteredCounter("reads_on_primary", r),
		readRetries:       metrics.NewRegisteredCounter("read_retries", r),
		readWaits:         metrics.NewRegisteredCounter("read_waits", r),
		submissionRetries: metrics.NewRegisteredCounter("submission_retries", r),
		connectionsDirty:  metrics.NewRegisteredCounter("links_spoiled", r),
		queueRefusals:     metrics.NewRegisteredCounter("queue_refusals", r),
		readsMoved:        metrics.NewRegisteredCounter("reads_moved", r),
		slotsBorrowed:     metrics.NewRegisteredCounter("slots_borrowed", r),
		failovers:         metrics.NewRegisteredCounter("failovers", r),
		samples:           metrics.NewRegisteredCounter("samples", r),
	}
}
