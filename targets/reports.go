package targets

import (
	"math"
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
)

const (
	// reportLifetime is how long a failure is reported to other daemons. It
	// spans three heartbeats, so that a lost heartbeat does not matter.
	reportLifetime = time.Second
	// maxReports bounds the failures in one heartbeat, at 13 bytes each, so
	// that the heartbeat fits one packet.
	maxReports = 60
	// outcomeHalfLife is the half-life of the counts of outcomes and failures.
	outcomeHalfLife = 500 * time.Millisecond
	// maxFailureShare is the share of failed calls above which the fault more
	// likely lies with the reporting daemon or its network link than with so
	// many targets.
	maxFailureShare = 0.5
)

// Report is a failure of a target that one daemon observed.
type Report struct {
	target uint64
	ratio  float64
}

// NewReport returns a failure of the target with the given fingerprint. Ratio
// is the latency as a multiple of the route's median latency, 0 if unknown.
func NewReport(target uint64, ratio float64) Report { return Report{target: target, ratio: ratio} }

// Target returns the fingerprint of the target, which is the same on all
// daemons.
func (r Report) Target() uint64 { return r.target }

// Ratio returns the latency as a multiple of the route's median latency, 0 if
// unknown.
func (r Report) Ratio() float64 { return r.ratio }

// Reports collects recent failures that this daemon observed, to be sent to
// other daemons. It is safe for concurrent use.
type Reports struct {
	clock clock.Clock

	mu         sync.Mutex
	nextNumber uint64 // Sequence number of the next report.
	recent     []timedReport
	outcomes   float64 // Decaying counts.
	failures   float64
	decayedAt  time.Time
}

type timedReport struct {
	Report
	at time.Time
}

// NewReports returns an empty collection.
func NewReports(c clock.Clock) *Reports { return &Reports{clock: c} }

// record counts one outcome and stores a report if it is a failure.
func (r *Reports) record(now time.Time, target uint64, ratio float64, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := math.Exp2(-float64(now.Sub(r.decayedAt)) / float64(outcomeHalfLife))
	r.outcomes, r.failures, r.decayedAt = r.outcomes*k+1, r.failures*k, now
	if !failed {
		return
	}
	r.failures++
	r.nextNumber++
	r.recent = append(r.recent, timedReport{Report: NewReport(target, ratio), at: now})
	if over := len(r.recent) - maxReports; over > 0 {
		r.recent = append(r.recent[:0], r.recent[over:]...)
	}
}

// Recent returns the failures of the last second and the sequence number of the
// first one; sequence numbers are consecutive. It returns none while most calls
// of this daemon fail, because the fault is then more likely its own.
func (r *Reports) Recent() (first uint64, reports []Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for len(r.recent) > 0 && now.Sub(r.recent[0].at) > reportLifetime {
		r.recent = r.recent[1:]
	}
	if r.failures > maxFailureShare*r.outcomes {
		return r.nextNumber, nil
	}
	for _, t := range r.recent {
		reports = append(reports, t.Report)
	}
	return r.nextNumber - uint64(len(reports)), reports
}

// MergeReports updates the estimates with failures that another daemon
// observed. The map is keyed by the fingerprint of the target.
func (g *Group) MergeReports(reports map[uint64][]Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, t := range g.targets {
		for _, r := range reports[t.fingerprint] {
			t.observe(now, r.ratio, 1, true)
		}
	}
}
