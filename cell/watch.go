package cell

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/store"
)

// watch is the state of the watch and of the direct reads of the configuration in the
// store.
type watch struct {
	nextWatch  time.Duration // Earliest start of the next watch.
	retryDelay time.Duration // Delay after the last failure; 0 after a success.
	running    bool
	version    uint64        // Version of the object last seen.
	nextCheck  time.Duration // When the next direct read is due.
	reading    bool
}

// watchConfigurationLocked starts a direct read and a watch if they are due.
func (c *Cell) watchConfigurationLocked(now time.Duration) {
	w := &c.watch
	if now >= w.nextCheck && !w.reading {
		w.reading = true
		w.nextCheck = now + c.checkDelayLocked(now)
		c.queueTask(c.readConfiguration)
	}
	if now >= w.nextWatch && !w.running && c.isWatcherLocked() {
		w.running = true
		seen := w.version
		c.queueTask(func() { c.watchOnce(seen) })
	}
}

// checkDelayLocked returns the delay until the next direct read. It is shortened by up
// to an eighth, depending on the name, so that the daemons read at different times. A
// daemon without a configuration or a leader does not rely on the watchers and reads
// every earlyCheckInterval.
func (c *Cell) checkDelayLocked(now time.Duration) time.Duration {
	interval := checkInterval
	if c.configuration.doc.Generation == 0 || c.heartbeat.grantOverdue(now) {
		interval = earlyCheckInterval
	}
	return interval - time.Duration(score("check", c.self.Name())%uint64(interval/8))
}

// isWatcherLocked reports whether this daemon watches the configuration for its
// failure domain. Without a membership it does not.
func (c *Cell) isWatcherLocked() bool {
	if c.view.membership == nil {
		return false
	}
	return rankOf(watchers(c.view.membership.members, c.self.Domain()), c.self.Name()) >= 0
}

// watchers returns the members of a failure domain that watch the configuration.
func watchers(members []Member, domain string) []Member {
	var list []Member
	for _, m := range members {
		if m.Domain() == domain && !m.Leaving() {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(domain, b.Name()), score(domain, a.Name())), cmp.Compare(a.Name(), b.Name()))
	})
	return list[:min(len(list), watchersPerDomain)]
}

func (c *Cell) readConfiguration() {
	obj, err := c.get(CatalogueKey)
	if err == nil {
		c.installObject(obj)
	}
	c.mu.Lock()
	c.watch.reading = false
	c.unlock()
}

func (c *Cell) watchOnce(seen uint64) {
	ctx, cancel := c.withTimeout(watchTimeout)
	defer cancel()
	meter.Count("cell.store.watch", 1)
	obj, err := c.cfg.store.Watch(ctx, CatalogueKey, seen)
	if err == nil {
		c.recordStoreResult(nil)
		c.installObject(obj)
	} else if errors.Is(err, store.ErrUnavailable) {
		c.recordStoreResult(err)
	}
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	c.watch.running = false
	switch {
	case err == nil, errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		c.watch.retryDelay = 0
	default:
		c.watch.retryDelay = min(max(watchRetry, 2*c.watch.retryDelay), watchRetryMax)
		c.watch.nextWatch = now + c.watch.retryDelay
	}
	c.unlock()
}

// installObject decodes and installs a configuration object from the store.
func (c *Cell) installObject(obj store.Object) {
	c.mu.Lock()
	// A deleted and recreated object may have a lower version.
	c.watch.version = obj.Version()
	c.unlock()
	d, err := DecodeDocument(obj.Value())
	if err != nil {
		c.refuseConfiguration(err, d.Generation)
		return
	}
	c.install(d, c.self.Name())
}
