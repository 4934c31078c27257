package admission

import "time"

const (
	// answerTTL is how long an answered request is not suspected.
	answerTTL = 30 * time.Second
	// answerSlots is the size of an answerCache.
	answerSlots = 4096
)

// answerCache holds the fingerprints of requests that were answered lately. A
// fingerprint replaces the one in its slot.
type answerCache [answerSlots]struct {
	fingerprint uint64
	at          time.Duration
}

func (c *answerCache) add(fingerprint uint64, at time.Duration) {
	slot := &c[fingerprint%answerSlots]
	slot.fingerprint, slot.at = fingerprint, at
}

// answeredSince reports whether the cache holds an answer no older than since.
func (c *answerCache) answeredSince(fingerprint uint64, since time.Duration) bool {
	slot := &c[fingerprint%answerSlots]
	return slot.fingerprint == fingerprint && slot.at > 0 && slot.at >= since
}
