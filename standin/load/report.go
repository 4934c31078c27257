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
	// The histograms record microseconds up to one minute with three significant
	// digits; longer latencies count as maxLatency.
	maxLatency        = time.Minute
	significantDigits = 3
	// maxDetails bounds the violations whose descriptions are kept; all are counted.
	maxDetails = 20
)

// Report is the result of Run.
type Report struct {
	mu           sync.Mutex
	queryLatency *hdrhistogram.Histogram // Answers to queries.
	runLatency   *hdrhistogram.Histogram // Outcomes of non-idempotent requests.
	requests     int
	answered     int
	full         int
	refused      map[string]int
	violations   int
	details      []string
	extraSends   *ExtraSends
	searchers    *SearcherTotals
}

func newReport() *Report {
	return &Report{
		queryLatency: newHistogram(),
		runLatency:   newHistogram(),
		refused:      make(map[string]int),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

// Requests returns the number of requests, including those not sent because too
// many were in flight.
func (r *Report) Requests() int { return r.requests }

// Answered returns the number of answers that are not refusals.
func (r *Report) Answered() int { return r.answered }

// Full returns the number of query answers with full coverage plus the number of
// outcomes.
func (r *Report) Full() int { return r.full }

// Refused returns the number of refusals by kind, including the kinds that the
// generator assigns (client_...).
func (r *Report) Refused() map[string]int { return r.refused }

// Violations returns the number of violations and descriptions of the first 20.
func (r *Report) Violations() (int, []string) { return r.violations, r.details }

// Percentile returns a percentile (0 to 100) of the query latency. Latency counts
// from the scheduled send time, so that delays in the generator are included.
func (r *Report) Percentile(percent float64) time.Duration {
	return percentile(r.queryLatency, percent)
}

func percentile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percent)) * time.Microsecond
}

// ExtraSends returns the extra sub-requests during the run, nil if no operators'
// interfaces were configured.
func (r *Report) ExtraSends() *ExtraSends { return r.extraSends }

// SearcherTotals returns the totals of the searchers' records during the run, nil
// if no admin endpoint was configured.
func (r *Report) SearcherTotals() *SearcherTotals { return r.searchers }

// WriteMarkdown writes the report as a Markdown table.
func (r *Report) WriteMarkdown(w io.Writer) {
	fmt.Fprintln(w, "| Measure | Value |\n|---|---|")
	row := func(name, format string, args ...any) {
		fmt.Fprintf(w, "| %s | %s |\n", name, fmt.Sprintf(format, args...))
	}
	row("requests", "%d", r.requests)
	row("answered", "%d", r.answered)
	latencyRows := func(name string, h *hdrhistogram.Histogram) {
		if h.TotalCount() == 0 {
			return
		}
		for _, p := range []float64{50, 95, 99} {
			row(fmt.Sprintf("%s p%g", name, p), "%.1f ms", milliseconds(percentile(h, p)))
		}
		row(name+" max", "%.1f ms", milliseconds(time.Duration(h.Max())*time.Microsecond))
	}
	latencyRows("query", r.queryLatency)
	latencyRows("run", r.runLatency)
	row("full coverage", "%.3f%% of requests", percentage(r.full, r.requests))
	for _, kind := range sortedKeys(r.refused) {
		row("refused "+kind, "%d", r.refused[kind])
	}
	if totals := r.searchers; totals != nil {
		row("sub-requests", "%d", totals.Received)
		row("refused connections", "%d", totals.RefusedConnections)
		row("crashes", "%d", totals.Crashes)
		row("collapses in a cold start", "%d", totals.Collapses)
		row("peak in flight in a known cold start", "%d", totals.PeakColdKnown)
		row("work after a drain", "%d, last after %.1f s", totals.AfterDrain, totals.LastAfterDrain.Seconds())
	}
	if r.extraSends != nil {
		row("hedges", "%d", r.extraSends.Hedges)
		row("retries", "%d", r.extraSends.Retries)
		row("daemons not read", "%d", r.extraSends.UnreadDaemons)
	}
	if r.extraSends != nil && r.searchers != nil {
		row("extra sub-requests", "%.2f%%", 100*r.extraSends.Ratio())
	}
	row("false answers", "%d", r.violations)
	for _, d := range r.details {
		row("false answer", "%s", d)
	}
}

// addAnswer counts one answer, and records its latency in h unless it is a refusal.
func (r *Report) addAnswer(h *hdrhistogram.Histogram, a wireAnswer, latency time.Duration, full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
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

func (r *Report) addViolation(detail string) {
	if detail == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations++
	if len(r.details) < maxDetails {
		r.details = append(r.details, detail)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func percentage(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
