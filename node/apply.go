package node

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/targets"
)

const (
	// usableConnectionFraction is the fraction of a target's connection limit that
	// is divided among the daemons. The remainder covers connections that are
	// being closed.
	usableConnectionFraction = 0.9
)

// apply installs the configuration and the targets from the mirror.
func (d *Daemon) apply() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serving.setCandidates(platform.DecodeDaemons(d.mirror.Objects(platform.KindDaemons)))
	now := d.clock.Boot()
	outageEnd, _ := d.follower.Contact().OutageEnd()
	d.targetCache.update(platform.DecodeTargets(d.mirror.Objects(platform.KindTargets), d.settings.RegionOf), now, outageEnd)
	updated := d.loadConfig()
	if d.table == nil {
		return
	}
	d.updateGroups(now)
	if updated {
		d.engine.Install(d.table, d.groups)
		d.installedAt = d.clock.Boot()
		d.logAccounts(d.table.Version(), d.table.Accounts())
		d.log.Info().Uint64("configuration", d.table.Version()).Int("services", len(d.groups)).Msg("configuration in force")
	}
	if d.mirror.Known(platform.KindTargets) {
		d.startOnce.Do(func() { close(d.started) })
	}
}

// loadConfig decodes the mirrored configuration and creates the groups of its
// services. It reports false if there is no configuration newer than the
// installed one. The group map of a configuration is never modified, so
// requests share it without a lock.
func (d *Daemon) loadConfig() bool {
	t, err := d.newestConfig()
	if err != nil {
		d.log.Error().Err(err).Msg("configuration cannot be decoded; keeping the installed one")
	}
	if t == nil || d.table != nil && t.Version() <= d.table.Version() {
		return false
	}
	groups := make(map[string]*targets.Group, len(t.Services()))
	for name := range t.Services() {
		if g := d.groups[name]; g != nil {
			groups[name] = g
			continue
		}
		groups[name] = d.newGroup(name)
	}
	for name, g := range d.groups {
		if groups[name] == nil {
			g.Update(nil) // Requests in progress are still answered.
		}
	}
	d.groups, d.table, d.usedServices = groups, t, t.UsedServices()
	d.resizeGroups()
	return true
}

func (d *Daemon) newGroup(service string) *targets.Group {
	placement := targets.Placement(targets.ByLatency{})
	if d.settings.PlacedByCost() {
		placement = targets.ByCost{}
	}
	return targets.NewGroup(service, platform.TargetProtocol(), targets.PlaceBy(placement),
		targets.Clock(d.clock), targets.PreferDomain(d.settings.Domain()), targets.Log(d.log),
		targets.OnCrash(d.engine.RecordCrash), targets.ReportTo(d.reports), targets.NoticesIn(d.notices), targets.ReadWithin(d.readBudget), targets.ConnectWithin(d.connLimit),
		targets.Dial(func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp4", address)
		}))
}

// updateGroups passes each group its targets and schedules the next update for
// when a missing target expires.
func (d *Daemon) updateGroups(now time.Duration) {
	evacuated := d.evacuatedDomains()
	if !maps.Equal(evacuated, d.evacuated) {
		d.log.Info().Strs("zones", slices.Sorted(maps.Keys(evacuated))).Msg("evacuations in force")
		d.evacuated = evacuated
	}
	entries, nextExpiry := d.targetCache.entries(now, evacuated)
	for name, g := range d.groups {
		g.Update(entries[name])
	}
	if d.expiryTimer != nil {
		d.expiryTimer.Stop()
		d.expiryTimer = nil
	}
	if nextExpiry > 0 {
		d.expiryTimer = d.clock.AfterFunc(nextExpiry-now, func() { d.notifyChange(platform.KindTargets) })
	}
}

// evacuatedDomains returns the failure domains that operators have evacuated.
func (d *Daemon) evacuatedDomains() map[string]bool {
	domains := make(map[string]bool)
	for _, o := range d.mirror.Objects(platform.KindEvacuations) {
		domains[o.Name()] = true
	}
	return domains
}

// resize adjusts the limits of all groups to the current number of serving
// daemons.
func (d *Daemon) resize() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table != nil {
		d.resizeGroups()
	}
}

func (d *Daemon) resizeGroups() {
	index, n := d.serving.position()
	preconnect := d.serving.preconnects()
	budget := targets.NewBudgetLimits(d.settings.ExtraRatio(), d.settings.ExtraSlack(), n)
	for name, g := range d.groups {
		s := d.table.Service(name)
		share := int(usableConnectionFraction * float64(s.MaxConnections()) / float64(n))
		cold := targets.NewColdLimits(s.WarmUpRate(), d.settings.ColdOvershoot(), d.settings.ColdSlack(), n, index).WarmUp(s.WarmUp(), s.HealthPath())
		g.Resize(targets.NewGroupLimits(share, cold, budget, d.usedServices[name] && preconnect))
	}
}
