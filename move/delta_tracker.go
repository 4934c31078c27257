package move

import "time"

// sourceLifetime is how long the last report of a silent source is kept, to be
// subtracted from its next one.
const sourceLifetime = 10 * time.Minute

// deltaTracker computes the increments between the cumulative reports of each
// source.
type deltaTracker struct {
	lastReports map[sourceKey]lastReport
}

type sourceKey struct {
	source  string
	service string
	version string
	route   string
}

type lastReport struct {
	sample *Sample
	at     time.Duration
}

func newDeltaTracker() *deltaTracker {
	return &deltaTracker{lastReports: make(map[sourceKey]lastReport)}
}

// delta returns the requests that e counts beyond the previous report of the
// source. It returns an empty sample for the first report of a source, because an
// earlier controller may have counted part of it.
func (t *deltaTracker) delta(source string, e Evidence, now time.Duration) *Sample {
	key := sourceKey{source: source, service: e.service, version: e.version, route: e.route}
	before, known := t.lastReports[key]
	t.lastReports[key] = lastReport{sample: e.sample, at: now}
	if !known {
		return NewSample()
	}
	return e.sample.Delta(before.sample)
}

func (t *deltaTracker) expire(now time.Duration) {
	for key, e := range t.lastReports {
		if now-e.at > sourceLifetime {
			delete(t.lastReports, key)
		}
	}
}
