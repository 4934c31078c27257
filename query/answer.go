package query

import (
	"time"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/refusal"
)

// Answer is the final answer to one request: a target's answer, a merged answer
// or a refusal.
type Answer struct {
	response   *fasthttp.Response
	merged     *Merged
	refusal    *refusal.Error
	retryAfter time.Duration
	release    func()
}

// Response returns the answer of the single target that served the request, or
// nil. It is valid until Release is called.
func (a Answer) Response() *fasthttp.Response { return a.response }

// Merged returns the merged answer of a sharded route, or nil.
func (a Answer) Merged() *Merged { return a.merged }

// Refusal returns the error that explains why there is no answer, or nil.
func (a Answer) Refusal() *refusal.Error { return a.refusal }

// RetryAfter returns the time after which the caller should retry, 0 if
// unknown.
func (a Answer) RetryAfter() time.Duration { return a.retryAfter }

// Release frees the resources of the answer, which must not be used afterwards.
func (a Answer) Release() {
	if a.release != nil {
		a.release()
	}
}

// Merged is an answer merged from the parts of several shards.
type Merged struct {
	stamps  []string
	missing int
	records []byte
}

// Stamps returns the signatures of the parts that the answer contains.
func (m *Merged) Stamps() []string { return m.stamps }

// Missing returns the number of shards without a part in the answer.
func (m *Merged) Missing() int { return m.missing }

// Records returns the greatest records of all parts, concatenated in descending
// order.
func (m *Merged) Records() []byte { return m.records }
