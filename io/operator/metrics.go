package operator

import (
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/rcrowley/go-metrics"
)

func (s Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	WriteMetrics(w, s.Metrics)
}

// WriteMetrics writes the registry as one line for each value: its name, a
// blank and the value; names are in order.
func WriteMetrics(w io.Writer, r metrics.Registry) {
	var names []string
	values := make(map[string]any)
	r.Each(func(name string, v any) {
		names = append(names, name)
		values[name] = v
	})
	slices.Sort(names)
	for _, n := range names {
		writeMetric(w, n, values[n])
	}
}

func writeMetric(w io.Writer, name string, v any) {
	switch m := v.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "%s %d\n", name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "%s %d\n", name, m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(w, "%s %g\n", name, m.Value())
	case metrics.Meter:
		fmt.Fprintf(w, "%s_count %d\n%s_rate %g\n", name, m.Count(), name, m.Rate1())
	case metrics.Timer:
		writeDistribution(w, name, m.Snapshot())
	case metrics.Histogram:
		writeDistribution(w, name, m.Snapshot())
	}
}

// distribution is what timers and histograms have in common.
type distribution interface {
	Count() int64
	Max() int64
	Mean() float64
	Percentile(float64) float64
}

func writeDistribution(w io.Writer, name string, d distribution) {
	fmt.Fprintf(w, "%s_count %d\n%s_mean %g\n%s_max %d\n", name, d.Count(), name, d.Mean(), name, d.Max())
	fmt.Fprintf(w, "%s_p50 %g\n%s_p99 %g\n", name, d.Percentile(0.5), name, d.Percentile(0.99))
}
