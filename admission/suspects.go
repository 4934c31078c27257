package admission

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
)

const (
	// strikeTTL is how long a strike is kept after the latest crash of its
	// fingerprint.
	strikeTTL = 10 * time.Minute
	// maxSuspects bounds the table; each strike takes about 200 bytes.
	maxSuspects = 65536
	// maxStrikeTargets bounds the targets of one strike.
	maxStrikeTargets = 8
	// OutageWindow is the time within which targets that end together count as one
	// outage, and after which a crash is judged.
	OutageWindow = 750 * time.Millisecond
)

// Values of Crashes, and of the strikes that daemons exchange. The shards of a fan-out
// run in parallel, so all crashes of its first round count as one.
const (
	firstCrash  = 1
	secondCrash = 2
)

// Suspects is the table of fingerprints of requests that may crash targets. A request
// that was in flight when a target ended is a suspect. Only a crash in a trial, in which
// the request runs on one target, counts against it further, and an answer of any target
// clears it. Suspects is safe for concurrent use.
type Suspects struct {
	clk       clock.Clock
	broadcast func([]*peerpb.CrashStrike)

	mu       sync.Mutex
	elements map[uint64]*list.Element
	order    *list.List    // Of *suspect; the latest change is at the front.
	cursor   *list.Element // Where the next round of older reports begins; nil for the back.
	answers  answerCache
	visits   int // Entries of the table that were looked at.
}

// suspect is the entry of one fingerprint.
type suspect struct {
	fingerprint uint64
	at          time.Duration // Boot time of the latest crash, or of the answer that cleared it.
	cleared     bool
	explained   bool     // An outage has explained a crash, and no target has answered since.
	doubts      int      // What crashes in trials weigh, up to provenDoubts.
	targets     []uint64 // Targets that ended within OutageWindow of at while they worked on it.
	trials      int      // Trials that run here.
	heldUntil   time.Duration
}

// NewSuspects returns an empty table. It passes new strikes to broadcast, which
// must not block.
func NewSuspects(clk clock.Clock, broadcast func([]*peerpb.CrashStrike)) *Suspects {
	return &Suspects{clk: clk, broadcast: broadcast, elements: make(map[uint64]*list.Element), order: list.New()}
}

// Crashes returns 0 for a fingerprint that is not suspect, 1 for one that is, and 2
// for one whose requests are refused.
func (s *Suspects) Crashes(fingerprint uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch k := s.suspectLocked(fingerprint); {
	case k == nil:
		return 0
	case k.refused(s.clk.Boot()):
		return secondCrash
	}
	return firstCrash
}

// RecordCrash records that a target ended while it worked on a request that was not
// on trial.
func (s *Suspects) RecordCrash(fingerprint uint64) { s.RecordTargetCrash(fingerprint, 0, false) }

// RecordTargetCrash records that the target with the given fingerprint, or 0 if it is
// not known, ended while it worked on a request, and reports whether the request is a
// suspect now. One that was answered lately is none, unless it was on trial.
func (s *Suspects) RecordTargetCrash(fingerprint, target uint64, trial bool) bool {
	meter.Count("admission.strike", 1)
	s.mu.Lock()
	now := s.clk.Boot()
	if !trial && s.answers.answeredSince(fingerprint, now-answerTTL) {
		s.mu.Unlock()
		meter.Count("admission.strike.answered", 1)
		return false
	}
	k := s.suspectLocked(fingerprint)
	isNew := k == nil
	if isNew {
		k = s.addLocked(fingerprint)
	}
	k.recordCrash(now, target)
	s.touchLocked(fingerprint)
	strike := k.strike(now)
	s.mu.Unlock()
	if isNew || trial {
		s.broadcast([]*peerpb.CrashStrike{strike})
	}
	return true
}

// recordCrash adds a crash at the given boot time. Target may be 0.
func (k *suspect) recordCrash(at time.Duration, target uint64) {
	if at-k.at > OutageWindow {
		k.targets = nil
	}
	k.at = max(k.at, at)
	if target != 0 && len(k.targets) < maxStrikeTargets && !slices.Contains(k.targets, target) {
		k.targets = append(k.targets, target)
	}
}

// RecordRepeatCrash records a crash in a trial that nothing else explains.
func (s *Suspects) RecordRepeatCrash(fingerprint uint64) {
	s.RecordTargetCrash(fingerprint, 0, true)
	s.mu.Lock()
	k := s.suspectLocked(fingerprint)
	if k == nil {
		s.mu.Unlock()
		return // It was answered meanwhile.
	}
	k.doubts = provenDoubts
	strike := k.strike(s.clk.Boot())
	s.mu.Unlock()
	s.broadcast([]*peerpb.CrashStrike{strike})
}

// Answered records that a target answered a request, which is no suspect then. Older
// strikes that other daemons still send are ignored.
func (s *Suspects) Answered(fingerprint uint64) {
	s.mu.Lock()
	now := s.clk.Boot()
	s.answers.add(fingerprint, now)
	k := s.suspectLocked(fingerprint)
	if k == nil {
		s.mu.Unlock()
		return
	}
	s.clearLocked(k, now)
	strike := k.strike(now)
	s.mu.Unlock()
	meter.Count("admission.strike.cleared", 1)
	s.broadcast([]*peerpb.CrashStrike{strike})
}

func (s *Suspects) clearLocked(k *suspect, at time.Duration) {
	*k = suspect{fingerprint: k.fingerprint, at: at, cleared: true, trials: k.trials}
	s.touchLocked(k.fingerprint)
}

// suspectLocked returns the entry of a fingerprint, or nil if it is not suspect.
func (s *Suspects) suspectLocked(fingerprint uint64) *suspect {
	k := s.entryLocked(fingerprint)
	if k == nil || k.cleared {
		return nil
	}
	return k
}

// entryLocked returns the entry of a fingerprint, cleared or not, or nil.
func (s *Suspects) entryLocked(fingerprint uint64) *suspect {
	e := s.elements[fingerprint]
	if e == nil {
		return nil
	}
	s.visits++
	k := e.Value.(*suspect)
	if s.clk.Boot()-k.at >= strikeTTL {
		s.removeLocked(e)
		return nil
	}
	return k
}

// addLocked adds an entry without crashes, in place of a cleared one. A full table
// loses the entry that has not changed for the longest time.
func (s *Suspects) addLocked(fingerprint uint64) *suspect {
	if e := s.elements[fingerprint]; e != nil {
		s.visits++
		k := e.Value.(*suspect)
		*k = suspect{fingerprint: fingerprint, explained: k.explained, trials: k.trials}
		return k
	}
	if len(s.elements) >= maxSuspects {
		s.visits++
		s.removeLocked(s.order.Back())
	}
	k := &suspect{fingerprint: fingerprint}
	s.elements[fingerprint] = s.order.PushFront(k)
	invariant.Check("admission.suspects_bounded", len(s.elements) <= maxSuspects, "table holds %d suspects", len(s.elements))
	return k
}

// touchLocked moves the entry of a fingerprint to the front.
func (s *Suspects) touchLocked(fingerprint uint64) {
	e := s.elements[fingerprint]
	if s.cursor == e {
		s.cursor = e.Prev()
	}
	s.order.MoveToFront(e)
}

func (s *Suspects) removeLocked(e *list.Element) {
	if s.cursor == e {
		s.cursor = e.Prev()
	}
	s.order.Remove(e)
	delete(s.elements, e.Value.(*suspect).fingerprint)
}
