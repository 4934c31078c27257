package targets

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/meter"
)

const (
	// noticeShareTime is how long a notice is passed on to other daemons after
	// the target stated it. It spans several heartbeats.
	noticeShareTime = 2 * time.Second
	// maxSharedNotices bounds the notices in one heartbeat, at 21 bytes each.
	maxSharedNotices = 40
	// maxLeavingNotices bounds the notices for a daemon that has just started. It
	// covers all targets of a failure domain.
	maxLeavingNotices = 2500
	// limitTTL is how long a limit holds that neither the target nor another
	// daemon confirms.
	limitTTL = 10 * time.Second
	// leavingTTL is how long a target is known to leave. It exceeds the time in
	// which a leaving target ends.
	leavingTTL = 10 * time.Minute
	// maxStates bounds the targets of which notices of other daemons are kept. Each takes
	// about 200 bytes.
	maxStates = 20_000
	// expiryInterval is the least time between two searches for expired notices when
	// that number is reached.
	expiryInterval = time.Second
)

// SharedNotice is what one daemon tells others of a target.
type SharedNotice struct {
	target  uint64
	notice  Notice
	coldFor time.Duration
}

// NewSharedNotice returns the notice of the target with the given fingerprint.
func NewSharedNotice(target uint64, n Notice) SharedNotice {
	return SharedNotice{target: target, notice: n}
}

// Restarted returns the notice of a target that the sender has seen restart and
// that is cold for d.
func (s SharedNotice) Restarted(d time.Duration) SharedNotice {
	s.coldFor = d
	return s
}

// ColdFor returns how long the target is still cold because the sender has seen
// it restart, 0 if it has not.
func (s SharedNotice) ColdFor() time.Duration { return s.coldFor }

// Target returns the fingerprint of the target, which is the same on all
// daemons.
func (s SharedNotice) Target() uint64 { return s.target }

// Limit returns the limit that the target has named, in requests a second. It
// returns false if there is none.
func (s SharedNotice) Limit() (perSecond float64, ok bool) { return s.notice.limit, s.notice.limited }

// Leaving reports whether the target has stated that it leaves.
func (s SharedNotice) Leaving() bool { return s.notice.leaving }

// Notices holds what the targets of all services last stated about themselves,
// and which of them have restarted. It outlives the entries of targets and is safe for concurrent use.
type Notices struct {
	clock clock.Clock

	mu     sync.Mutex
	states map[uint64]noticeState // By fingerprint of the target.
	// searchedAt is the last search for expired notices because of maxStates.
	searchedAt time.Time
}

// noticeState is what is known of one target.
type noticeState struct {
	limit    float64
	limited  bool
	leaving  bool
	statedAt time.Time // When the target itself last stated something.
	heardAt  time.Time // When the target or another daemon last confirmed it.

	pausedUntil time.Time // Until when the target takes no requests from this daemon.
	coldUntil   time.Time // Until when the target is cold because it has restarted.
	seenCold    time.Time // The same, if this daemon saw it restart.
}

// holds reports whether the state contains anything at all.
func (s noticeState) holds(now time.Time) bool {
	return s.limited || s.leaving || now.Before(s.pausedUntil) || now.Before(s.coldUntil)
}

// expired reports whether nothing of the state holds any more.
func (s noticeState) expired(now time.Time) bool {
	ttl := limitTTL
	if s.leaving {
		ttl = leavingTTL
	}
	return now.Sub(s.heardAt) > ttl && !now.Before(s.pausedUntil) && !now.Before(s.coldUntil)
}

// NewNotices returns an empty collection.
func NewNotices(c clock.Clock) *Notices {
	return &Notices{clock: c, states: make(map[uint64]noticeState)}
}

// record updates what is known of a target with the notice in its answer. An
// answer without a limit ends the limit; a target that leaves does not return
// before its next start, which has another fingerprint. A pause is not
// shortened by a later answer.
func (n *Notices) record(target uint64, notice Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	s := n.states[target]
	s.limit, s.limited = notice.limit, notice.limited
	s.leaving = s.leaving || notice.leaving
	if until := now.Add(notice.pause); notice.pause > 0 && until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	if !s.holds(now) {
		delete(n.states, target)
		return
	}
	s.statedAt, s.heardAt = now, now
	n.states[target] = s
}

// recordRestart records that this daemon has seen a target restart, which is cold
// until the given time.
func (n *Notices) recordRestart(target uint64, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.states[target]
	s.coldUntil, s.seenCold = until, until
	n.states[target] = s
}

