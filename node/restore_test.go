package node

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/standin/metastore"
)

// restoreAfterOutage returns the store to a copy after an outage of a second.
func (c *cluster) restoreAfterOutage(older *metastore.Copy) {
	c.store.Inject(metastore.Down())
	time.Sleep(time.Second)
	c.store.Restore(older)
	c.store.Inject(metastore.Healthy())
}

// Guards against daemons whose entries are lost with the store's latest writes,
// so that a daemon that starts then finds no other, against configurations that
// are missed or reverted, also at a daemon that starts then, and against daemons
// that do not follow the store again. The store is restored twice, the second
// time before the first restore has been handled.
func TestStoreRestored(t *testing.T) {
	c := newCluster(t, 0, 1)
	older := c.store.Copy()
	c.daemons = []*runningDaemon{c.startDaemon(daemonIP(1)), c.startDaemon(daemonIP(2)), c.startDaemon(daemonIP(3))}
	names := []string{daemonIP(1), daemonIP(2), daemonIP(3)}
	registered := func() bool { return slices.Equal(c.store.Names(platform.KindDaemons), names) }
	c.eventually("all daemons are registered", registered)
	inForce := func(path string) {
		t.Helper()
		for _, d := range c.daemons {
			c.eventually(path+" is served by "+d.ip, func() bool {
				return c.ready(d.ip) && c.send(d.ip, "GET", path+"1", "n"+d.ip, "").status == http.StatusOK
			})
		}
	}
	c.putConfig("/second/")
	inForce("/second/")
	for range 20 { // The revisions before the restore are beyond those after it.
		c.store.Put(platform.KindTargets, "odd", map[string]any{})
	}
	c.restoreAfterOutage(older)
	c.store.Restore(older)
	c.eventually("all daemons are registered again", registered)
	for _, d := range c.daemons {
		c.eventually(d.ip+" has read all kinds in the new era", func() bool {
			for _, k := range followedKinds() {
				if at, ok := d.daemon.mirror.Cursor(k.Name()); !ok || at.Era() != 3 {
					return false
				}
			}
			return true
		})
		if r := c.send(d.ip, "GET", "/second/2", "s"+d.ip, ""); r.status != http.StatusOK {
			t.Errorf("status %d at %s for a route of the configuration in force, which the older copy lacks", r.status, d.ip)
		}
	}
	late := c.startDaemon(daemonIP(4))
	c.daemons = append(c.daemons, late)
	inForce("/second/")
	c.putConfig("/third/")
	inForce("/third/")
	c.eventually("the late daemon finds the others", func() bool { return len(c.resolve(late.ip)) == 4 })
}

// Guards against a move whose state is lost with the store's latest writes, and
// against a completed one whose share goes back until it is published again.
func TestMoveStateAfterRestore(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.addTarget("shard0-new", "shard0")
	c.setVersion("shard0-new", "v2")
	c.store.Put(platform.KindMoves, "shard0", map[string]any{"service": "shard0", "target_version": "v2", "duration_s": 1})
	older := c.store.Copy()
	n := 0
	completed := func() bool {
		n++
		c.send(c.daemons[n%2].ip, "GET", "/match/1", fmt.Sprintf("m%d", n), "")
		return strings.Contains(c.store.Status(platform.KindMoves, "shard0"), `"state":"completed"`)
	}
	c.eventually("the move is complete", completed)
	completeAt := func(d *runningDaemon) bool {
		d.daemon.mu.Lock()
		defer d.daemon.mu.Unlock()
		return d.daemon.moves.moves["shard0"].completed
	}
	for _, d := range c.daemons {
		c.eventually("the state is known to "+d.ip, func() bool { return completeAt(d) })
	}
	c.restoreAfterOutage(older)
	c.eventually("the state is written again", completed)
	for _, d := range c.daemons {
		if !completeAt(d) {
			t.Errorf("the move counts as incomplete at %s", d.ip)
		}
	}
}

// Guards against a store that states no era and is served differently from
// before.
func TestStoreWithoutEras(t *testing.T) {
	c := newCluster(t, 0, 1, storeOptions(metastore.WithoutEras()))
	c.daemons = []*runningDaemon{c.startDaemon(daemonIP(1)), c.startDaemon(daemonIP(2))}
	for _, d := range c.daemons {
		c.eventually(d.ip+" serves", func() bool {
			return c.ready(d.ip) && c.send(d.ip, "GET", "/match/1", "w"+d.ip, "").status == http.StatusOK
		})
		if h := d.daemon.heartbeat(); h.Era != 0 || len(h.OlderEras) != 0 {
			t.Errorf("%s states era %d and older eras %v", d.ip, h.Era, h.OlderEras)
		}
	}
}

// Guards against a daemon that starts without a configuration because the older
// copy has none, while the others have one in force.
func TestConfigurationMissingAfterRestore(t *testing.T) {
	c := newCluster(t, 0, 1)
	older := metastore.New(3).Copy()
	c.daemons = []*runningDaemon{c.startDaemon(daemonIP(1)), c.startDaemon(daemonIP(2))}
	inForce := func(d *runningDaemon) {
		t.Helper()
		c.eventually("the configuration is in force at "+d.ip, func() bool {
			table := d.daemon.engine.Table()
			return table != nil && table.Version() == uint64(c.version)
		})
	}
	for _, d := range c.daemons {
		inForce(d)
	}
	c.restoreAfterOutage(older)
	for _, d := range c.daemons {
		c.eventually(d.ip+" passes the configuration on", func() bool { return d.daemon.mirror.Known(kindInForce) })
	}
	inForce(c.startDaemon(daemonIP(3)))
}
