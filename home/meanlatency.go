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

func (l *meanLatency) add(took time.Duration) {
	l.n = min(l.n+1, meanLatencySamples)
	l.mean += (float64(took) - l.mean) / float64(l.n)
}
