package meter

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// namespace starts every exposed name.
const namespace = "medlaryard_"

// quantiles are the quantiles of histograms that WriteText renders.
var quantiles = []float64{0.5, 0.9, 0.95, 0.99, 0.999}

// WriteText renders the registry in the text exposition format 0.0.4, ordered
// by name. Counters end in _total; histograms become summaries in the unit in
// which they were sampled.
func WriteText(w io.Writer) error {
	var names []string
	found := make(map[string]any)
	metrics.DefaultRegistry.Each(func(name string, m any) {
		names = append(names, name)
		found[name] = m
	})
	slices.Sort(names)
	out := bufio.NewWriter(w)
	for _, name := range names {
		writeMetric(out, exposed(name), found[name])
	}
	return out.Flush()
}

func writeMetric(w io.Writer, name string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "# TYPE %s_total counter\n%s_total %d\n", name, name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", name, name, m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		fmt.Fprintf(w, "# TYPE %s summary\n", name)
		for i, v := range s.Percentiles(quantiles) {
			fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, quantiles[i], v)
		}
		fmt.Fprintf(w, "%s_count %d\n", name, s.Count())
	}
}

// exposed maps a dotted name to the characters that the format permits.
func exposed(name string) string {
	return namespace + strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}
