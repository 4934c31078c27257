package admission

import (
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
	// maxSuspects bounds the table; each strike takes about 50 bytes.
	maxSuspects = 65536
)

// Values of strike.crashes. The shards of a fan-out run in parallel, so all
// crashes of its first round count as one.
const (
	firstCrash  = 1
	secondCrash = 2
)

// Suspects is the table of fingerprints of requests that crashed searchers. It
// is safe for concurrent use.
type Suspects struct {
	clk       clock.Clock
	broadcast func([]*peerpb.CrashStrike)

	mu    sync.Mutex
	table map[uint64]strike
}

type strike struct {
	crashes uint32
	at      time.Duration // Boot time of the latest crash, or of a later Clear.
}

// NewSuspects returns an empty table. It passes new strikes to broadcast, which
// must not block.
func NewSuspects(clk clock.Clock, broadcast func([]*peerpb.CrashStrike)) *Suspects {
	return &Suspects{clk: clk, broadcast: broadcast, table: make(map[uint64]strike)}
}

// Crashes returns the number of crashes of a fingerprint: 0, 1 or 2.
func (s *Suspects) Crashes(fingerprint uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.unexpiredLocked(fingerprint).crashes)
}

// RecordCrash records a crash by a request that was not a suspect.
func (s *Suspects) RecordCrash(fingerprint uint64) { s.record(fingerprint, firstCrash) }

// RecordRepeatCrash records a crash by a suspect request.
func (s *Suspects) RecordRepeatCrash(fingerprint uint64) { s.record(fingerprint, secondCrash) }

// Clear resets the crashes of a fingerprint after one of its requests was
// answered, so that requests that were only in flight when a searcher crashed
// are served again. Older strikes that other daemons still send are ignored.
func (s *Suspects) Clear(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.table[fingerprint]; ok {
		s.table[fingerprint] = strike{at: s.clk.Boot()}
	}
}

// SinceLastCrash returns the time since the latest crash of a fingerprint, or
// since a later Clear.
func (s *Suspects) SinceLastCrash(fingerprint uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clk.Boot() - s.table[fingerprint].at
}

func (s *Suspects) record(fingerprint uint64, crashes uint32) {
	meter.Count("admission.strike", 1)
	if s.update(fingerprint, crashes, 0) {
		s.broadcast([]*peerpb.CrashStrike{{Fingerprint: fingerprint, Crashes: crashes}})
	}
}

// Merge merges the strikes of another daemon into the table. It skips malformed
// strikes.
func (s *Suspects) Merge(strikes []*peerpb.CrashStrike) {
	for _, c := range strikes {
		if c == nil || c.AgeMs < 0 || c.Crashes == 0 {
			continue
		}
		s.update(c.Fingerprint, min(c.Crashes, secondCrash), time.Duration(c.AgeMs)*time.Millisecond)
	}
}

// update records a crash count that is higher than the current one, unless the
// fingerprint was cleared after that crash. It reports whether it changed the
// table.
func (s *Suspects) update(fingerprint uint64, crashes uint32, age time.Duration) bool {
	if age >= strikeTTL {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.unexpiredLocked(fingerprint)
	at := s.clk.Boot() - age
	cleared := current.crashes == 0 && current.at > 0 && at <= current.at
	if current.crashes >= crashes || cleared {
		return false
	}
	if len(s.table) >= maxSuspects {
		s.evictLocked()
	}
	s.table[fingerprint] = strike{crashes: crashes, at: at}
	invariant.Check("admission.suspects_bounded", len(s.table) <= maxSuspects, "table holds %d suspects", len(s.table))
	return true
}

func (s *Suspects) unexpiredLocked(fingerprint uint64) strike {
	current, ok := s.table[fingerprint]
	if ok && s.clk.Boot()-current.at >= strikeTTL {
		delete(s.table, fingerprint)
		return strike{}
	}
	return current
}

// evictLocked removes all expired strikes, or the oldest strike if none has
// expired.
func (s *Suspects) evictLocked() {
	now := s.clk.Boot()
	var oldest uint64
	at := time.Duration(1<<63 - 1)
	for f, k := range s.table {
		if now-k.at >= strikeTTL {
			delete(s.table, f)
		} else if k.at < at {
			oldest, at = f, k.at
		}
	}
	if len(s.table) >= maxSuspects {
		delete(s.table, oldest)
	}
}

// CrashReports returns up to limit unexpired strikes, for daemons that missed
// them.
func (s *Suspects) CrashReports(limit int) []*peerpb.CrashStrike {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clk.Boot()
	var list []*peerpb.CrashStrike
	for f, k := range s.table {
		if len(list) == limit {
			break
		}
		if k.crashes > 0 && now-k.at < strikeTTL {
			list = append(list, &peerpb.CrashStrike{Fingerprint: f, Crashes: k.crashes, AgeMs: (now - k.at).Milliseconds()})
		}
	}
	return list
}
