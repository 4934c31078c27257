package targets

import (
	"math"
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
)

const (
	// reportTime is how long a failure is told to others; three heartbeats, so
	// that one that is lost does not matter.
	reportTime = time.Second
	// maxReports bounds the failures that are told at once, at 13 bytes each, so
	// that a heartbeat fits one packet.
	maxReports = 60
	// outcomeHalfLife is the memory of the share of bad outcomes.
	outcomeHalfLife = 500 * time.Millisecond
	// faultyReporter is the share of bad outcomes from which the fault is rather
	// the reporter's own or its link's than that of so many targets.
	faultyReporter = 0.5
)

// Report is a failure of a target that one daemon saw.
type Report struct {
	target uint64
	ratio  float64
}

// NewReport returns a failure of the target of that fingerprint, after so many
// usual latencies; 0 tells nothing of latency.
func NewReport(target uint64, ratio float64) Report { return Report{target: target, ratio: ratio} }

// Target returns the fingerprint of the target.
func (r Report) Target() uint64 { return r.target }

// Ratio returns the latency in usual latencies, 0 if it is not known.
func (r Report) Ratio() float64 { return r.ratio }

// Reports collects the failures that this daemon saw lately, for the others. It
// is safe for concurrent use.
type Reports struct {
	clock clock.Clock

	mu       sync.Mutex
	next     uint64 // The number of the next report.
	recent   []timedReport
	outcomes float64 // Decaying counts.
	bad      float64
	counted  time.Time
}

type timedReport struct {
	Report
	at time.Time
}

// NewReports returns an empty collection.
func NewReports(c clock.Clock) *Reports { return &Reports{clock: c} }

// note takes in one outcome.
func (r *Reports) note(now time.Time, target uint64, ratio float64, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := math.Exp2(-float64(now.Sub(r.counted)) / float64(outcomeHalfLife))
	r.outcomes, r.bad, r.counted = r.outcomes*k+1, r.bad*k, now
	if !failed {
		return
	}
	r.bad++
	r.next++
	r.recent = append(r.recent, timedReport{Report: NewReport(target, ratio), at: now})
	if over := len(r.recent) - maxReports; over > 0 {
		r.recent = append(r.recent[:0], r.recent[over:]...)
	}
}

// Recent returns the failures of the last second and the number of the first of
// them; numbers rise by one. There are none while most outcomes are bad, because
// this daemon is rather at fault then.
func (r *Reports) Recent() (first uint64, reports []Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for len(r.recent) > 0 && now.Sub(r.recent[0].at) > reportTime {
		r.recent = r.recent[1:]
	}
	if r.bad > faultyReporter*r.outcomes {
		return r.next, nil
	}
	for _, t := range r.recent {
		reports = append(reports, t.Report)
	}
	return r.next - uint64(len(reports)), reports
}

// MergeReports takes in failures that another daemon saw, by the fingerprint of the
// target.
func (g *Group) MergeReports(reports map[uint64][]Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, t := range g.targets {
		for _, r := range reports[t.fingerprint] {
			t.observe(now, r.ratio, true)
		}
	}
}
