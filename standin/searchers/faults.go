package searchers

// Faults is what a searcher does wrong. Ratios are between 0 and 1.
type Faults struct {
	// Slowdown multiplies service times; 0 is 1.
	Slowdown float64 `json:"slowdown"`
	// Errors is the ratio of errors with unknown outcome by route; the route
	// "*" stands for all others.
	Errors map[string]float64 `json:"errors"`
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

func (f Faults) errorRatio(route string) float64 {
	if ratio, ok := f.Errors[route]; ok {
		return ratio
	}
	return f.Errors["*"]
}
