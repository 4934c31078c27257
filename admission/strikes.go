package admission

import (
	"container/list"
	"time"

	"medlaryard.example/medlaryard/peer/peerpb"
)

// clearedReportTTL is how long other daemons are told that a request was answered.
const clearedReportTTL = 10 * time.Second

// Merge merges the strikes of another daemon into the table. It skips malformed
// strikes.
func (s *Suspects) Merge(strikes []*peerpb.CrashStrike) {
	for _, c := range strikes {
		if c == nil || c.AgeMs < 0 || c.AgeMs >= strikeTTL.Milliseconds() {
			continue
		}
		s.merge(c)
	}
}

func (s *Suspects) merge(c *peerpb.CrashStrike) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clk.Boot()
	at := now - time.Duration(c.AgeMs)*time.Millisecond
	k := s.entryLocked(c.Fingerprint)
	if c.Crashes == 0 { // A target has answered, or an outage explains the crash.
		if k != nil && !k.cleared && k.at <= at+OutageWindow {
			s.clearLocked(k, at)
			k.explained = c.Explained
		}
		return
	}
	doubts := int(min(c.Doubts, provenDoubts))
	if c.Crashes >= secondCrash && doubts == 0 {
		doubts = provisionalDoubts // A daemon of an earlier version has compared nothing.
	}
	switch {
	case k != nil && k.cleared && at <= k.at+OutageWindow:
		return
	case doubts == 0 && (k == nil || k.cleared) && s.answers.answeredSince(c.Fingerprint, at-answerTTL):
		s.clearLocked(s.addLocked(c.Fingerprint), now)
		return
	case k == nil || k.cleared:
		k = s.addLocked(c.Fingerprint)
	case doubts <= k.doubts && at <= k.at+OutageWindow && !k.lacks(c.Targets):
		return // The strikes of one crash differ by the time that they take.
	}
	if at > k.at+OutageWindow || k.at == 0 {
		k.recordCrash(at, 0)
	}
	if at >= k.at-OutageWindow {
		for _, target := range c.Targets {
			k.recordCrash(k.at, target)
		}
	}
	k.doubts = max(k.doubts, doubts)
	s.touchLocked(c.Fingerprint)
}

// lacks reports whether the entry has room for one of the targets, and not the target.
func (k *suspect) lacks(targets []uint64) bool {
	if len(k.targets) >= maxStrikeTargets {
		return false
	}
	for _, t := range targets[:min(len(targets), maxStrikeTargets)] {
		if !k.endedAt(t) {
			return true
		}
	}
	return false
}

// strike returns the entry in the form in which daemons exchange it.
func (k *suspect) strike(now time.Duration) *peerpb.CrashStrike {
	c := &peerpb.CrashStrike{Fingerprint: k.fingerprint, AgeMs: max(now-k.at, 0).Milliseconds()}
	if k.cleared {
		c.Explained = k.explained
		return c
	}
	c.Crashes, c.Doubts = firstCrash, uint32(k.doubts)
	if k.doubts >= provenDoubts {
		c.Crashes = secondCrash
	}
	if now-k.at <= 2*OutageWindow {
		c.Targets = append(c.Targets, k.targets...)
	}
	return c
}

// CrashReports returns up to limit unexpired strikes: the latest ones, and the others
// in turn, for daemons that missed them.
func (s *Suspects) CrashReports(limit int) []*peerpb.CrashStrike {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports []*peerpb.CrashStrike
	now := s.clk.Boot()
	add := func(e *list.Element) {
		s.visits++
		k := e.Value.(*suspect)
		if age := now - k.at; age < strikeTTL && (!k.cleared || age < clearedReportTTL) {
			reports = append(reports, k.strike(now))
		}
	}
	latest := limit
	if limit < s.order.Len() {
		latest = (limit + 1) / 2
	}
	last, n := (*list.Element)(nil), 0
	for e := s.order.Front(); e != nil && n < latest; e, n = e.Next(), n+1 {
		add(e)
		last = e
	}
	if n == s.order.Len() {
		return reports
	}
	for ; n < limit; n++ { // From the back to the latest ones.
		if s.cursor == nil || s.cursor == last {
			s.cursor = s.order.Back()
		}
		add(s.cursor)
		s.cursor = s.cursor.Prev()
	}
	return reports
}
