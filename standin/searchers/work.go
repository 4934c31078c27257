package searchers

import (
	"bytes"
	"errors"
	"math"
	"net/http"
	"time"

	"medlaryard.example/medlaryard/clock"
)

// outcome is the status of a call, with a reason when the status proves that it
// did not run.
type outcome struct {
	status int
	reason string
	// broken means that the connection broke and no reply is possible.
	broken bool
}

var answered = outcome{status: http.StatusOK}

func refused(reason string) outcome {
	return outcome{status: http.StatusServiceUnavailable, reason: reason}
}

// perform admits the call, waits for a slot and runs it.
func (s *Searcher) perform(k *call) outcome {
	if o := s.admit(k); o != answered {
		return o
	}
	defer s.leave(k)
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-k.ctx.Done():
		s.count(k.cause())
		return refused("shed")
	}
	return s.run(k)
}

func (s *Searcher) admit(k *call) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Received++
	now := s.clock.Boot()
	if s.downLocked() {
		return outcome{broken: true}
	}
	if s.draining {
		s.record.AfterDrain++
		s.record.LastAfterDrain = now - s.drainedAt
		return refused("draining")
	}
	if k.shard != "" && k.shard != s.cfg.Shard {
		s.record.WrongShard++
		return outcome{status: http.StatusMisdirectedRequest}
	}
	held, ok := s.heldLocked(k.snapshot)
	if !ok {
		s.record.NotHeld++
		return outcome{status: http.StatusConflict, reason: "snapshot"}
	}
	k.held = held
	if s.inFlight >= s.cfg.Slots+s.cfg.Queue {
		s.record.Shed++
		return refused("shed")
	}
	if s.cold && s.cfg.ColdSheds && s.inFlight >= s.cfg.ColdLimit {
		s.record.Shed++
		return refused("cold")
	}
	s.inFlight++
	s.calls[k] = struct{}{}
	s.record.PeakInFlight = max(s.record.PeakInFlight, s.inFlight)
	if s.cold {
		s.record.PeakCold = max(s.record.PeakCold, s.inFlight)
		if s.noticed != 0 && now > s.noticed+noticeGrace {
			s.record.PeakColdKnown = max(s.record.PeakColdKnown, s.inFlight)
		}
		if s.inFlight > s.cfg.ColdLimit {
			s.record.Collapses++
			s.warmed = 0
			s.collapsed = now + collapseTime
		}
	}
	return answered
}

// heldLocked finds a snapshot; 0 selects the newest.
func (s *Searcher) heldLocked(snapshot uint64) (Held, bool) {
	var best Held
	for _, h := range s.snapshots {
		if h.Snapshot == snapshot || snapshot == 0 && h.Snapshot > best.Snapshot {
			best = h
		}
	}
	return best, best.Snapshot != 0
}

func (s *Searcher) leave(k *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	delete(s.calls, k)
}

func (s *Searcher) run(k *call) outcome {
	s.mu.Lock()
	f := s.faults
	boots := s.boots
	ratio := f.errorRatio(k.route, s.ran, s.inFlight)
	s.ran++
	if k.run {
		s.record.Runs[k.id]++
	}
	s.mu.Unlock()
	if f.CrashMarker != "" && bytes.Contains(k.body, []byte(f.CrashMarker)) {
		s.Crash()
		return outcome{broken: true}
	}
	if err := clock.Sleep(k.ctx, s.clock, s.serviceTime(f.slowdown(k.route))); err != nil {
		s.count(k.cause())
		return outcome{status: http.StatusGatewayTimeout}
	}
	failed := s.chance(ratio)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.boots != boots || s.downLocked() {
		return outcome{broken: true}
	}
	if failed || s.clock.Boot() < s.collapsed {
		s.record.Errors++
		return outcome{status: http.StatusInternalServerError}
	}
	s.noticeLocked()
	s.record.Answered++
	s.warmed++
	if s.cold && s.warmed >= s.cfg.WarmAfter {
		s.cold = false
	}
	return answered
}

func (s *Searcher) serviceTime(factor float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The mean of exp(sigma*N - sigma^2/2) is 1.
	d := factor * float64(s.cfg.ServiceTime) * math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2)
	if s.cold {
		d *= coldSlowdown
	}
	return time.Duration(d) + max(0, s.collapsed-s.clock.Boot())
}

func (s *Searcher) count(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(cause, errExpired) {
		s.record.Expired++
		return
	}
	s.record.Cancelled++
}
