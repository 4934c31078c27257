package query

import "sync"

// timeoutVote finds the usual caller timeout of a route with the majority vote
// algorithm of Boyer and Moore. A request with a shorter timeout is a retry:
// the caller's first attempt began earlier by the difference.
type timeoutVote struct {
	mu        sync.Mutex
	candidate int64 // Milliseconds.
	votes     int
}

// maxVotes bounds the number of requests after which a changed timeout wins the
// vote.
const maxVotes = 200

// estimateElapsed records the caller timeout of a request and returns the
// estimated time since the caller's first attempt began, both in milliseconds.
func (v *timeoutVote) estimateElapsed(ms int64) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.votes == 0:
		v.candidate, v.votes = ms, 1
	case v.candidate == ms:
		v.votes = min(v.votes+1, maxVotes)
	default:
		v.votes--
	}
	return max(v.candidate-ms, 0)
}
