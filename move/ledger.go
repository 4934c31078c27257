package move

import "time"

// sourceLifetime is how long the last report of a home that went silent is
// kept to subtract from its next one.
const sourceLifetime = 10 * time.Minute

// ledger turns the cumulative reports of many sources into differences.
type ledger struct {
	last map[ledgerKey]ledgerEntry
}

type ledgerKey struct {
	source  string
	service string
	version string
	route   string
}

type ledgerEntry struct {
	sample *Sample
	at     time.Duration
}

func newLedger() *ledger { return &ledger{last: make(map[ledgerKey]ledgerEntry)} }

// difference returns what e counts beyond the source's previous report. The
// first report of a source yields nothing: part of it may have been counted by
// an earlier controller.
func (l *ledger) difference(source string, e Evidence, now time.Duration) *Sample {
	key := ledgerKey{source: source, service: e.service, version: e.version, route: e.route}
	before, known := l.last[key]
	l.last[key] = ledgerEntry{sample: e.sample, at: now}
	if !known {
		return NewSample()
	}
	return e.sample.Since(before.sample)
}

func (l *ledger) expire(now time.Duration) {
	for key, e := range l.last {
		if now-e.at > sourceLifetime {
			delete(l.last, key)
		}
	}
}
