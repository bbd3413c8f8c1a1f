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

// WriteMetrics writes one line for each value of the registry, with the name, a space
// and the value, sorted by metric name.
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
	case metrics.Timer:
		writeTimer(w, name, m.Snapshot())
	}
}

func writeTimer(w io.Writer, name string, t metrics.Timer) {
	fmt.Fprintf(w, "%s_count %d\n%s_mean %g\n%s_max %d\n", name, t.Count(), name, t.Mean(), name, t.Max())
	fmt.Fprintf(w, "%s_p50 %g\n%s_p99 %g\n", name, t.Percentile(0.5), name, t.Percentile(0.99))
}
