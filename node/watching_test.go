package node

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/fleet"
	"medlaryard.example/medlaryard/mirror"
	"medlaryard.example/medlaryard/platform"
)

// Guards against all daemons reading the whole store when the system restarts,
// and against serving daemons that wait for others to start.
func TestInitialStoreReaders(t *testing.T) {
	registered := strongAndWeakCandidates()
	var reads []string
	for _, c := range registered {
		if wouldServe(registered, c) {
			reads = append(reads, c.Name())
		}
	}
	if diff := cmp.Diff([]string{"d00", "d01", "d02", "d03"}, reads); diff != "" {
		t.Errorf("daemons that read the store at once (-want +got):\n%s", diff)
	}
	for _, c := range []struct {
		capacity float64
		want     bool
	}{{0.8, true}, {0.2, false}} {
		replacement := fleet.NewCandidate("new", "z0", "10.0.1.1:7", c.capacity)
		if got := wouldServe(registered, replacement); got != c.want {
			t.Errorf("a new daemon of capacity %v reads the store at once: %v, want %v", c.capacity, got, c.want)
		}
	}
}

// Guards against delays that are each below the time in which a change must be
// in force on all daemons, and add up to more.
func TestChangeDelaysAddUp(t *testing.T) {
	const (
		lostHeartbeat    = 300 * time.Millisecond
		boundWithStandby = 5 * time.Second // On all deployments that have standby daemons.
	)
	within := map[string]time.Duration{
		platform.KindConfig: 3 * time.Second, platform.KindTargets: 3 * time.Second, platform.KindEvacuations: 5 * time.Second,
	}
	checked := 0
	for _, k := range followedKinds() {
		bound, ok := within[k.Name()]
		if !ok {
			continue
		}
		checked++
		copied := minNotifyInterval + lostHeartbeat
		copiedToStandby := copied + standbyHeartbeatRounds*lostHeartbeat + minStandbyFetchInterval
		for _, c := range []struct {
			cause string
			delay time.Duration
			bound time.Duration
		}{
			{"silent watch", k.MaxDelay() + copied, bound},
			{"lost daemon", mirror.MaxContactAge + mirror.IdlePollInterval + copied, bound},
			{"late copy", changeBatchDelay + callTimeout + lostHeartbeat + copied, bound},
			{"silent watch, standby daemon", k.MaxDelay() + copiedToStandby, boundWithStandby},
		} {
			if c.delay > c.bound-changeMargin {
				t.Errorf("%s, %s: a change takes %v, want at most %v", k.Name(), c.cause, c.delay, c.bound-changeMargin)
			}
		}
	}
	if checked != len(within) {
		t.Errorf("%d of %d kinds with a bound are followed", checked, len(within))
	}
}

// changeMargin is left for the calls and for busy daemons.
const changeMargin = 500 * time.Millisecond

// Guards against a daemon that keeps the watch while its calls fail, and against all standby
// daemons calling the store at once.
func TestDaemonsThatWatch(t *testing.T) {
	working, failing, silent := newWatcher("", 0, 0), newWatcher("", 0, time.Minute), newWatcher("", mirror.NoContact, mirror.NoContact)
	for _, c := range []struct {
		name    string
		states  []watcher // Of daemons a, b, ...
		serving int       // The first ones serve.
		want    []string
	}{
		{"first by name", []watcher{working, working, working}, 2, []string{"a"}},
		{"the first fails", []watcher{failing, working, silent}, 3, []string{"b"}},
		{"the last one works", []watcher{failing, silent, working}, 3, []string{"c"}},
		{"start", []watcher{silent, silent, silent, silent}, 2, []string{"a", "b", "c", "d"}},
		{"all that serve fail", []watcher{failing, failing, silent, silent, working}, 2, []string{"e"}},
		{"all that serve fail, nobody else tries yet", []watcher{failing, failing, newWatcher("", mirror.NoContact, 0), newWatcher("", mirror.NoContact, 0)}, 2, []string{"a", "b", "c"}},
		{"the first standby daemon fails too", []watcher{failing, failing, failing, newWatcher("", mirror.NoContact, 0)}, 2, []string{"a", "b", "d"}},
		{"all fail", []watcher{failing, failing, failing, failing}, 1, []string{"a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			named := make([]watcher, len(c.states))
			for i, w := range c.states {
				w.name = string(rune('a' + i))
				named[i] = w
			}
			var got []string
			for i, self := range named {
				others := append(append([]watcher(nil), named[:i]...), named[i+1:]...)
				if watches(self, i < c.serving, others) {
					got = append(got, self.name)
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("daemons that watch (-want +got):\n%s", diff)
			}
		})
	}
}
