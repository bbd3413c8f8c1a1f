package instance

import "github.com/rcrowley/go-metrics"

// counts are the counters that traffic goroutines raise.
type counts struct {
	sessions       metrics.Counter
	statements     metrics.Counter
	refusals       metrics.Counter
	unknown        metrics.Counter
	readsOnReplica metrics.Counter
	readsOnPrimary metrics.Counter
	readRetries    metrics.Counter
	readWaits      metrics.Counter
	samples        metrics.Counter
	failovers      metrics.Counter
	// submissionRetries counts keyed submissions sent again after a lost answer.
	submissionRetries metrics.Counter
	// linksSpoiled counts connections dropped because something waited on them.
	linksSpoiled metrics.Counter
	// queueRefusals counts statements that had no slot or connection in time.
	queueRefusals metrics.Counter
	// readsMoved counts reads taken off connections without an answer.
	readsMoved metrics.Counter
	// slotsBorrowed counts slots that other instances lent.
	slotsBorrowed metrics.Counter
}

func newCounts(r metrics.Registry) counts {
	return counts{
		sessions:          metrics.NewRegisteredCounter("sessions", r),
		statements:        metrics.NewRegisteredCounter("statements", r),
		refusals:          metrics.NewRegisteredCounter("refusals", r),
		unknown:           metrics.NewRegisteredCounter("unknown", r),
		readsOnReplica:    metrics.NewRegisteredCounter("reads_on_replica", r),
		readsOnPrimary:    metrics.NewRegisteredCounter("reads_on_primary", r),
		readRetries:       metrics.NewRegisteredCounter("read_retries", r),
		readWaits:         metrics.NewRegisteredCounter("read_waits", r),
		submissionRetries: metrics.NewRegisteredCounter("submission_retries", r),
		linksSpoiled:      metrics.NewRegisteredCounter("links_spoiled", r),
		queueRefusals:     metrics.NewRegisteredCounter("queue_refusals", r),
		readsMoved:        metrics.NewRegisteredCounter("reads_moved", r),
		slotsBorrowed:     metrics.NewRegisteredCounter("slots_borrowed", r),
		failovers:         metrics.NewRegisteredCounter("failovers", r),
		samples:           metrics.NewRegisteredCounter("samples", r),
	}
}
