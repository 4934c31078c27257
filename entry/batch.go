package entry

import (
	"time"

	"medlaryard.example/medlaryard/shard"
)

// batch holds the requests of one query that are sent to one daemon in one call.
type batch struct {
	home       Home
	requests   []shard.Request
	subqueries []int         // Index in the plan of each request's subquery.
	sentAt     time.Duration // Boot time.
	answered   bool
	reassigned bool // The daemon was silent; the subqueries went to acting homes.
}

func (b *batch) contains(r shard.Result) bool {
	for _, q := range b.requests {
		if q.Group() == r.Group() && q.Shard() == r.Shard() {
			return true
		}
	}
	return false
}

// fractionOf returns the fraction f of d.
func fractionOf(d time.Duration, f float64) time.Duration {
	return time.Duration(float64(d) * f)
}
