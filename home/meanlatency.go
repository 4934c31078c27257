package home

import "time"

// meanLatencySamples is the number of replies that the mean covers.
// latencyEstimate follows only the last five or so replies and varies too much
// to be the reference for other searchers.
const meanLatencySamples = 32

// meanLatency is a moving mean of a searcher's latency, in nanoseconds.
type meanLatency struct {
	mean float64
	n    int
}

func (u *meanLatency) add(took time.Duration) {
	u.n = min(u.n+1, meanLatencySamples)
	u.mean += (float64(took) - u.mean) / float64(u.n)
}
