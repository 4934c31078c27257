package node

import (
	"context"
	"slices"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/fleet"
	"medlaryard.example/medlaryard/mirror"
	"medlaryard.example/medlaryard/platform"
)

// follow follows the store. A daemon that others start from, or that callers are
// sent to, reads it at once; the others first wait for what these tell them, which
// spares the store.
func (d *Daemon) follow(ctx context.Context, seed bool) {
	wait := time.Duration(0)
	if !seed {
		wait = d.startWait(ctx)
	}
	for waited := time.Duration(0); waited < wait && !d.mirror.Known(platform.KindTargets); waited += seedCheck {
		if clock.Sleep(ctx, d.clock, seedCheck) != nil {
			return
		}
	}
	d.follower.Run(ctx,
		mirror.Leading(mirror.NewKind(platform.KindConfig, configReread, 0)),
		mirror.NewKind(platform.KindTargets, targetsReread, gatherChanges),
		mirror.NewKind(platform.KindMoves, ordersReread, 0),
		mirror.NewKind(platform.KindEvacuations, ordersReread, 0),
		mirror.NewKind(platform.KindDaemons, ordersReread, gatherChanges))
}

// startWait returns how long to wait for other daemons before reading the store,
// by the registry. When the system starts for the first time it names none.
func (d *Daemon) startWait(ctx context.Context) time.Duration {
	call, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	registered, err := d.store.Daemons(call)
	switch {
	case err != nil:
		d.log.Warn().Err(err).Msg("the registry of daemons was not read at the start; waiting for other daemons")
		return seedWait
	case len(registered) == 0:
		return seedWait
	case selects(registered, d.candidate()):
		return 0
	}
	return standbyWait
}

// selects reports whether a daemon, which may not be registered yet, is among
// those that serve when none is lost.
func selects(registered []fleet.Candidate, self fleet.Candidate) bool {
	all := slices.Clone(registered)
	if i := indexOf(all, self.Name()); i >= 0 {
		all[i] = self // Its entry may be that of an earlier VM.
	} else {
		all = append(all, self)
	}
	return indexOf(fleet.Select(all, func(string) bool { return false }), self.Name()) >= 0
}

// watches reports whether this daemon is to watch the store. The first by name
// of the serving daemons that reach the store does; another takes over within
// about two seconds, before a change must be in force. One that stands by watches
// only if no other does.
func (d *Daemon) watches() bool {
	others, before := 0, 0
	for _, m := range d.fleet.Alive() {
		if m.Leaving() || m.StoreAge() >= mirror.FreshContact {
			continue
		}
		others++
		if m.Name() < d.settings.Name() {
			before++
		}
	}
	if !d.serving.includesSelf() {
		return others == 0
	}
	return before == 0
}
