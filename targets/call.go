package targets

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/cost"
)

// Call is one attempt to have a request served by a target of a group. It is
// sent to at most one target.
type Call struct {
	req          *Request
	route        string
	routeLatency *LatencyEstimator
	priority     int
	tag          int
	results      chan<- *Call
	allow        func(Entry) bool
	earlier      []*Call
	avoided      []*Call
	purpose      Purpose
	trial        bool
	turn         uint64 // Assigned by the group's fairQueue, under its lock.
	observer     Observer

	// The group's lock guards these fields until the result is delivered.
	state        callState
	toNewVersion bool         // It goes to the new version of a version move.
	move         *versionMove // The one during which it was submitted, or nil.
	judged       bool         // It has counted as an answer of its version.
	target       *Target
	conn         *conn
	sent         time.Time
	ended        time.Time
	outcome      Outcome
	reason       string

	kind      *cost.Kind       // Nil unless requests are placed by cost.
	predicted *cost.Prediction // Of the kind, when the call was created.
	began     time.Time        // When the target could begin to work on it; zero before.
	offerBy   time.Time        // When it must be sent at the latest; zero if that is not bounded.

	write    sendState // Set by the goroutine that writes the request, too.
	response *fasthttp.Response
}

type callState int

const (
	callNew callState = iota
	callWaiting
	callSent
	callDone
)

// NewCall returns a call for req. The finished call is sent to results, which
// must have buffer space for it. The estimator is that of the request's route.
func NewCall(req *Request, routeLatency *LatencyEstimator, results chan<- *Call, opts ...CallOption) *Call {
	c := &Call{req: req, routeLatency: routeLatency, results: results}
	for _, o := range opts {
		o(c)
	}
	return c
}

// CallOption sets one property of a Call.
type CallOption func(*Call)

// WithPurpose sets the purpose; the default is First.
func WithPurpose(p Purpose) CallOption { return func(c *Call) { c.purpose = p } }

// OnTrial marks a call of a request that may crash its target.
func OnTrial() CallOption { return func(c *Call) { c.trial = true } }

// OfRoute sets the name of the request's route.
func OfRoute(name string) CallOption { return func(c *Call) { c.route = name } }

// Tag sets a number that identifies the call to its sender.
func Tag(n int) CallOption { return func(c *Call) { c.tag = n } }

// Priority sets the priority among waiting calls; 0 is sent first.
func Priority(n int) CallOption { return func(c *Call) { c.priority = n } }

// Allow restricts the call to the targets for which f returns true.
func Allow(f func(Entry) bool) CallOption { return func(c *Call) { c.allow = f } }

// Follows names the earlier calls of the same request to the group. Their
// connections are excluded: answers name only their request, so a late second
// copy of an earlier answer could not be told from the answer to this call.
func Follows(calls ...*Call) CallOption { return func(c *Call) { c.earlier = calls } }

// AvoidTargetsOf excludes the targets of earlier calls of the same request.
func AvoidTargetsOf(calls ...*Call) CallOption { return func(c *Call) { c.avoided = calls } }

// Tag returns the number set by the option Tag.
func (c *Call) Tag() int { return c.tag }

// Outcome returns the outcome of the call. It is valid once the result was
// delivered.
func (c *Call) Outcome() Outcome { return c.outcome }

// Reason returns why the call ended without an answer, or "".
func (c *Call) Reason() string { return c.reason }

// Response returns the complete answer, or nil.
func (c *Call) Response() *fasthttp.Response { return c.response }

// TargetID returns the ID of the target that the call was sent to, or "".
func (c *Call) TargetID() string {
	if c.target == nil {
		return ""
	}
	return c.target.id
}

// Connection returns the number of the connection that the call was sent on, or
// 0. Numbers are unique within a group.
func (c *Call) Connection() int {
	if c.conn == nil {
		return 0
	}
	return c.conn.number
}

// Latency returns the time from sending to the end of the call.
func (c *Call) Latency() time.Duration { return c.ended.Sub(c.sent) }

// avoids reports whether t is excluded because an earlier call of the request
// used it.
func (c *Call) avoids(t *Target) bool {
	return slices.ContainsFunc(c.avoided, func(earlier *Call) bool { return earlier.target == t })
}

// wasSentOn reports whether an earlier call of the request was sent on conn.
func (c *Call) wasSentOn(conn *conn) bool {
	return slices.ContainsFunc(c.earlier, func(earlier *Call) bool { return earlier.conn == conn })
}
