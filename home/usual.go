package home

import "time"

// usualSamples is the number of replies that the usual latency averages over.
// The estimate that picks searchers follows the last five or so replies and is
// too uneven to be the reference for others.
const usualSamples = 32

// usual is the mean latency of a searcher over its last replies.
type usual struct {
	mean float64
	n    int
}

func (u *usual) add(took time.Duration) {
	u.n = min(u.n+1, usualSamples)
	u.mean += (float64(took) - u.mean) / float64(u.n)
}
