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

// watch is how this daemon learns of configurations from the store.
type watch struct {
	next    time.Duration // Of the next watch after a failed one.
	pause   time.Duration // After the next failure.
	running bool
	version uint64 // Of the object last seen.
	check   time.Duration
	reading bool
}

func (c *Cell) configLocked(now time.Duration) {
	w := &c.watch
	if now >= w.check && !w.reading {
		w.reading = true
		w.check = now + c.checkAfterLocked(now)
		c.later(c.read)
	}
	if now >= w.next && !w.running && c.watcherLocked() {
		w.running = true
		seen := w.version
		c.later(func() { c.watchOnce(seen) })
	}
}

// checkAfterLocked spreads the direct reads of the daemons over the interval.
func (c *Cell) checkAfterLocked(now time.Duration) time.Duration {
	interval := checkInterval
	if c.config.doc.Generation == 0 || c.beat.unheard(now) {
		interval = earlyCheckInterval
	}
	return interval - time.Duration(score("check", c.self.Name())%uint64(interval/8))
}

// watcherLocked reports whether this daemon watches the configuration for its
// failure domain. A daemon without a keeper does not count on others to watch.
func (c *Cell) watcherLocked() bool {
	if c.view.m == nil {
		return false
	}
	return rankOf(watchers(c.view.m.members, c.self.Domain()), c.self.Name()) >= 0
}

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

func (c *Cell) read() {
	obj, err := c.get(CatalogueKey)
	if err == nil {
		c.loaded(obj)
	}
	c.mu.Lock()
	c.watch.reading = false
	c.unlock()
}

func (c *Cell) watchOnce(seen uint64) {
	ctx, cancel := c.within(watchTime)
	defer cancel()
	meter.Count("cell.store.watch", 1)
	obj, err := c.cfg.st.Watch(ctx, CatalogueKey, seen)
	if err == nil {
		c.answered(nil)
		c.loaded(obj)
	} else if errors.Is(err, store.ErrUnavailable) {
		c.answered(err)
	}
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	c.watch.running = false
	switch {
	case err == nil, errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		c.watch.pause = 0
	default:
		c.watch.pause = min(max(watchRetry, 2*c.watch.pause), watchRetryMax)
		c.watch.next = now + c.watch.pause
	}
	c.unlock()
}

// loaded takes a configuration object from the store.
func (c *Cell) loaded(obj store.Object) {
	c.mu.Lock()
	// An object that was deleted and created again may have a lower version.
	c.watch.version = obj.Version()
	c.unlock()
	d, err := DecodeDocument(obj.Value())
	if err != nil {
		c.refuse(err, d.Generation)
		return
	}
	c.install(d, c.self.Name())
}
