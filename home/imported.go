package home

import "time"

// importedEstimatesTTL bounds how long the estimates of a previous home wait
// for the assignment of the group. After that a searcher that was warm may have
// restarted.
const importedEstimatesTTL = 10 * time.Second

// importedEstimates holds the estimates of a previous home that arrived before
// the assignment of the group.
type importedEstimates struct {
	handoff Handoff
	at      time.Duration
}
