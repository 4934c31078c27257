package searchers

// Faults are the faults that a searcher injects. Ratios are fractions of requests
// or replies, from 0 to 1.
type Faults struct {
	// Slowdown multiplies service times; 0 means 1.
	Slowdown float64 `json:"slowdown"`
	// Errors is the ratio of errors with unknown outcome, by route; "*" applies
	// to routes without an entry.
	Errors map[string]float64 `json:"errors"`
	// ErrorsAfter is the number of requests that a searcher runs before Errors
	// apply. Errors apply only with more than ErrorsAbove requests in flight.
	ErrorsAfter int `json:"errors_after"`
	ErrorsAbove int `json:"errors_above"`
	// SlowRoutes multiplies the service times by route, in addition to Slowdown.
	SlowRoutes map[string]float64 `json:"slow_routes"`
	// Health replaces the state in health replies; empty reports the real state.
	Health string `json:"health"`
	// Down resets all open and new connections.
	Down bool `json:"down"`
	// CrashMarker crashes a searcher that runs a request whose body contains it.
	CrashMarker string `json:"crash_marker"`
	// Truncate is the ratio of replies that end in the middle of the body, because
	// the connection closes.
	Truncate float64 `json:"truncate"`
	// Duplicate is the ratio of replies that are sent twice on their connection.
	Duplicate float64 `json:"duplicate"`
	// Mislabel is the ratio of replies with a wrong value in MislabelField: id,
	// shard, snapshot, map or range.
	Mislabel      float64 `json:"mislabel"`
	MislabelField string  `json:"mislabel_field"`
}

// errorRatio returns the error ratio of a request on route. ran counts the requests
// run before it since the faults were set, and inFlight the requests in flight.
func (f Faults) errorRatio(route string, ran, inFlight int) float64 {
	if ran < f.ErrorsAfter || inFlight <= f.ErrorsAbove {
		return 0
	}
	if ratio, ok := f.Errors[route]; ok {
		return ratio
	}
	return f.Errors["*"]
}

func (f Faults) slowdown(route string) float64 {
	factor := valueOr(f.Slowdown, 1)
	return factor * valueOr(f.SlowRoutes[route], 1)
}
