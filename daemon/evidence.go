package daemon

import (
	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/move"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// maxEvidence bounds the entries of one report; a cell has at most a few
// services in a move, with two versions and some routes each.
const maxEvidence = 1024

func reportOut(incarnation string, evidence []move.Evidence, stops []move.Stop) *peerpb.ReportRequest {
	out := &peerpb.ReportRequest{Incarnation: incarnation}
	for _, e := range evidence {
		latency, err := e.Sample().Encode()
		if err != nil {
			log.Error().Err(err).Str("service", e.Service()).Msg("evidence is not encoded")
			continue
		}
		out.Evidence = append(out.Evidence, &peerpb.MoveEvidence{
			Service: e.Service(), Version: e.Version(), Route: e.Route(),
			Requests: e.Sample().Requests(), Errors: e.Sample().Errors(), Latency: latency,
		})
	}
	for _, s := range stops {
		out.Stops = append(out.Stops, &peerpb.MoveStop{
			Service: s.Service(), Move: s.Move(), To: s.To(), Reason: s.Reason(),
		})
	}
	return out
}

func evidenceIn(in *peerpb.ReportRequest) []move.Evidence {
	var list []move.Evidence
	for i, e := range in.GetEvidence() {
		if i >= maxEvidence {
			meter.Count("move.refused.evidence", int64(len(in.GetEvidence())-i))
			break
		}
		sample, err := move.DecodeSample(e.GetRequests(), e.GetErrors(), e.GetLatency())
		if err != nil {
			meter.Count("move.refused.evidence", 1)
			continue
		}
		list = append(list, move.NewEvidence(e.GetService(), e.GetVersion(), e.GetRoute(), sample))
	}
	return list
}
