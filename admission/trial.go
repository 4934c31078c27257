package admission

import (
	"slices"
	"time"

	"medlaryard.example/medlaryard/peer/peerpb"
)

const (
	// provisionalDoubts is the weight of crashes from which on a request is refused
	// until its next trial, provenDoubts the one from which on it is refused until its
	// strike expires.
	provisionalDoubts = 2
	provenDoubts      = 5
	// provisionalRefusal is the time until the trial of a request that is refused
	// provisionally. It grows by provisionalGrowth with each further doubt.
	provisionalRefusal = 20 * time.Second
	provisionalGrowth  = 3
	// settleTime is the time from a crash to the first trial, in which the crash is
	// judged and the daemons learn of it.
	settleTime = time.Second
	// trialStagger is the time by which the trials of daemons of successive ranks
	// begin after one another; a crash in one is known to the next daemon by then.
	trialStagger = 600 * time.Millisecond
	// suspicionTTL is the time after which all daemons serve a suspect again that no
	// trial has confirmed.
	suspicionTTL = 10 * time.Second
	// refusedRetryAfter is the time after which a caller may retry a request that is
	// refused because it crashed targets.
	refusedRetryAfter = time.Second
)

// Verdict is whether a request may run.
type Verdict int

const (
	// Run means that the request is not a suspect.
	Run Verdict = iota
	// Trial means that the request may run on one target, without a retry. EndTrial
	// has to follow.
	Trial
	// Wait means that an equal request is on trial, or will soon be.
	Wait
	// Refuse means that equal requests crashed targets.
	Refuse
)

// Admission is the decision on a request.
type Admission struct {
	verdict    Verdict
	retryAfter time.Duration
}

// Verdict returns whether the request may run.
func (a Admission) Verdict() Verdict { return a.verdict }

// RetryAfter returns the time after which a caller whose request may not run may retry.
func (a Admission) RetryAfter() time.Duration { return a.retryAfter }

// Admit decides whether a request with the given fingerprint may run. Trials begin at
// the daemon of rank 0 and, as long as there is no result, at the others after it. Rank
// is called without a lock, and only for a suspect.
func (s *Suspects) Admit(fingerprint uint64, rank func() int) Admission {
	if s.Crashes(fingerprint) == 0 {
		return Admission{verdict: Run}
	}
	delay := min(time.Duration(rank())*trialStagger, suspicionTTL)
	s.mu.Lock()
	defer s.mu.Unlock()
	k, now := s.suspectLocked(fingerprint), s.clk.Boot()
	if k == nil {
		return Admission{verdict: Run}
	}
	a := k.admit(now, delay)
	if a.verdict == Trial {
		k.trials++
	}
	return a
}

// refused reports whether equal requests are refused.
func (k *suspect) refused(now time.Duration) bool {
	return k.doubts >= provenDoubts || k.doubts >= provisionalDoubts && now-k.at < k.refusal()
}

// refusal returns how long a request is refused provisionally.
func (k *suspect) refusal() time.Duration {
	d := provisionalRefusal
	for range k.doubts - provisionalDoubts {
		d *= provisionalGrowth
	}
	return d
}

// admit decides on a suspect whose trial begins here by the given delay later than at
// the first daemon.
func (k *suspect) admit(now, delay time.Duration) Admission {
	if k.refused(now) {
		return Admission{verdict: Refuse, retryAfter: refusedRetryAfter}
	}
	first := k.at + settleTime
	if k.doubts >= provisionalDoubts {
		first = k.at + k.refusal()
	}
	if k.doubts == 0 && now >= first+suspicionTTL {
		return Admission{verdict: Trial}
	}
	if begin := max(first+delay, k.heldUntil); now < begin {
		return Admission{verdict: Wait, retryAfter: min(begin-now, refusedRetryAfter)}
	}
	if k.trials > 0 {
		return Admission{verdict: Wait, retryAfter: trialStagger}
	}
	return Admission{verdict: Trial}
}

// EndTrial ends a trial. If its connection broke, the next one waits until it is known
// whether the target crashed.
func (s *Suspects) EndTrial(fingerprint uint64, broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.entryLocked(fingerprint)
	if k == nil {
		return
	}
	k.trials = max(k.trials-1, 0)
	if broken {
		k.heldUntil = s.clk.Boot() + settleTime
	}
}

// Judge takes into account, OutageWindow after a crash, which other targets of the
// service ended at that time and how many survived, and whether the crashed target
// worked on nothing else for this daemon. It returns the result for the log.
func (s *Suspects) Judge(fingerprint uint64, trial, alone bool, ended []uint64, survived int) string {
	s.mu.Lock()
	k := s.suspectLocked(fingerprint)
	if k == nil {
		s.mu.Unlock()
		return "answered"
	}
	w := weigh(k.elsewhere(ended), survived, alone)
	switch {
	case trial:
		k.doubts = w.raise(k.doubts)
		s.touchLocked(fingerprint)
	case w == outage && k.doubts == 0 && !k.explained:
		s.clearLocked(k, k.at) // A later trial at another daemon still counts.
		k.explained = true
	}
	strike := k.strike(s.clk.Boot())
	s.mu.Unlock()
	s.broadcast([]*peerpb.CrashStrike{strike})
	return w.String()
}

// elsewhere returns how many of the targets ended without working on the request, as far
// as the daemons know. It is 0 if more of them worked on it than the entry can hold.
func (k *suspect) elsewhere(ended []uint64) int {
	if len(k.targets) >= maxStrikeTargets {
		return 0
	}
	n := 0
	for _, t := range ended {
		if !k.endedAt(t) {
			n++
		}
	}
	return n
}

func (k *suspect) endedAt(target uint64) bool { return slices.Contains(k.targets, target) }

// weight is what a crash says of a request that the target worked on.
type weight int

const (
	outage  weight = iota // Many targets ended that did not work on the request.
	unknown               // There is no other target to compare with.
	doubt                 // The target worked on other requests, too.
	likely                // Some targets ended that did not work on the request.
	proof                 // All other targets survived.
)

// String returns the name of the weight in logs.
func (w weight) String() string {
	return [...]string{"outage", "unknown", "doubt", "likely", "proof"}[w]
}

// raise returns the doubts about a request after a crash in a trial. Outages alone never
// prove that it crashes targets.
func (w weight) raise(doubts int) int {
	switch {
	case w == outage:
		return max(min(doubts+1, provenDoubts-1), doubts)
	case w == unknown:
		return min(doubts+1, provenDoubts)
	case w == proof || doubts >= provisionalDoubts:
		return provenDoubts
	case w == likely:
		return doubts + 2
	}
	return doubts + 1
}

// outageShare is the part of the targets without the request, as a divisor, from which on
// an outage explains the crash.
const outageShare = 2

// weigh compares the targets that did not work on the request: how many ended and how many
// survived. Alone is whether the crashed target worked on nothing else.
func weigh(ended, survived int, alone bool) weight {
	switch {
	case ended > 0 && outageShare*ended >= ended+survived:
		return outage
	case survived == 0:
		return unknown
	case !alone:
		return doubt
	case ended > 0:
		return likely
	}
	return proof
}
