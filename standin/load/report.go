package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"anviltack/core"
	"anviltack/core/patch"
)

// Quantiles are latency quantiles of answered statements.
type Quantiles struct {
	Count  int64          `json:"count"`
	Median patch.Duration `json:"p50"`
	P95    patch.Duration `json:"p95"`
	P99    patch.Duration `json:"p99"`
	Max    patch.Duration `json:"max"`
}

// Writes counts the writes by outcome.
type Writes struct {
	Acknowledged int `json:"acknowledged"`
	Refused      int `json:"refused"`
	Unknown      int `json:"unknown"`
}

// Report is the result of a run.
type Report struct {
	Duration    patch.Duration `json:"duration"`
	Statements  int            `json:"statements"`
	Connections int            `json:"connections"`
	Writes      Writes         `json:"writes"`
	// ReadsPrimary and ReadsReplica count the reads that endpoints served.
	ReadsPrimary int     `json:"reads_primary"`
	ReadsReplica int     `json:"reads_replica"`
	ReplicaShare float64 `json:"replica_share"`
	// Gaps holds the longest time without an acknowledged write by database; it
	// is the failover gap of a group whose primary failed.
	Gaps         map[core.Database]patch.Duration `json:"gaps"`
	ReadLatency  Quantiles                        `json:"read_latency"`
	WriteLatency Quantiles                        `json:"write_latency"`
	// Refusals counts errors by their numbered code, or by SQLSTATE if they
	// have none.
	Refusals map[string]int `json:"refusals"`
	// FirstErrors holds the text of the first error of each code.
	FirstErrors map[string]string `json:"first"`
	// Lost counts acknowledged writes that the log or the rows do not hold at
	// the end.
	Lost int `json:"lost"`
	// Duplicated counts writes that the log holds more than once.
	Duplicated int `json:"doubled"`
	// Stale counts reads older than the age of their kind or than what their
	// session had seen.
	Stale        int `json:"stale"`
	StaleAge     int `json:"stale_age"`
	StaleSession int `json:"stale_session"`
	// Crossed counts answers that do not belong to their request.
	Crossed int `json:"crossed"`
	// RanThoughRefused counts refused writes that the log holds.
	RanThoughRefused int `json:"ran_though_refused"`
	// Torn counts transactions whose writes are not in one entry of the log.
	Torn int `json:"torn"`
	// Unanswered counts statements without an answer within answerTimeout.
	Unanswered int `json:"unanswered"`
	// NoPrimary counts the databases without a primary at the end.
	NoPrimary int      `json:"leaderless"`
	Examples  []string `json:"examples,omitempty"`
}

// Violations returns the number of violated guarantees.
func (r *Report) Violations() int {
	return r.Lost + r.Duplicated + r.Stale + r.Crossed + r.RanThoughRefused + r.Torn + r.Unanswered + r.NoPrimary
}

func (l *Load) report(started, ended time.Time) *Report {
	results := l.results
	r := &Report{
		Duration:         patch.Duration(ended.Sub(started).Round(time.Millisecond)),
		Statements:       results.statements,
		Connections:      results.connections,
		Gaps:             make(map[core.Database]patch.Duration),
		ReadLatency:      quantiles(results.latencies[kindRead]),
		WriteLatency:     quantiles(results.latencies[kindWrite]),
		Refusals:         results.refusals,
		FirstErrors:      results.firstErrors,
		Lost:             results.violations[violationLost],
		Duplicated:       results.violations[violationDuplicated],
		Stale:            results.violations[violationStaleAge] + results.violations[violationStaleSession],
		StaleAge:         results.violations[violationStaleAge],
		StaleSession:     results.violations[violationStaleSession],
		Crossed:          results.violations[violationCrossed],
		RanThoughRefused: results.violations[violationRanThoughRefused],
		Torn:             results.violations[violationTorn],
		Unanswered:       results.violations[violationUnanswered],
		NoPrimary:        results.violations[violationNoPrimary],
		Examples:         results.examples,
	}
	for _, s := range l.monitor.stats {
		r.ReadsPrimary += s.ReadsPrimary
		r.ReadsReplica += s.ReadsReplica
	}
	if all := r.ReadsPrimary + r.ReadsReplica; all > 0 {
		r.ReplicaShare = float64(r.ReadsReplica) / float64(all)
	}
	for _, d := range l.databases {
		r.Gaps[d.Name] = patch.Duration(l.longestWriteGap(d.Name, started, ended).Round(time.Millisecond))
	}
	for _, w := range l.history.writes {
		switch w.Outcome {
		case OutcomeAcknowledged:
			r.Writes.Acknowledged++
		case OutcomeRefused:
			r.Writes.Refused++
		default:
			r.Writes.Unknown++
		}
	}
	return r
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) patch.Duration {
		return patch.Duration(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond)
	}
	return Quantiles{Count: h.TotalCount(), Median: at(50), P95: at(95), P99: at(99), Max: at(100)}
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "statements          %d in %s over %d connections\n", r.Statements, time.Duration(r.Duration), r.Connections)
	fmt.Fprintf(w, "reads on replicas   %.1f%% (%d on replicas, %d on primaries)\n", 100*r.ReplicaShare, r.ReadsReplica, r.ReadsPrimary)
	fmt.Fprintf(w, "writes              %d acknowledged, %d refused, %d unknown\n", r.Writes.Acknowledged, r.Writes.Refused, r.Writes.Unknown)
	for _, d := range slices.Sorted(maps.Keys(r.Gaps)) {
		fmt.Fprintf(w, "failover gap        %s: %s without an acknowledged write\n", d, time.Duration(r.Gaps[d]))
	}
	r.ReadLatency.print(w, "read latency")
	r.WriteLatency.print(w, "write latency")
	for _, code := range slices.Sorted(maps.Keys(r.Refusals)) {
		fmt.Fprintf(w, "refused             %s: %d, first: %s\n", code, r.Refusals[code], r.FirstErrors[code])
	}
	fmt.Fprintf(w, "lost                %d\n", r.Lost)
	fmt.Fprintf(w, "doubled             %d\n", r.Duplicated)
	fmt.Fprintf(w, "stale               %d (%d by age, %d by session)\n", r.Stale, r.StaleAge, r.StaleSession)
	fmt.Fprintf(w, "crossed             %d\n", r.Crossed)
	fmt.Fprintf(w, "ran though refused  %d\n", r.RanThoughRefused)
	fmt.Fprintf(w, "torn transactions   %d\n", r.Torn)
	fmt.Fprintf(w, "unanswered          %d\n", r.Unanswered)
	fmt.Fprintf(w, "no primary at end   %d\n", r.NoPrimary)
	for _, e := range r.Examples {
		fmt.Fprintf(w, "example             %s\n", e)
	}
}

func (q Quantiles) print(w io.Writer, name string) {
	fmt.Fprintf(w, "%-19s p50 %s, p95 %s, p99 %s, max %s of %d\n", name,
		time.Duration(q.Median), time.Duration(q.P95), time.Duration(q.P99), time.Duration(q.Max), q.Count)
}
