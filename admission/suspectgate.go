package admission

import (
	"context"
	"sync"

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

	mu      sync.Mutex
	running map[uint64]suspectQuery
}

// suspectQuery is a suspect query with requests in flight at this daemon.
type suspectQuery struct {
	id       string
	requests int
}

// NewSuspectGate returns a SuspectGate that runs requests with run.
func NewSuspectGate(s *Suspects, run func(context.Context, shard.Request) shard.Result) *SuspectGate {
	return &SuspectGate{suspects: s, run: run, running: make(map[uint64]suspectQuery)}
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
		return refuse(r, refusal.Poisoned, "an equal request crashed a searcher; the request is not marked as suspect")
	case r.Suspect():
		if !g.acquire(r) {
			return refuse(r, refusal.Overloaded, "an equal suspect request is running")
		}
		defer g.release(r)
	}
	res := g.run(ctx, r)
	if res.Crashed() {
		if r.Suspect() {
			g.suspects.RecordRepeatCrash(r.Fingerprint())
		} else {
			g.suspects.RecordCrash(r.Fingerprint())
		}
	}
	return res
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
