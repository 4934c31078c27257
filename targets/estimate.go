package targets

import (
	"math"
	"time"

	"medlaryard.example/medlaryard/cost"
)

// Estimate describes how soon a group could serve a further request.
type Estimate struct {
	sendsInTime   bool
	available     bool
	hasIdleTarget bool
	latency       time.Duration
	wait          time.Duration
}

// SendsInTime reports whether the limits of the targets permit the request to
// be sent within the given time. It is false if no target is available.
func (e Estimate) SendsInTime() bool { return e.sendsInTime }

// Available reports whether at least one target may get a request now.
func (e Estimate) Available() bool { return e.available }

// HasIdleTarget reports whether at least one target that may get a request now
// has no request of this daemon in flight.
func (e Estimate) HasIdleTarget() bool { return e.hasIdleTarget }

// Wait returns the time until the limits of some target permit a request. It is
// 0 if Available is true or if there is no target.
func (e Estimate) Wait() time.Duration { return e.wait }

// Latency returns the expected time until an answer. It is valid if Available
// is true.
func (e Estimate) Latency() time.Duration { return e.latency }

// Estimate returns the estimate for a further request of a route that should be
// sent within the given time. The estimator is that of the route.
func (g *Group) Estimate(routeLatency *LatencyEstimator, within time.Duration, opts ...EstimateOption) Estimate {
	return g.EstimateKind(routeLatency, nil, within, opts...)
}

// EstimateKind returns the same for a request of the given kind, or of an unknown
// one if k is nil.
func (g *Group) EstimateKind(routeLatency *LatencyEstimator, k *cost.Kind, within time.Duration, opts ...EstimateOption) Estimate {
	median, expected := routeLatency.Median(), time.Duration(0)
	if k != nil {
		expected = k.Predict().Mean()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	waiting := len(g.waiting) // Calls that would be sent before the request.
	for _, o := range opts {
		waiting = o(g)
	}
	var e Estimate
	capacity := 0.0 // Number of requests that can be sent in time.
	minLatency := math.Inf(1)
	for _, t := range g.targets {
		allowed := g.allowance(t, now)
		if !allowed.permitted || !t.available() {
			continue
		}
		switch {
		case allowed.wait > within:
		case !allowed.limited:
			capacity = math.Inf(1)
		default:
			capacity += allowed.tokens + within.Seconds()*allowed.perSecond
		}
		if allowed.wait > 0 {
			if e.wait == 0 || allowed.wait < e.wait {
				e.wait = allowed.wait
			}
			continue
		}
		e.available = true
		e.hasIdleTarget = e.hasIdleTarget || len(t.calls) == 0
		minLatency = min(minLatency, t.expectedLatency(now, median, expected, waiting))
	}
	e.sendsInTime = capacity >= float64(waiting+1)
	if e.available {
		e.wait = 0
		e.latency = time.Duration(minLatency * float64(median))
	}
	return e
}
