package mirror

import (
	"errors"
	"sync"
	"time"
)

// callHealth holds since when the calls that keep the mirror current fail, by kind. Pings
// don't count: a store may answer them and refuse the rest. It is safe for concurrent use.
type callHealth struct {
	mu           sync.Mutex
	succeeded    bool                     // Some call has ever succeeded.
	failingSince map[string]time.Duration // Boot times.
}

func newCallHealth() *callHealth {
	return &callHealth{failingSince: make(map[string]time.Duration)}
}

// record records the result of a call. An answer that tells of a lost history or another era
// is a success.
func (h *callHealth) record(kind string, err error, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil || errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrEraChanged):
		h.succeeded = true
		delete(h.failingSince, kind)
	default:
		if _, ok := h.failingSince[kind]; !ok {
			h.failingSince[kind] = now
		}
	}
}

// clear removes a failure of calls that are not needed any more.
func (h *callHealth) clear(kind string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.failingSince, kind)
}

// failingFor returns the longest time for which the calls of a kind have failed, or NoContact
// if no call has ever succeeded.
func (h *callHealth) failingFor(now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.succeeded {
		return NoContact
	}
	longest := time.Duration(0)
	for _, since := range h.failingSince {
		longest = max(longest, now-since)
	}
	return longest
}
