package admission

import (
	"context"
	"sync"
	"time"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// SuspectGate checks requests before they reach the homes of a daemon. It
// prevents two queries with the same suspect fingerprint from running at the
// same time, and refuses requests whose entry did not know yet that they are
// suspect.
type SuspectGate struct {
	suspects *Suspects
	run      func(context.Context, shard.Request) shard.Result
	outage   func(group string, since time.Duration) (ended []uint64, survived int)

	mu      sync.Mutex
	running map[uint64]suspectQuery
}

// suspectQuery is a suspect query with requests in flight at this daemon.
type suspectQuery struct {
	id       string
	requests int
}

// GateOption sets one property of a SuspectGate.
type GateOption func(*SuspectGate)

// Outages sets the function that returns which searchers of a group have ended since a
// boot time and how many have not. Without it, each crash of a suspect is a proof.
func Outages(f func(group string, since time.Duration) (ended []uint64, survived int)) GateOption {
	return func(g *SuspectGate) { g.outage = f }
}

// NewSuspectGate returns a SuspectGate that runs requests with run.
func NewSuspectGate(s *Suspects, run func(context.Context, shard.Request) shard.Result, opts ...GateOption) *SuspectGate {
	g := &SuspectGate{suspects: s, run: run, running: make(map[uint64]suspectQuery)}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Do runs a request and records a crash. It refuses the request if its
// fingerprint has crashed searchers twice, if it crashed a searcher once and
// the request is not marked as suspect, or while another query of the same
// suspect runs.
func (g *SuspectGate) Do(ctx context.Context, r shard.Request) shard.Result {
	crashes := g.suspects.Crashes(r.Fingerprint())
	switch {
	case crashes >= secondCrash:
		return refuse(r, refusal.Poisoned, "equal requests crashed searchers twice")
	case crashes == firstCrash && !r.Suspect():
		return refuse(r, refusal.Overloaded, "an equal request crashed a searcher; the request is not marked as suspect")
	case r.Suspect():
		if !g.acquire(r) {
			return refuse(r, refusal.Overloaded, "an equal suspect request is running")
		}
	}
	judged := false // The judgement ends the turn of a suspect.
	defer func() {
		if r.Suspect() && !judged {
			g.release(r)
		}
	}()
	res := g.run(ctx, r)
	judged = res.Crashed() && g.recordCrash(r, res.CrashedAlone())
	return res
}

// recordCrash records a crash, and reports whether it is judged later.
func (g *SuspectGate) recordCrash(r shard.Request, alone bool) bool {
	if g.outage == nil {
		if r.Suspect() {
			g.suspects.RecordRepeatCrash(r.Fingerprint())
		} else {
			g.suspects.RecordCrash(r.Fingerprint())
		}
		return false
	}
	if !g.suspects.RecordTargetCrash(r.Fingerprint(), 0, r.Suspect()) {
		return false
	}
	since := g.suspects.clk.Boot() - OutageWindow
	g.suspects.clk.AfterFunc(OutageWindow, func() {
		ended, survived := g.outage(r.Group(), since)
		g.suspects.Judge(r.Fingerprint(), r.Suspect(), alone, ended, survived)
		if r.Suspect() {
			g.release(r)
		}
	})
	return true
}

// acquire reports whether the request may run: all requests of one query may
// run at the same time, those of another query with the same fingerprint may
// not.
func (g *SuspectGate) acquire(r shard.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	query, ok := g.running[r.Fingerprint()]
	if ok && query.id != r.ID() {
		return false
	}
	g.running[r.Fingerprint()] = suspectQuery{id: r.ID(), requests: query.requests + 1}
	return true
}

func (g *SuspectGate) release(r shard.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	query := g.running[r.Fingerprint()]
	if query.requests--; query.requests == 0 {
		delete(g.running, r.Fingerprint())
		return
	}
	g.running[r.Fingerprint()] = query
}

func refuse(r shard.Request, kind refusal.Kind, detail string) shard.Result {
	meter.Refused("admission", kind)
	return shard.NewResult(shard.ResultSpec{
		Kind: kind, Ran: refusal.NotRun, Shard: r.Shard(), Group: r.Group(), Detail: detail,
	})
}
