package query

import (
	"medlaryard.example/medlaryard/admission"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/targets"
)

// TrialRank sets the function that returns the place of this daemon among those that may
// run a request with the given fingerprint on trial, from 0. The default is 0.
func TrialRank(f func(fingerprint uint64) int) Option {
	return func(e *Engine) { e.trialRank = f }
}

// RecordCrash records that a target crashed while it worked on a request, and judges the
// crash when the ends of other targets are known.
func (e *Engine) RecordCrash(c targets.Crash) {
	if !e.suspects.RecordTargetCrash(c.Fingerprint(), c.Target(), c.Trial()) {
		return
	}
	e.clock.AfterFunc(admission.OutageWindow, func() {
		ended, survived := c.Others()
		result := e.suspects.Judge(c.Fingerprint(), c.Trial(), c.Alone(), ended, survived)
		e.log.Warn().Uint64("fingerprint", c.Fingerprint()).Str("service", c.Service()).Str("target", c.TargetID()).
			Bool("trial", c.Trial()).Bool("alone", c.Alone()).Int("others_ended", len(ended)).Int("others_survived", survived).
			Str("result", result).Int("crashes", e.suspects.Crashes(c.Fingerprint())).
			Msg("target crashed while it worked on a request")
	})
}

// admit returns the refusal of a request that may have crashed targets, unless it may run.
// It marks a request that runs on trial.
func (r *run) admit() (Answer, bool) {
	fingerprint := r.request.Fingerprint()
	a := r.suspects.Admit(fingerprint, func() int { return r.trialRank(fingerprint) })
	switch a.Verdict() {
	case admission.Refuse:
		return refuse(refusal.Poisoned, a.RetryAfter(), "equal requests crashed targets"), false
	case admission.Wait:
		return refuse(refusal.Overloaded, a.RetryAfter(), "an equal request was in flight when a target crashed and is tried first"), false
	case admission.Trial:
		r.trial, r.solo = true, true
	case admission.Run:
	}
	return Answer{}, true
}

// recordAnswer clears the suspicion of a request that was answered by a target of each
// service, or that ran on trial without a broken connection.
func (r *run) recordAnswer(parts ...*part) {
	answered := false
	for _, p := range parts {
		complete := p.answer != nil || p.failure != nil
		answered = answered || complete
		if !complete && (p.broken || !r.trial) {
			return
		}
	}
	if answered {
		r.suspects.Answered(r.request.Fingerprint())
	}
}

// endTrial ends the trial of a request.
func (r *run) endTrial() {
	if r.trial {
		r.suspects.EndTrial(r.request.Fingerprint(), r.broken)
	}
}
