package daemon

import (
	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/move"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// maxEvidence is the maximum number of evidence entries in one report. Only a few
// services of a cell are in a version move at a time, with two versions and several
// routes each.
const maxEvidence = 1024

// encodeReport converts evidence and stops to a report request. Evidence that cannot
// be encoded is left out.
func encodeReport(incarnation string, evidence []move.Evidence, stops []move.Stop) *peerpb.ReportRequest {
	out := &peerpb.ReportRequest{Incarnation: incarnation}
	for _, e := range evidence {
		latency, err := e.Sample().Encode()
		if err != nil {
			log.Error().Err(err).Str("service", e.Service()).Msg("failed to encode the evidence of a service; it is left out of the report")
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

// decodeEvidence returns the valid entries among the first maxEvidence of in. It counts
// the others as refused.
func decodeEvidence(in *peerpb.ReportRequest) []move.Evidence {
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
