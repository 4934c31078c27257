package load

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The histogram records microseconds up to one minute with three digits.
	maxLatency = time.Minute
	digits     = 3
	// maxFaults bounds the faults that are kept in words; all are counted.
	maxFaults = 20
)

// Report is the result of a run.
type Report struct {
	mu       sync.Mutex
	queries  *hdrhistogram.Histogram // Latency of answers to queries.
	runs     *hdrhistogram.Histogram // Latency of outcomes of non-idempotent requests.
	sent     int
	answered int
	full     int
	refused  map[string]int
	faults   int
	details  []string
	extra    *Extra
	witness  *Witness
}

func newReport() *Report {
	return &Report{
		queries: newHistogram(),
		runs:    newHistogram(),
		refused: make(map[string]int),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), digits)
}

// Sent returns the number of requests.
func (r *Report) Sent() int { return r.sent }

// Answered returns the number of answers that are no refusals.
func (r *Report) Answered() int { return r.answered }

// Full returns the number of answers with full coverage or an outcome.
func (r *Report) Full() int { return r.full }

// Refused returns the number of refusals by kind.
func (r *Report) Refused() map[string]int { return r.refused }

// Faults returns the number of false answers and the first of them in words.
func (r *Report) Faults() (int, []string) { return r.faults, r.details }

// Quantile returns a quantile of the latency of answers to queries, from their
// intended start.
func (r *Report) Quantile(percent float64) time.Duration { return quantile(r.queries, percent) }

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percent)) * time.Microsecond
}

// Extra returns the sub-requests of the daemons during the run, nil when they
// were not read.
func (r *Report) Extra() *Extra { return r.extra }

// Witness returns the searchers' records during the run, nil when they were not read.
func (r *Report) Witness() *Witness { return r.witness }

// WriteMarkdown writes the report as a table.
func (r *Report) WriteMarkdown(w io.Writer) {
	fmt.Fprintln(w, "| Measure | Value |\n|---|---|")
	row := func(name, format string, args ...any) {
		fmt.Fprintf(w, "| %s | %s |\n", name, fmt.Sprintf(format, args...))
	}
	row("requests", "%d", r.sent)
	row("answered", "%d", r.answered)
	latencies := func(of string, h *hdrhistogram.Histogram) {
		if h.TotalCount() == 0 {
			return
		}
		for _, q := range []float64{50, 95, 99} {
			row(fmt.Sprintf("%s p%g", of, q), "%.1f ms", ms(quantile(h, q)))
		}
		row(of+" max", "%.1f ms", ms(time.Duration(h.Max())*time.Microsecond))
	}
	latencies("query", r.queries)
	latencies("run", r.runs)
	row("full coverage", "%.3f%% of requests", percent(r.full, r.sent))
	for _, kind := range sortedKeys(r.refused) {
		row("refused "+kind, "%d", r.refused[kind])
	}
	if w := r.witness; w != nil {
		row("sub-requests", "%d", w.Received)
		row("refused connections", "%d", w.RefusedConnections)
		row("crashes", "%d", w.Crashes)
		row("collapses in a cold start", "%d", w.Collapses)
		row("peak in flight in a known cold start", "%d", w.PeakColdKnown)
		row("work after a drain", "%d, last after %.1f s", w.AfterDrain, w.LastAfterDrain.Seconds())
	}
	if r.extra != nil {
		row("hedges", "%d", r.extra.Hedges)
		row("retries", "%d", r.extra.Retries)
		row("daemons not read", "%d", r.extra.Unread)
	}
	if r.extra != nil && r.witness != nil {
		row("extra sub-requests", "%.2f%%", 100*r.extra.Ratio())
	}
	row("false answers", "%d", r.faults)
	for _, d := range r.details {
		row("false answer", "%s", d)
	}
}

// answer records one answer that arrived after latency.
func (r *Report) answer(h *hdrhistogram.Histogram, a wireAnswer, latency time.Duration, full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if a.Kind != "" {
		r.refused[a.Kind]++
		return
	}
	r.answered++
	if full {
		r.full++
	}
	_ = h.RecordValue(min(latency, maxLatency).Microseconds())
}

func (r *Report) fault(detail string) {
	if detail == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults++
	if len(r.details) < maxFaults {
		r.details = append(r.details, detail)
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
