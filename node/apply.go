package node

import (
	"context"
	"net"
	"time"

	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/targets"
)

const (
	// connectionShare is the part of a target's connections that daemons divide
	// among themselves; the rest is for those that are being closed.
	connectionShare = 0.9
)

// apply puts the mirrored configuration and targets in force.
func (d *Daemon) apply() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serving.register(platform.DecodeDaemons(d.mirror.Objects(platform.KindDaemons)))
	now := d.clock.Now()
	d.roster.update(platform.DecodeTargets(d.mirror.Objects(platform.KindTargets), d.settings.RegionOf), now)
	newer := d.readConfig()
	if d.table == nil {
		return
	}
	d.updateGroups(now)
	if newer {
		d.engine.Install(d.table, d.groups)
		d.installed = d.clock.Boot()
		d.log.Info().Uint64("configuration", d.table.Version()).Int("services", len(d.groups)).Msg("configuration in force")
	}
	if d.mirror.Known(platform.KindTargets) {
		d.starting.Do(func() { close(d.started) })
	}
}

// readConfig takes a configuration that is newer than the one in force and makes
// the groups of its services. It reports false if there is none. The groups of a
// configuration never change, so that requests share them without a lock.
func (d *Daemon) readConfig() bool {
	t, revision, err := platform.DecodeConfig(d.mirror.Objects(platform.KindConfig), d.configRevision)
	d.configRevision = revision
	if err != nil {
		d.log.Error().Err(err).Msg("configuration cannot be read; the one in force stays")
		return false
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
			g.Update(nil) // Requests under way are still answered.
		}
	}
	d.groups, d.table, d.used = groups, t, t.Used()
	d.resizeGroups()
	return true
}

func (d *Daemon) newGroup(service string) *targets.Group {
	return targets.NewGroup(service, platform.TargetProtocol(),
		targets.Clock(d.clock), targets.PreferDomain(d.settings.Zone()), targets.Log(d.log),
		targets.OnCrash(d.engine.Crashed), targets.ReportTo(d.reports),
		targets.Dial(func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp4", address)
		}))
}

// updateGroups hands each group its targets and comes back when the next
// vanished target expires.
func (d *Daemon) updateGroups(now time.Time) {
	entries, next := d.roster.entries(now, d.evacuated())
	for name, g := range d.groups {
		g.Update(entries[name])
	}
	if d.expiry != nil {
		d.expiry.Stop()
		d.expiry = nil
	}
	if !next.IsZero() {
		d.expiry = d.clock.AfterFunc(next.Sub(now), func() { d.changed(platform.KindTargets) })
	}
}

// evacuated returns the failure domains that operators have taken out.
func (d *Daemon) evacuated() map[string]bool {
	zones := make(map[string]bool)
	for _, o := range d.mirror.Objects(platform.KindEvacuations) {
		zones[o.Name()] = true
	}
	return zones
}

// resize follows the size of the fleet.
func (d *Daemon) resize() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table != nil {
		d.resizeGroups()
	}
}

func (d *Daemon) resizeGroups() {
	position, n := d.serving.position()
	ahead := d.serving.connectsAhead()
	budget := targets.NewBudgetLimits(d.settings.ExtraRatio(), d.settings.ExtraSlack(), n)
	for name, g := range d.groups {
		s := d.table.Service(name)
		share := int(connectionShare * float64(s.MaxConnections()) / float64(n))
		cold := targets.NewColdLimits(s.WarmUpRate(), d.settings.ColdOvershoot(), d.settings.ColdSlack(), n, position)
		g.Resize(targets.NewSizing(share, cold, budget, d.used[name] && ahead))
	}
}
