package node

import (
	"medlaryard.example/medlaryard/fleet"
	"medlaryard.example/medlaryard/mirror/mirrorpb"
	"medlaryard.example/medlaryard/targets"
)

// heardReports tells which failures another daemon has told already. Only the
// goroutine that receives heartbeats uses it.
type heardReports struct {
	incarnation uint64
	next        uint64 // The number of the first report that is new.
}

// toldReports is what each other daemon has told, by its peer address.
type toldReports map[string]*heardReports

// by returns what the daemon at a peer address has told. With a new one, those
// that are not known any more are forgotten.
func (t toldReports) by(peer string, known func() []fleet.Member) *heardReports {
	h := t[peer]
	if h != nil {
		return h
	}
	kept := make(map[string]bool)
	for _, m := range known() {
		kept[m.Peer()] = true
	}
	for p := range t {
		if !kept[p] {
			delete(t, p)
		}
	}
	h = &heardReports{}
	t[peer] = h
	return h
}

// fresh returns the reports of a heartbeat that were not taken in before, by the
// fingerprint of the target.
func (h *heardReports) fresh(incarnation uint64, r *mirrorpb.TargetReports) map[uint64][]targets.Report {
	if h.incarnation != incarnation {
		*h = heardReports{incarnation: incarnation}
	}
	told := make(map[uint64]int)
	for _, w := range r.GetReports() {
		told[w.GetTarget()]++
	}
	var fresh map[uint64][]targets.Report
	for i, w := range r.GetReports() {
		number := r.GetFirst() + uint64(i)
		if number < h.next {
			continue
		}
		h.next = number + 1
		if w.GetTenths() == 0 && told[w.GetTarget()] < repeated {
			continue // A single failure would turn all daemons to the other targets at once.
		}
		if fresh == nil {
			fresh = make(map[uint64][]targets.Report)
		}
		fresh[w.GetTarget()] = append(fresh[w.GetTarget()], targets.NewReport(w.GetTarget(), float64(w.GetTenths())/reportScale))
	}
	return fresh
}

// repeated is how often a target must have failed at another daemon within the
// second that reports cover to count here, unless it was silent.
const repeated = 2

// reportScale is the factor of latencies in reports, which have tenths.
const reportScale = 10

// targetReports is what this daemon tells of failures it saw, for the heartbeats.
func (d *Daemon) targetReports() *mirrorpb.TargetReports {
	first, reports := d.reports.Recent()
	if len(reports) == 0 {
		return nil
	}
	w := &mirrorpb.TargetReports{First: first}
	for _, r := range reports {
		w.Reports = append(w.Reports, &mirrorpb.TargetReport{Target: r.Target(), Tenths: uint32(r.Ratio() * reportScale)})
	}
	return w
}

// hearReports takes in failures that another daemon saw, so that a bad target
// need not be found out by each daemon on its own.
func (d *Daemon) hearReports(m fleet.Member) {
	if !d.serving.includesSelf() || m.Name() == d.settings.Name() {
		return
	}
	fresh := d.told.by(m.Peer(), d.fleet.Known).fresh(m.Incarnation(), m.Reports())
	if len(fresh) == 0 {
		return
	}
	d.mu.Lock()
	groups := d.groups
	d.mu.Unlock()
	for _, g := range groups {
		g.MergeReports(fresh)
	}
}
