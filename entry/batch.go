package entry

import (
	"time"

	"medlaryard.example/medlaryard/shard"
)

// batch is the requests of one query that go to one daemon in one call.
type batch struct {
	home     Home
	requests []shard.Request
	lanes    []int         // Index of the lane of each request.
	sent     time.Duration // Boot time.
	answered bool
	given    bool // Its lanes were sent elsewhere because the daemon is silent.
}

func (b *batch) contains(r shard.Result) bool {
	for _, q := range b.requests {
		if q.Group() == r.Group() && q.Shard() == r.Shard() {
			return true
		}
	}
	return false
}

// fractionOf returns the part f of d.
func fractionOf(d time.Duration, f float64) time.Duration {
	return time.Duration(float64(d) * f)
}
