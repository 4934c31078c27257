package peer

import (
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// maxSnapshots is the maximum number of snapshot labels in one result.
const maxSnapshots = 64

// RelayReply returns the message for results, with the sender's generation and
// epoch. It lists at most 64 available snapshots per result.
func RelayReply(results []shard.Result, generation, epoch uint64) *peerpb.RelayReply {
	out := &peerpb.RelayReply{Generation: generation, Epoch: epoch, Results: make([]*peerpb.RelayResult, 0, len(results))}
	for _, r := range results {
		out.Results = append(out.Results, resultToProto(r))
	}
	return out
}

// Results returns the results in a message. It returns a refusal of kind
// refusal.BadReply if the message exceeds a limit.
func Results(in *peerpb.RelayReply) ([]shard.Result, error) {
	if len(in.Results) > MaxItems {
		return nil, refusal.New(refusal.BadReply, "relay reply has %d results, the limit is %d", len(in.Results), MaxItems)
	}
	results := make([]shard.Result, 0, len(in.Results))
	for _, m := range in.Results {
		if m == nil || len(m.Hits) > maxHits || len(m.Held) > maxSnapshots {
			return nil, refusal.New(refusal.BadReply, "relay result is missing or has more than %d hits or %d labels", maxHits, maxSnapshots)
		}
		results = append(results, resultFromProto(m))
	}
	return results, nil
}

func resultToProto(r shard.Result) *peerpb.RelayResult {
	out := &peerpb.RelayResult{
		Kind:     string(r.Kind()),
		Ran:      string(r.Ran()),
		Shard:    r.Shard(),
		Group:    r.Group(),
		Searcher: r.Searcher(),
		Version:  r.Version(),
		Label:    labelToProto(r.Label()),
		Body:     r.Body(),
		Attempts: uint32(max(0, r.Attempts())),
		Crashed:  r.Crashed(),
		Detail:   r.Detail(),
	}
	for _, h := range r.Hits() {
		out.Hits = append(out.Hits, &peerpb.Hit{Id: h.ID(), Score: h.Score(), Data: h.Data()})
	}
	snapshots := r.AvailableSnapshots()
	for _, l := range snapshots[:min(len(snapshots), maxSnapshots)] {
		out.Held = append(out.Held, labelToProto(l))
	}
	return out
}

func resultFromProto(m *peerpb.RelayResult) shard.Result {
	spec := shard.ResultSpec{
		Kind:     refusal.Kind(m.Kind),
		Ran:      ranFromProto(m.Ran),
		Shard:    m.Shard,
		Group:    m.Group,
		Searcher: m.Searcher,
		Version:  m.Version,
		Label:    labelFromProto(m.Label),
		Body:     m.Body,
		Attempts: int(m.Attempts),
		Crashed:  m.Crashed,
		Detail:   m.Detail,
	}
	for _, h := range m.Hits {
		spec.Hits = append(spec.Hits, shard.NewHit(shard.HitSpec{ID: h.GetId(), Score: h.GetScore(), Data: h.GetData()}))
	}
	for _, l := range m.Held {
		spec.AvailableSnapshots = append(spec.AvailableSnapshots, labelFromProto(l))
	}
	return shard.NewResult(spec)
}

// ranFromProto maps values that this version does not know to refusal.Unknown,
// because refusal.NotRun requires proof.
func ranFromProto(s string) refusal.Ran {
	switch r := refusal.Ran(s); r {
	case refusal.NotRun, refusal.DidRun:
		return r
	default:
		return refusal.Unknown
	}
}
