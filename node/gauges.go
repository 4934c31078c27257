package node

import (
	"math"

	"medlaryard.example/medlaryard/meter"
)

// gauges sets the metrics that tell the present state of the daemon. They are
// set when the metrics are read.
func (d *Daemon) gauges() {
	place, serving := d.serving.position()
	meter.Gauge("daemons.serving", int64(serving))
	meter.Gauge("daemons.alive", int64(len(d.fleet.Alive())))
	meter.Gauge("daemon.serves", flag(place >= 0))
	meter.Gauge("daemon.leaving", flag(d.leaving.Load()))
	meter.Gauge("store.age_ms", d.follower.StoreAge().Milliseconds())
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table != nil {
		meter.Gauge("configuration.version", int64(d.table.Version()))
		meter.Gauge("configuration.age_ms", (d.clock.Boot() - d.installed).Milliseconds())
	}
	reachable, all := d.reach()
	meter.Gauge("services.used", int64(all))
	meter.Gauge("services.unreachable", int64(all-reachable))
	budget := math.Inf(1)
	for name, g := range d.groups {
		if d.used[name] {
			budget = math.Min(budget, g.Budget())
		}
	}
	if !math.IsInf(budget, 1) {
		meter.Gauge("budget.least", int64(budget))
	}
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
