package node

import (
	"maps"

	"medlaryard.example/medlaryard/fleet"
	"medlaryard.example/medlaryard/mirror/mirrorpb"
	"medlaryard.example/medlaryard/targets"
)

// reportCursor records which reports of one daemon have been processed. Only
// the goroutine that receives heartbeats uses it.
type reportCursor struct {
	incarnation uint64
	nextNumber  uint64 // Number of the first unprocessed report.
}

// reportCursors holds the cursors of all other daemons, by peer address.
type reportCursors map[string]*reportCursor

// cursor returns the cursor for a peer address and creates it if necessary.
// Creating one removes the cursors of daemons that are no longer known.
func (c reportCursors) cursor(peer string, known func(peer string) bool) *reportCursor {
	cursor := c[peer]
	if cursor != nil {
		return cursor
	}
	maps.DeleteFunc(c, func(peer string, _ *reportCursor) bool { return !known(peer) })
	cursor = &reportCursor{}
	c[peer] = cursor
	return cursor
}

// newReports returns the reports of a heartbeat that have not been processed
// yet, by target fingerprint. It restarts the numbering when the sender has a
// new incarnation.
func (c *reportCursor) newReports(incarnation uint64, r *mirrorpb.TargetReports) map[uint64][]targets.Report {
	if c.incarnation != incarnation {
		*c = reportCursor{incarnation: incarnation}
	}
	counts := make(map[uint64]int)
	for _, w := range r.GetReports() {
		counts[w.GetTarget()]++
	}
	var unseen map[uint64][]targets.Report
	for i, report := range r.GetReports() {
		number := r.GetFirst() + uint64(i)
		if number < c.nextNumber {
			continue
		}
		c.nextNumber = number + 1
		if report.GetTenths() == 0 && counts[report.GetTarget()] < minRepeatedFailures {
			continue // One failure would divert all daemons to the other targets at once.
		}
		if unseen == nil {
			unseen = make(map[uint64][]targets.Report)
		}
		unseen[report.GetTarget()] = append(unseen[report.GetTarget()], targets.NewReport(report.GetTarget(), float64(report.GetTenths())/latencyRatioScale))
	}
	return unseen
}

// minRepeatedFailures is how often a target must have failed at another daemon,
// within the second that its reports cover, for the failures to count here.
// Silence of a target counts at once.
const minRepeatedFailures = 2

// latencyRatioScale converts latency ratios to the tenths that reports carry.
const latencyRatioScale = 10

// targetReports returns the recent failures that this daemon observed, for its
// heartbeats. It returns nil if there are none.
func (d *Daemon) targetReports() *mirrorpb.TargetReports {
	first, reports := d.reports.Recent()
	if len(reports) == 0 {
		return nil
	}
	w := &mirrorpb.TargetReports{First: first}
	for _, r := range reports {
		w.Reports = append(w.Reports, &mirrorpb.TargetReport{Target: r.Target(), Tenths: uint32(r.Ratio() * latencyRatioScale)})
	}
	return w
}

// mergeReports adds the failures that another daemon observed, so that daemons
// need not discover a bad target one by one.
func (d *Daemon) mergeReports(m fleet.Member) {
	if len(m.Reports().GetReports()) == 0 || !d.serving.includesSelf() || m.Name() == d.settings.Name() {
		return
	}
	reports := d.reportCursors.cursor(m.PeerAddress(), d.knows).newReports(m.Incarnation(), m.Reports())
	if len(reports) == 0 {
		return
	}
	d.mu.Lock()
	groups := d.groups
	d.mu.Unlock()
	for _, g := range groups {
		g.MergeReports(reports)
	}
}