// Recent returns the notices that targets have stated to this daemon in the
// last seconds, the newest first, then those of targets that it has seen restart
// and that are cold. It removes the notices that have expired.
func (n *Notices) Recent() []SharedNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	var recent []uint64
	for target, s := range n.states {
		switch {
		case s.expired(now):
			delete(n.states, target)
		case s.statedLately(now), now.Before(s.seenCold):
			recent = append(recent, target)
		}
	}
	slices.SortFunc(recent, func(a, b uint64) int {
		return cmp.Or(n.states[b].statedAt.Compare(n.states[a].statedAt), cmp.Compare(a, b))
	})
	var shared []SharedNotice
	for _, target := range recent[:min(len(recent), maxSharedNotices)] {
		s := n.states[target]
		var notice Notice
		if s.statedLately(now) {
			notice = Notice{limit: s.limit, limited: s.limited, leaving: s.leaving}
		}
		shared = append(shared, NewSharedNotice(target, notice).Restarted(max(s.seenCold.Sub(now), 0)))
	}
	return shared
}

// statedLately reports whether the target itself has stated something to this
// daemon that is still passed on.
func (s noticeState) statedLately(now time.Time) bool {
	return (s.limited || s.leaving) && !s.statedAt.IsZero() && now.Sub(s.statedAt) <= noticeShareTime
}

// Leaving returns the targets that are known to leave, those heard of last
// first. A daemon that has just started needs them all, since targets may leave
// long after they have said so.
func (n *Notices) Leaving() []SharedNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	var leaving []uint64
	for target, s := range n.states {
		if s.leaving && !s.expired(now) {
			leaving = append(leaving, target)
		}
	}
	slices.SortFunc(leaving, func(a, b uint64) int {
		return cmp.Or(n.states[b].heardAt.Compare(n.states[a].heardAt), cmp.Compare(a, b))
	})
	var shared []SharedNotice
	for _, target := range leaving[:min(len(leaving), maxLeavingNotices)] {
		shared = append(shared, NewSharedNotice(target, Notice{leaving: true}))
	}
	return shared
}

// Merge adds the notices that another daemon has passed on.
func (n *Notices) Merge(shared []SharedNotice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	for _, s := range shared {
		state, known := n.states[s.target]
		if !known && !n.hasRoom(now) {
			meter.Count("targets.notices_ignored", 1)
			continue
		}
		if s.notice.limited {
			state.limit, state.limited = s.notice.limit, true
		}
		state.leaving = state.leaving || s.notice.leaving
		if until := now.Add(s.coldFor); s.coldFor > 0 && until.After(state.coldUntil) {
			state.coldUntil = until
		}
		if s.notice.limited || s.notice.leaving {
			state.heardAt = now
		}
		if state.holds(now) {
			n.states[s.target] = state
		}
	}
}

// hasRoom reports whether the notices of another target may be kept. The caller holds
// n.mu.
func (n *Notices) hasRoom(now time.Time) bool {
	if len(n.states) >= maxStates && now.Sub(n.searchedAt) >= expiryInterval {
		n.searchedAt = now
		maps.DeleteFunc(n.states, func(_ uint64, s noticeState) bool { return s.expired(now) })
	}
	return len(n.states) < maxStates
}

// limit returns the limit that a target has named. It returns false if there is
// none, or if it has expired.
func (n *Notices) limit(target uint64) (perSecond float64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.states[target]
	return s.limit, s.limitHolds(n.clock.Now())
}

// limitHolds reports whether the target has named a limit that has not expired.
func (s noticeState) limitHolds(now time.Time) bool {
	return s.limited && now.Sub(s.heardAt) <= limitTTL
}

// isLeaving reports whether a target has stated that it leaves.
func (n *Notices) isLeaving(target uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.states[target].leaving
}

// pause returns how long a target still takes no requests from this daemon, 0
// if it takes them.
func (n *Notices) pause(target uint64) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(n.states[target].pausedUntil.Sub(n.clock.Now()), 0)
}

// coldFor returns how long a target is still cold because it has restarted, 0 if
// it is not.
func (n *Notices) coldFor(target uint64) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(n.states[target].coldUntil.Sub(n.clock.Now()), 0)
}

// Limited returns the number of targets that have named a limit.
func (n *Notices) Limited() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, s := range n.states {
		if s.limitHolds(n.clock.Now()) {
			count++
		}
	}
	return count
}
