package targets

import (
	"errors"
	"syscall"
	"time"

	"medlaryard.example/medlaryard/meter"
)

// absence is what failed connection attempts show of the process at a target's
// address.
type absence int

const (
	// listening means that the process takes connections, or that it resets them
	// because they exceed its cap.
	listening absence = iota
	// silent means that nothing answers. The process may have ended, or the path to
	// it is cut.
	silent
	// stopped means that the VM refuses connections because no process listens.
	stopped
)

// absenceOf returns what a failed connection attempt shows.
func absenceOf(err error) absence {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return stopped
	case errors.Is(err, syscall.ECONNRESET):
		return listening
	}
	return silent
}

// restarted reports whether a target that takes connections again counts as
// restarted. After silence that is only assumed while its entry may be outdated;
// otherwise a new entry would show it.
func (a absence) restarted(entriesStale bool) bool {
	return a == stopped || a == silent && entriesStale
}

// detectRestart limits a target that takes connections again like a cold one if
// its process has restarted. A restart under the same ID shows in the target's
// entry too, but only once the store has passed it on.
func (g *Group) detectRestart(t *Target, now time.Time) {
	a := t.absence
	t.absence = listening
	coldFor := g.coldLimits.warmUp
	if coldFor == 0 || !a.restarted(g.stale()) {
		return
	}
	meter.Count("target.restarted", 1)
	g.log.Info().Str("service", g.service).Str("target", t.id).Dur("cold_for", coldFor).Msg("target has restarted")
	g.notices.recordRestart(t.fingerprint, now.Add(coldFor))
}
