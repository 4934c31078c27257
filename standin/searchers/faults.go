package searchers

// Faults is what a searcher does wrong. Ratios are between 0 and 1.
type Faults struct {
	// Slowdown multiplies service times; 0 is 1.
	Slowdown float64 `json:"slowdown"`
	// Errors is the ratio of errors with unknown outcome by route; the route
	// "*" stands for all others.
	Errors map[string]float64 `json:"errors"`
	// ErrorsAfter is the number of requests that a searcher runs before Errors
	// begin, and ErrorsAbove the number in flight up to which there are none.
	ErrorsAfter int `json:"errors_after"`
	ErrorsAbove int `json:"errors_above"`
	// SlowRoutes multiplies the service times of single routes.
	SlowRoutes map[string]float64 `json:"slow_routes"`
	// Health replaces the state in health replies.
	Health string `json:"health"`
	// Down refuses all connections.
	Down bool `json:"down"`
	// CrashMarker in a body crashes the searcher that runs it.
	CrashMarker string `json:"crash_marker"`
	// Truncate is the ratio of replies that break off in the middle.
	Truncate float64 `json:"truncate"`
	// Duplicate is the ratio of replies that arrive twice on their connection.
	Duplicate float64 `json:"duplicate"`
	// Mislabel is the ratio of replies with a wrong value in MislabelField: id,
	// shard, snapshot, map or range.
	Mislabel      float64 `json:"mislabel"`
	MislabelField string  `json:"mislabel_field"`
}

// errorRatio returns the ratio for a request on route, when ran others ran
// since the faults are in force and inFlight requests are in flight.
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
	factor := or(f.Slowdown, 1)
	return factor * or(f.SlowRoutes[route], 1)
}
