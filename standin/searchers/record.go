package searchers

import "time"

// Record counts what a searcher received and did since it started. Tests use it
// to check how callers treat a searcher.
type Record struct {
	Received    int `json:"received"`
	Answered    int `json:"answered"`
	Shed        int `json:"shed"`
	NotHeld     int `json:"not_held"`
	WrongShard  int `json:"wrong_shard"`
	Cancelled   int `json:"cancelled"`
	Expired     int `json:"expired"`
	Errors      int `json:"errors"`
	Crashes     int `json:"crashes"`
	Collapses   int `json:"collapses"`
	Connections int `json:"connections"`
	// RefusedConnections were reset because Config.Connections was reached.
	RefusedConnections int `json:"refused_connections"`
	PeakConnections    int `json:"peak_connections"`
	PeakInFlight       int `json:"peak_in_flight"`
	// PeakCold is the highest number of requests in flight during a cold start.
	PeakCold int `json:"peak_cold"`
	// PeakColdKnown is PeakCold without the time before coldSignGrace has passed
	// since the first sign of the cold start: a broken connection, a health reply
	// or a slow answer.
	PeakColdKnown int `json:"peak_cold_known"`
	// AfterDrain counts requests that arrived while draining. LastAfterDrain is
	// the time from the start of the drain to the arrival of the last of them.
	AfterDrain     int           `json:"after_drain"`
	LastAfterDrain time.Duration `json:"last_after_drain_ns"`
	// Runs counts the runs of each non-idempotent request, by request identifier.
	Runs map[string]int `json:"runs,omitempty"`
}

func (r Record) copy() Record {
	runs := make(map[string]int, len(r.Runs))
	for id, n := range r.Runs {
		runs[id] = n
	}
	r.Runs = runs
	return r
}
