package query

import "sync"

// patienceVote finds the time that callers of a route usually wait, by the
// majority vote of Boyer and Moore. A caller that waits for less makes a later
// attempt and began that much earlier.
type patienceVote struct {
	mu        sync.Mutex
	candidate int64 // Milliseconds.
	votes     int
}

// maxVotes lets a changed habit win after as many requests.
const maxVotes = 200

// elapsed takes in the patience of a request, in milliseconds, and returns how
// long ago the caller's first attempt began.
func (v *patienceVote) elapsed(ms int64) int64 {
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
