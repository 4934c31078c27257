package node

import (
	"math"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/platform"
)

// updateGauges sets the gauges to the daemon's current state. It runs on each
// scrape.
func (d *Daemon) updateGauges() {
	index, serving := d.serving.position()
	meter.Gauge("daemons.serving", int64(serving))
	meter.Gauge("daemons.alive", int64(len(d.fleet.AliveMembers())))
	meter.Gauge("daemon.serves", boolGauge(index >= 0))
	meter.Gauge("daemon.leaving", boolGauge(d.shutdown.announced()))
	meter.Gauge("store.age_ms", d.follower.StoreAge().Milliseconds())
	meter.Gauge("store.failing_ms", d.follower.FailingFor().Milliseconds())
	meter.Gauge("store.era", int64(d.mirror.Eras().Current()))
	for _, kind := range []string{platform.KindConfig, platform.KindTargets, platform.KindMoves, platform.KindEvacuations, platform.KindDaemons} {
		if age, ok := d.follower.ConfirmedAge(kind); ok {
			meter.Gauge("store.confirmed_age_ms."+kind, age.Milliseconds())
		}
	}
	d.usage.updateGauges()
	d.clients.UpdateGauges()
	meter.Gauge("targets.limited", int64(d.notices.Limited()))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table != nil {
		meter.Gauge("configuration.version", int64(d.table.Version()))
		meter.Gauge("configuration.age_ms", (d.clock.Boot() - d.installedAt).Milliseconds())
		updateAccountGauges(d.table.Accounts())
	}
	reachable, all := d.countReachable()
	meter.Gauge("services.used", int64(all))
	meter.Gauge("services.unreachable", int64(all-reachable))
	budget := math.Inf(1)
	for name, g := range d.groups {
		if d.usedServices[name] {
			budget = math.Min(budget, g.Budget())
		}
	}
	if !math.IsInf(budget, 1) {
		meter.Gauge("budget.least", int64(budget))
	}
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
