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

// followStore keeps the mirror up to date until ctx ends. Seed daemons and
// daemons selected to serve read the store at once. The others first wait for
// data from these, which reduces the load on the store.
func (d *Daemon) followStore(ctx context.Context, seed bool) {
	wait := time.Duration(0)
	if !seed {
		wait = d.initialWait(ctx)
	}
	for waited := time.Duration(0); waited < wait && !d.mirror.Known(platform.KindTargets); waited += peerWaitInterval {
		if clock.Sleep(ctx, d.clock, peerWaitInterval) != nil {
			return
		}
	}
	d.follower.Run(ctx, followedKinds()...)
}

// followedKinds returns the kinds of objects that the mirror copies. Their
// changes are urgent to different degrees.
func followedKinds() []mirror.Kind {
	return []mirror.Kind{
		mirror.ReadFirst(mirror.NewKind(platform.KindConfig, urgentWatchWait, configRelistInterval, 0)),
		mirror.NewKind(platform.KindTargets, urgentWatchWait, targetsRelistInterval, changeBatchDelay),
		mirror.NewKind(platform.KindEvacuations, evacuationsWatchWait, ordersRelistInterval, 0),
		mirror.NewKind(platform.KindMoves, ordersWatchWait, ordersRelistInterval, 0),
		mirror.NewKind(platform.KindDaemons, ordersWatchWait, ordersRelistInterval, changeBatchDelay),
	}
}

// initialWait returns how long to wait for data from other daemons before
// reading the store, depending on the daemon registry. The registry is empty
// when the system starts for the first time.
func (d *Daemon) initialWait(ctx context.Context) time.Duration {
	callCtx, cancel := context.WithTimeout(ctx, registryReadTimeout)
	defer cancel()
	registered, err := d.store.Daemons(callCtx)
	switch {
	case err != nil:
		d.log.Warn().Err(err).Msg("reading the daemon registry failed at the start; waiting for data from other daemons")
		return initialPeerWait
	case len(registered) == 0:
		return initialPeerWait
	case wouldServe(registered, d.candidate()):
		return 0
	}
	return standbyPeerWait
}

// wouldServe reports whether self, which may not be registered yet, would be
// selected to serve if no daemon is lost.
func wouldServe(registered []fleet.Candidate, self fleet.Candidate) bool {
	all := slices.Clone(registered)
	if i := indexOf(all, self.Name()); i >= 0 {
		all[i] = self // The entry may describe an earlier VM.
	} else {
		all = append(all, self)
	}
	return indexOf(fleet.Select(all, func(string) bool { return false }), self.Name()) >= 0
}

// shouldWatch reports whether this daemon watches the store. A daemon in an earlier era of
// the store does not count, since its objects are out of date.
func (d *Daemon) shouldWatch() bool {
	era, now := d.mirror.Eras().Current(), d.clock.Now()
	var others []watcher
	for _, m := range d.fleet.AliveMembers() {
		if m.Era() >= era && !m.Leaving() {
			others = append(others, newWatcher(m.Name(), m.StoreAgeAt(now), m.FailingAt(now)))
		}
	}
	self := newWatcher(d.settings.Name(), d.follower.StoreAge(), d.follower.FailingFor())
	return watches(self, d.serving.includesSelf(), others)
}

// watcher is what a daemon knows of another one, or of itself, as a daemon that may watch
// the store.
type watcher struct {
	name    string
	reaches bool // The store answers it.
	failing bool // Its lists, watches or writes fail, whatever else the store answers.
}

func newWatcher(name string, storeAge, failing time.Duration) watcher {
	return watcher{name: name, reaches: storeAge < mirror.MaxContactAge, failing: failing >= mirror.MaxContactAge}
}

// watches reports whether a daemon watches the store: the first by name of the serving
// daemons whose calls succeed. If they fail there, another takes over within about two
// seconds, before a change must be in force. A standby daemon watches only if no other
// daemon's calls succeed; if others reach the store nevertheless, one standby daemon at a
// time tries.
func watches(self watcher, serving bool, others []watcher) bool {
	working, preceding, reached := false, false, false
	first := self
	for _, o := range others {
		reached = reached || o.reaches
		if o.reaches && !o.failing {
			working = true
			preceding = preceding || o.name < self.name
		}
		if first.failing && !o.failing || first.failing == o.failing && o.name < first.name {
			first = o
		}
	}
	switch {
	case working && self.failing:
		return false
	case serving:
		return !preceding
	case working:
		return false
	}
	return !reached || first.name == self.name
}
