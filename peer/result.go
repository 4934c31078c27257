package peer

import (
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// maxHeld bounds the snapshot labels that one result lists.
const maxHeld = 64

// RelayReply returns the message that carries results.
func RelayReply(results []shard.Result, generation, epoch uint64) *peerpb.RelayReply {
	out := &peerpb.RelayReply{Generation: generation, Epoch: epoch, Results: make([]*peerpb.RelayResult, 0, len(results))}
	for _, r := range results {
		out.Results = append(out.Results, resultOut(r))
	}
	return out
}

// Results returns the results of a message. It refuses messages that break a bound.
func Results(in *peerpb.RelayReply) ([]shard.Result, error) {
	if len(in.Results) > maxItems {
		return nil, refusal.New(refusal.BadReply, "relay reply has %d results", len(in.Results))
	}
	results := make([]shard.Result, 0, len(in.Results))
	for _, m := range in.Results {
		if m == nil || len(m.Hits) > maxHits || len(m.Held) > maxHeld {
			return nil, refusal.New(refusal.BadReply, "relay result has more than %d hits or %d labels", maxHits, maxHeld)
		}
		results = append(results, resultIn(m))
	}
	return results, nil
}

func resultOut(r shard.Result) *peerpb.RelayResult {
	out := &peerpb.RelayResult{
		Kind:     string(r.Kind()),
		Ran:      string(r.Ran()),
		Shard:    r.Shard(),
		Group:    r.Group(),
		Searcher: r.Searcher(),
		Version:  r.Version(),
		Label:    labelOut(r.Label()),
		Body:     r.Body(),
		Attempts: uint32(max(0, r.Attempts())),
		Crashed:  r.Crashed(),
		Detail:   r.Detail(),
	}
	for _, h := range r.Hits() {
		out.Hits = append(out.Hits, &peerpb.Hit{Id: h.ID(), Score: h.Score(), Data: h.Data()})
	}
	held := r.AvailableSnapshots()
	for _, l := range held[:min(len(held), maxHeld)] {
		out.Held = append(out.Held, labelOut(l))
	}
	return out
}

func resultIn(m *peerpb.RelayResult) shard.Result {
	spec := shard.ResultSpec{
		Kind:     refusal.Kind(m.Kind),
		Ran:      ranIn(m.Ran),
		Shard:    m.Shard,
		Group:    m.Group,
		Searcher: m.Searcher,
		Version:  m.Version,
		Label:    labelIn(m.Label),
		Body:     m.Body,
		Attempts: int(m.Attempts),
		Crashed:  m.Crashed,
		Detail:   m.Detail,
	}
	for _, h := range m.Hits {
		spec.Hits = append(spec.Hits, shard.NewHit(shard.HitSpec{ID: h.GetId(), Score: h.GetScore(), Data: h.GetData()}))
	}
	for _, l := range m.Held {
		spec.AvailableSnapshots = append(spec.AvailableSnapshots, labelIn(l))
	}
	return shard.NewResult(spec)
}

// ranIn treats a value that this version does not know as unknown, because
// "not run" must be proved.
func ranIn(s string) refusal.Ran {
	switch r := refusal.Ran(s); r {
	case refusal.NotRun, refusal.DidRun:
		return r
	default:
		return refusal.Unknown
	}
}
