package node

import (
	"time"

	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/targets"
)

// lapsedEntryTTL is how long after an outage of the store a target stays in use
// without an entry. Entries that expired during the outage return within about
// two seconds of its end.
const lapsedEntryTTL = 2300 * time.Millisecond

// targetCache holds the targets that the store lists and those whose entries may
// have expired in an outage of the store.
type targetCache struct {
	log     zerolog.Logger
	records map[string]*targetRecord
	invalid map[string]bool
}

// targetRecord is the cached entry of one target.
type targetRecord struct {
	entry       targets.Entry
	usableUntil time.Duration // Boot time at which a missing entry expires; 0 while it is listed.
}

func newTargetCache(log zerolog.Logger) *targetCache {
	return &targetCache{log: log, records: make(map[string]*targetRecord), invalid: make(map[string]bool)}
}

// update replaces the listed targets. It removes those that are no longer
// listed, unless an outage of the store has ended less than lapsedEntryTTL ago.
// The times are boot times; outageEnd is 0 if there was no outage. It logs each
// invalid entry once.
func (c *targetCache) update(targets []platform.Target, now, outageEnd time.Duration) {
	present := make(map[string]bool, len(targets))
	invalid := make(map[string]bool)
	var draining, missing []string
	for _, t := range targets {
		if t.Err() != nil {
			invalid[t.Name()] = true
			if !c.invalid[t.Name()] {
				c.log.Warn().Err(t.Err()).Str("entry", t.Name()).Msg("ignoring an invalid target entry")
			}
			continue
		}
		present[t.Name()] = true
		if old := c.records[t.Name()]; old != nil && t.Entry().Draining() && !old.entry.Draining() {
			draining = append(draining, t.Name())
		}
		c.records[t.Name()] = &targetRecord{entry: t.Entry()}
	}
	c.invalid = invalid
	expires := outageEnd + lapsedEntryTTL
	for name, rec := range c.records {
		if present[name] || rec.usableUntil > 0 {
			continue
		}
		missing = append(missing, name)
		if outageEnd == 0 || now >= expires {
			delete(c.records, name)
			continue
		}
		rec.usableUntil = expires
	}
	if len(draining)+len(missing) > 0 {
		c.log.Info().Strs("draining", draining).Strs("missing", missing).Msg("target entries drain or are missing")
	}
}

// entries returns the usable entries by service, without draining targets and
// evacuated failure domains. It also returns the boot time at which the next
// missing entry expires, or 0 if none is missing.
func (c *targetCache) entries(now time.Duration, evacuated map[string]bool) (map[string][]targets.Entry, time.Duration) {
	byService := make(map[string][]targets.Entry)
	var nextExpiry time.Duration
	for name, rec := range c.records {
		if expires := rec.usableUntil; expires > 0 {
			if now >= expires {
				delete(c.records, name)
				continue
			}
			if nextExpiry == 0 || expires < nextExpiry {
				nextExpiry = expires
			}
		}
		if rec.entry.Draining() || evacuated[rec.entry.Domain()] {
			continue
		}
		byService[rec.entry.Service()] = append(byService[rec.entry.Service()], rec.entry)
	}
	return byService, nextExpiry
}
