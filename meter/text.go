package meter

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// namespace is the prefix of all exposed metric names.
const namespace = "medlaryard_"

// quantiles are the histogram quantiles that WriteText renders.
var quantiles = []float64{0.5, 0.9, 0.95, 0.99, 0.999}

// WriteText writes all metrics to w in the text exposition format 0.0.4,
// ordered by name. Counter names end in _total. Histograms are rendered as
// summaries in the unit of their samples. It returns the first error of writing
// to w.
func WriteText(w io.Writer) error {
	var names []string
	byName := make(map[string]any)
	metrics.DefaultRegistry.Each(func(name string, m any) {
		names = append(names, name)
		byName[name] = m
	})
	slices.Sort(names)
	out := bufio.NewWriter(w)
	for _, name := range names {
		writeMetric(out, expositionName(name), byName[name])
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

// expositionName returns the name with the namespace. Characters that the
// format does not permit become underscores.
func expositionName(name string) string {
	return namespace + strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}
