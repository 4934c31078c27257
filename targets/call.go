package targets

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"
)

// Call is one attempt to have a request served by a target of a group.
type Call struct {
	req      *Request
	pace     *Pace
	priority int
	tag      int
	results  chan<- *Call
	allow    func(Entry) bool
	tried    []*Call
	purpose  Purpose

	// The group's lock guards what follows until the result is delivered.
	state    callState
	newer    bool // It goes to the version that the service moves to.
	target   *Target
	conn     *conn
	sent     time.Time
	ended    time.Time
	outcome  Outcome
	reason   string
	response *fasthttp.Response
}

type callState int

const (
	callNew callState = iota
	callWaiting
	callSent
	callDone
)

// NewCall returns a call for req. Its result is sent to results, which must
// have room for it. Pace is the usual latency of the request's route.
func NewCall(req *Request, pace *Pace, results chan<- *Call, opts ...CallOption) *Call {
	c := &Call{req: req, pace: pace, results: results}
	for _, o := range opts {
		o(c)
	}
	return c
}

// CallOption sets one property of a Call.
type CallOption func(*Call)

// For sets the purpose; without it a call is the first of its request.
func For(p Purpose) CallOption { return func(c *Call) { c.purpose = p } }

// Tag sets a number by which the sender recognises the call.
func Tag(n int) CallOption { return func(c *Call) { c.tag = n } }

// Rank sets the priority among waiting calls; 0 comes first.
func Rank(n int) CallOption { return func(c *Call) { c.priority = n } }

// Allow restricts the targets that may get the call.
func Allow(f func(Entry) bool) CallOption { return func(c *Call) { c.allow = f } }

// After names earlier calls of the same request, whose targets are avoided.
func After(calls ...*Call) CallOption { return func(c *Call) { c.tried = calls } }

// Tag returns the number given to NewCall.
func (c *Call) Tag() int { return c.tag }

// Outcome returns what became of the call. It is valid once the result was sent.
func (c *Call) Outcome() Outcome { return c.outcome }

// Reason explains an outcome without an answer.
func (c *Call) Reason() string { return c.reason }

// Response returns the complete answer, or nil.
func (c *Call) Response() *fasthttp.Response { return c.response }

// TargetID returns the target that got the call, or "".
func (c *Call) TargetID() string {
	if c.target == nil {
		return ""
	}
	return c.target.id
}

// Latency returns the time from sending to the end of the call.
func (c *Call) Latency() time.Duration { return c.ended.Sub(c.sent) }

// avoids reports whether an earlier call of the request used t.
func (c *Call) avoids(t *Target) bool {
	return slices.ContainsFunc(c.tried, func(earlier *Call) bool { return earlier.target == t })
}
