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
	// strikeTime is how long a fingerprint is remembered after its latest crash.
	strikeTime = 10 * time.Minute
	// maxSuspects bounds the table, at about 50 bytes each.
	maxSuspects = 65536
)

// The crashes that a fingerprint is held responsible for. A fan-out is
// parallel, so all crashes of its first round count as one.
const (
	firstCrash  = 1
	secondCrash = 2
)

// Suspects holds the fingerprints of requests that crashed searchers.
type Suspects struct {
	clk    clock.Clock
	spread func([]*peerpb.CrashStrike)

	mu    sync.Mutex
	table map[uint64]strike
}

type strike struct {
	crashes uint32
	at      time.Duration // Boot time of the latest crash.
}

// NewSuspects returns an empty table. Its strikes are handed to spread, which
// must not block.
func NewSuspects(clk clock.Clock, spread func([]*peerpb.CrashStrike)) *Suspects {
	return &Suspects{clk: clk, spread: spread, table: make(map[uint64]strike)}
}

// Crashes returns 0, 1 or 2 for a fingerprint.
func (s *Suspects) Crashes(fingerprint uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.liveLocked(fingerprint).crashes)
}

// RecordCrash records a crash under a request that was not yet a suspect.
func (s *Suspects) RecordCrash(fingerprint uint64) { s.record(fingerprint, firstCrash) }

// RecordRepeatCrash records a crash under a suspect.
func (s *Suspects) RecordRepeatCrash(fingerprint uint64) { s.record(fingerprint, secondCrash) }

// Clear forgets a fingerprint whose request was answered, so that requests
// that only were under way when a searcher crashed are served as before.
// Strikes of before that other daemons still spread are ignored.
func (s *Suspects) Clear(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.table[fingerprint]; ok {
		s.table[fingerprint] = strike{at: s.clk.Boot()}
	}
}

// Age returns the time since the latest crash of a fingerprint.
func (s *Suspects) Age(fingerprint uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clk.Boot() - s.table[fingerprint].at
}

func (s *Suspects) record(fingerprint uint64, crashes uint32) {
	meter.Count("admission.strike", 1)
	if s.raise(fingerprint, crashes, 0) {
		s.spread([]*peerpb.CrashStrike{{Fingerprint: fingerprint, Crashes: crashes}})
	}
}

// Merge takes in the strikes of another daemon.
func (s *Suspects) Merge(strikes []*peerpb.CrashStrike) {
	for _, c := range strikes {
		if c == nil || c.AgeMs < 0 || c.Crashes == 0 {
			continue
		}
		s.raise(c.Fingerprint, min(c.Crashes, secondCrash), time.Duration(c.AgeMs)*time.Millisecond)
	}
}

// raise reports whether it changed the number of crashes.
func (s *Suspects) raise(fingerprint uint64, crashes uint32, age time.Duration) bool {
	if age >= strikeTime {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	have := s.liveLocked(fingerprint)
	at := s.clk.Boot() - age
	cleared := have.crashes == 0 && have.at > 0 && at <= have.at
	if have.crashes >= crashes || cleared {
		return false
	}
	if len(s.table) >= maxSuspects {
		s.evictLocked()
	}
	s.table[fingerprint] = strike{crashes: crashes, at: at}
	invariant.Check("admission.suspects_bounded", len(s.table) <= maxSuspects, "%d suspects", len(s.table))
	return true
}

func (s *Suspects) liveLocked(fingerprint uint64) strike {
	have, ok := s.table[fingerprint]
	if ok && s.clk.Boot()-have.at >= strikeTime {
		delete(s.table, fingerprint)
		return strike{}
	}
	return have
}

// evictLocked removes expired strikes, or else the oldest one.
func (s *Suspects) evictLocked() {
	now := s.clk.Boot()
	var oldest uint64
	at := time.Duration(1<<63 - 1)
	for f, k := range s.table {
		if now-k.at >= strikeTime {
			delete(s.table, f)
		} else if k.at < at {
			oldest, at = f, k.at
		}
	}
	if len(s.table) >= maxSuspects {
		delete(s.table, oldest)
	}
}

// CrashReports returns up to limit live strikes, for daemons that missed them.
func (s *Suspects) CrashReports(limit int) []*peerpb.CrashStrike {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clk.Boot()
	var list []*peerpb.CrashStrike
	for f, k := range s.table {
		if len(list) == limit {
			break
		}
		if k.crashes > 0 && now-k.at < strikeTime {
			list = append(list, &peerpb.CrashStrike{Fingerprint: f, Crashes: k.crashes, AgeMs: (now - k.at).Milliseconds()})
		}
	}
	return list
}
