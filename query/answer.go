package query

import (
	"time"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/refusal"
)

// Answer is the final answer to one request. It holds a target's answer, a
// merged one or a refusal.
type Answer struct {
	response   *fasthttp.Response
	merged     *Merged
	refusal    *refusal.Error
	retryAfter time.Duration
	release    func()
}

// Response returns the answer of the one target that served the request, or nil.
func (a Answer) Response() *fasthttp.Response { return a.response }

// Merged returns the merged answer of a sharded route, or nil.
func (a Answer) Merged() *Merged { return a.merged }

// Refusal returns why there is no answer, or nil.
func (a Answer) Refusal() *refusal.Error { return a.refusal }

// RetryAfter returns when the caller should come back, 0 if that is not known.
func (a Answer) RetryAfter() time.Duration { return a.retryAfter }

// Release ends the use of the answer.
func (a Answer) Release() {
	if a.release != nil {
		a.release()
	}
}

// Merged is the answer merged from the parts of the shards.
type Merged struct {
	stamps  []string
	missing int
	records []byte
}

// Stamps returns the signatures of the parts.
func (m *Merged) Stamps() []string { return m.stamps }

// Missing returns how many shards have no part in the answer.
func (m *Merged) Missing() int { return m.missing }

// Records returns the greatest records of all parts, the greatest first.
func (m *Merged) Records() []byte { return m.records }
