package admission

import (
	"context"
	"sync"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// SuspectGate stands before a daemon's homes. It keeps two runs of one suspect from
// overlapping, and refuses what the entry did not yet know to be suspect.
type SuspectGate struct {
	suspects *Suspects
	do       func(context.Context, shard.Request) shard.Result

	mu      sync.Mutex
	running map[uint64]run
}

// run is a suspect query with requests in flight at this daemon.
type run struct {
	id       string
	requests int
}

// NewSuspectGate returns a SuspectGate that passes requests to do.
func NewSuspectGate(s *Suspects, do func(context.Context, shard.Request) shard.Result) *SuspectGate {
	return &SuspectGate{suspects: s, do: do, running: make(map[uint64]run)}
}

// Do runs a request unless its fingerprint forbids it, and records a crash.
func (t *SuspectGate) Do(ctx context.Context, r shard.Request) shard.Result {
	crashes := t.suspects.Crashes(r.Fingerprint())
	switch {
	case crashes >= secondCrash:
		return refuse(r, refusal.Poisoned, "equal requests crashed searchers twice")
	case crashes == firstCrash && !r.Suspect():
		return refuse(r, refusal.Poisoned, "an equal request has just crashed a searcher")
	case r.Suspect():
		if !t.enter(r) {
			return refuse(r, refusal.Overloaded, "an equal suspect request is running")
		}
		defer t.leave(r)
	}
	res := t.do(ctx, r)
	if res.Crashed() {
		if r.Suspect() {
			t.suspects.RecordRepeatCrash(r.Fingerprint())
		} else {
			t.suspects.RecordCrash(r.Fingerprint())
		}
	}
	return res
}

// enter admits all requests of one query and none of another.
func (t *SuspectGate) enter(r shard.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	have, ok := t.running[r.Fingerprint()]
	if ok && have.id != r.ID() {
		return false
	}
	t.running[r.Fingerprint()] = run{id: r.ID(), requests: have.requests + 1}
	return true
}

func (t *SuspectGate) leave(r shard.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	have := t.running[r.Fingerprint()]
	if have.requests--; have.requests == 0 {
		delete(t.running, r.Fingerprint())
		return
	}
	t.running[r.Fingerprint()] = have
}

func refuse(r shard.Request, kind refusal.Kind, detail string) shard.Result {
	meter.Refused("admission", kind)
	return shard.NewResult(shard.ResultSpec{
		Kind: kind, Ran: refusal.NotRun, Shard: r.Shard(), Group: r.Group(), Detail: detail,
	})
}
