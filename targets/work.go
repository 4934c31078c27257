package targets

import (
	"math"
	"time"

	"medlaryard.example/medlaryard/cost"
	"medlaryard.example/medlaryard/meter"
)

// maxCostWeight bounds the weight of an expensive call in the average of a target's
// slowness, as a multiple of slownessWeight.
const maxCostWeight = 2

// metricInterval is the number of answered calls of a group of which one is recorded
// in the metrics. The metrics cost more than the learning.
const metricInterval = 8

// minServiceAfterWait is shorter than the way to a target and back. A call that ends
// so soon after it seemed to begin has overtaken the one before it.
const minServiceAfterWait = 100 * time.Microsecond

// OfKind sets the kind of the request. Without it, the call is judged by the median
// latency of its route.
func OfKind(k *cost.Kind) CallOption {
	return func(c *Call) { c.kind, c.predicted = k, k.Predict() }
}

// beginWork records which calls the target can be working on: as many as it has
// slots, in the order in which they were sent. The time that the others wait behind
// them is not part of their service time.
func (t *Target) beginWork(now time.Time) {
	for _, c := range t.calls[:min(t.entry.slots, len(t.calls))] {
		if c.began.IsZero() {
			c.began = now
		}
	}
}

// remaining returns the expected time left of this daemon's calls at the target.
func (t *Target) remaining(now time.Time) time.Duration {
	sum := time.Duration(0)
	for _, c := range t.calls {
		sum += c.remaining(now)
	}
	return sum
}

// remaining returns the expected time left of a call that was sent.
func (c *Call) remaining(now time.Time) time.Duration {
	if c.predicted == nil || c.began.IsZero() {
		return c.typicalCost()
	}
	return c.predicted.Remaining(now.Sub(c.began))
}

// silence returns for how long the call has been unanswered, as a multiple of its
// expected time, or 0 if that is not unusual.
func (c *Call) silence(now time.Time) float64 {
	if c.predicted == nil {
		median := c.routeLatency.Median()
		if unanswered := now.Sub(c.sent); unanswered > silentFactor*median {
			return float64(unanswered) / float64(median)
		}
		return 0
	}
	mean := c.predicted.Mean()
	if c.began.IsZero() || now.Sub(c.began) <= max(silentFactor*mean, c.predicted.High()) {
		return 0
	}
	return float64(now.Sub(c.began)) / float64(mean)
}

// ratio returns the time that the call has taken as a multiple of the expected
// time, or 0 if it is not known when the target began to work on it.
func (c *Call) ratio(now time.Time) float64 {
	if c.predicted == nil {
		return float64(now.Sub(c.sent)) / float64(c.routeLatency.Median())
	}
	if c.began.IsZero() {
		return 0
	}
	return float64(now.Sub(c.began)) / float64(c.predicted.Mean())
}

// typicalLatency returns the median latency of the route, or the expected service
// time of the request if that is longer.
func (c *Call) typicalLatency() time.Duration {
	if c.predicted == nil {
		return c.routeLatency.Median()
	}
	return max(c.routeLatency.Median(), c.predicted.Mean())
}

// weight returns the weight of a call in the averages of its target relative to
// other calls. An expensive call shows more of the target's speed than a cheap one,
// which may have waited behind calls of other daemons.
func (t *Target) weight(c *Call) float64 {
	if c.predicted == nil {
		return 1
	}
	expected := float64(c.predicted.Mean())
	if t.meanCost == 0 {
		t.meanCost = expected
	}
	t.meanCost += slownessWeight * (expected - t.meanCost)
	return math.Min(expected/t.meanCost, maxCostWeight)
}

// learn records the service time of an answered call.
func (c *Call) learn(now time.Time) {
	if c.predicted == nil || c.began.IsZero() {
		return
	}
	service := now.Sub(c.began)
	if c.began.After(c.sent) && service < minServiceAfterWait {
		return
	}
	c.kind.Observe(service)
	g := c.target.group
	if g.learned++; g.learned%metricInterval != 0 {
		return
	}
	meter.ObserveValue("placement.service_percent", int64(100*c.ratio(now)))
	meter.ObserveLatency("placement.service", service)
	meter.ObserveLatency("placement.expected", c.predicted.Mean())
}

// learnUnanswered records the elapsed time of a call that is given up. It is a lower
// bound of its service time, unless the target has answered nothing meanwhile.
func (c *Call) learnUnanswered(now time.Time) {
	if c.predicted != nil && !c.began.IsZero() && c.target.answeredAt.After(c.began) {
		c.kind.Observe(now.Sub(c.began))
	}
}

// Expected returns the expected service time, or 0 if the kind is not known.
func (c *Call) Expected() time.Duration {
	if c.predicted == nil {
		return 0
	}
	return c.predicted.Mean()
}
