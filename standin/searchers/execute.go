package searchers

import (
	"bytes"
	"errors"
	"math"
	"net/http"
	"time"

	"medlaryard.example/medlaryard/clock"
)

// outcome is the result of a call. reason is set if the searcher states that the
// call did not run.
type outcome struct {
	status int
	reason string
	// noReply means that the connection closes without a reply.
	noReply bool
}

var outcomeOK = outcome{status: http.StatusOK}

func refusal(reason string) outcome {
	return outcome{status: http.StatusServiceUnavailable, reason: reason}
}

// perform admits the call, waits for a slot and runs it.
func (s *Searcher) perform(c *call) outcome {
	if o := s.admit(c); o != outcomeOK {
		return o
	}
	defer s.release(c)
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-c.ctx.Done():
		s.countCancellation(c.cause())
		return refusal("shed")
	}
	return s.execute(c)
}

func (s *Searcher) admit(c *call) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Received++
	now := s.clock.Boot()
	if s.isDownLocked() {
		return outcome{noReply: true}
	}
	if s.draining {
		s.record.AfterDrain++
		s.record.LastAfterDrain = now - s.drainStart
		return refusal("draining")
	}
	if c.shard != "" && c.shard != s.cfg.Shard {
		s.record.WrongShard++
		return outcome{status: http.StatusMisdirectedRequest}
	}
	held, ok := s.heldLocked(c.snapshot)
	if !ok {
		s.record.NotHeld++
		return outcome{status: http.StatusConflict, reason: "snapshot"}
	}
	c.held = held
	if s.inFlight >= s.cfg.Slots+s.cfg.Queue {
		s.record.Shed++
		return refusal("shed")
	}
	if s.cold && s.cfg.ColdSheds && s.inFlight >= s.cfg.ColdLimit {
		s.record.Shed++
		return refusal("cold")
	}
	s.inFlight++
	s.calls[c] = struct{}{}
	s.record.PeakInFlight = max(s.record.PeakInFlight, s.inFlight)
	if s.cold {
		s.record.PeakCold = max(s.record.PeakCold, s.inFlight)
		if s.coldSignAt != 0 && now > s.coldSignAt+coldSignGrace {
			s.record.PeakColdKnown = max(s.record.PeakColdKnown, s.inFlight)
		}
		if s.inFlight > s.cfg.ColdLimit {
			s.record.Collapses++
			s.answersSinceCold = 0
			s.collapsedUntil = now + collapseTime
		}
	}
	return outcomeOK
}

// heldLocked returns a held snapshot and whether it was found; 0 selects the newest.
func (s *Searcher) heldLocked(snapshot uint64) (HeldSnapshot, bool) {
	var best HeldSnapshot
	for _, h := range s.snapshots {
		if h.Snapshot == snapshot || snapshot == 0 && h.Snapshot > best.Snapshot {
			best = h
		}
	}
	return best, best.Snapshot != 0
}

func (s *Searcher) release(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	delete(s.calls, c)
}

func (s *Searcher) execute(c *call) outcome {
	s.mu.Lock()
	f := s.faults
	boots := s.boots
	ratio := f.errorRatio(c.route, s.ranWithFaults, s.inFlight)
	s.ranWithFaults++
	if c.nonIdempotent {
		s.record.Runs[c.requestID()]++
	}
	s.mu.Unlock()
	if f.CrashMarker != "" && bytes.Contains(c.body, []byte(f.CrashMarker)) {
		s.Crash()
		return outcome{noReply: true}
	}
	if err := clock.Sleep(c.ctx, s.clock, s.serviceTime(f.slowdown(c.route))); err != nil {
		s.countCancellation(c.cause())
		return outcome{status: http.StatusGatewayTimeout}
	}
	failed := s.randomFault(ratio)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.boots != boots || s.isDownLocked() {
		return outcome{noReply: true}
	}
	if failed || s.clock.Boot() < s.collapsedUntil {
		s.record.Errors++
		return outcome{status: http.StatusInternalServerError}
	}
	s.recordColdSignLocked()
	s.record.Answered++
	s.answersSinceCold++
	if s.cold && s.answersSinceCold >= s.cfg.WarmAfter {
		s.cold = false
	}
	return outcomeOK
}

func (s *Searcher) serviceTime(factor float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The mean of exp(sigma*N - sigma^2/2) is 1.
	d := factor * float64(s.cfg.ServiceTime) * math.Exp(serviceTimeSigma*s.rng.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2)
	if s.cold {
		d *= coldSlowdown
	}
	return time.Duration(d) + max(0, s.collapsedUntil-s.clock.Boot())
}

func (s *Searcher) countCancellation(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(cause, errExpired) {
		s.record.Expired++
		return
	}
	s.record.Cancelled++
}
