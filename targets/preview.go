package targets

import (
	"fmt"
	"time"

	"medlaryard.example/medlaryard/cost"
)

// Preview states where a group would send a request now.
type Preview struct {
	waiting    int
	wait       time.Duration
	candidates []CandidatePreview
}

// Waiting returns the number of waiting calls.
func (p Preview) Waiting() int { return p.waiting }

// Wait returns the expected time until the request is sent, behind all waiting calls.
// It is 0 if no call waits.
func (p Preview) Wait() time.Duration { return p.wait }

// Candidates returns all targets of the group.
func (p Preview) Candidates() []CandidatePreview { return p.candidates }

// CandidatePreview describes a target, and why it would get a request or not.
type CandidatePreview struct {
	Candidate
	id         string
	zone       string
	completion time.Duration
	chosen     bool
	obstacle   string
}

// ID returns the ID of the target.
func (c CandidatePreview) ID() string { return c.id }

// Domain returns its failure domain.
func (c CandidatePreview) Domain() string { return c.zone }

// Completion returns the expected time until its answer, adjusted for failures and
// failure domain.
func (c CandidatePreview) Completion() time.Duration { return c.completion }

// Chosen reports whether it would get the request.
func (c CandidatePreview) Chosen() bool { return c.chosen }

// Obstacle states why it cannot get the request now, or is "".
func (c CandidatePreview) Obstacle() string { return c.obstacle }

// Slowness returns its slowness, 1 if it is as fast as expected.
func (c CandidatePreview) Slowness() float64 { return c.slowness }

// Failures returns its share of failed calls, from 0 to 1.
func (c CandidatePreview) Failures() float64 { return c.failures }

// Preview returns where a request would be sent now that its caller waits for left.
// The kind is nil if costs are not learned. It changes nothing.
func (g *Group) Preview(routeLatency *LatencyEstimator, k *cost.Kind, allow func(Entry) bool, left time.Duration) Preview {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, median, expected := g.clock.Now(), routeLatency.Median(), time.Duration(0)
	if k != nil {
		expected = k.Predict().Mean()
	}
	p := Preview{waiting: len(g.waiting)}
	if len(g.waiting) > 0 {
		p.wait = g.waitBehind(now, func(*Call) bool { return true })
	}
	var open []Candidate
	var indexes []int
	for i, t := range g.targets {
		c := CandidatePreview{Candidate: t.candidate(now, median, expected), id: t.id, zone: t.entry.domain}
		if t.unusedConn(now) == nil {
			c.dial = dialTime
		}
		c.completion = time.Duration(g.placement.Latency(c.Candidate)*float64(median)) + c.dial
		c.obstacle = g.obstacle(t, allow, now, left)
		if c.obstacle == "" {
			open, indexes = append(open, c.Candidate), append(indexes, i)
		}
		p.candidates = append(p.candidates, c)
	}
	if len(open) > 0 {
		p.candidates[indexes[g.placement.Choose(open)]].chosen = true
	}
	return p
}

// unusedConn returns an idle connection, or nil.
func (t *Target) unusedConn(now time.Time) *conn {
	for _, c := range t.conns {
		if c.call == nil && !c.desynchronized && !c.nearIdleTimeout(now) {
			return c
		}
	}
	return nil
}

// obstacle returns why t cannot get a request now, or "". It follows chooseTarget.
func (g *Group) obstacle(t *Target, allow func(Entry) bool, now time.Time, left time.Duration) string {
	switch a := g.allowance(t, now); {
	case t.removed:
		return "it is not registered any more"
	case t.entry.draining:
		return "it drains"
	case t.leaves():
		return "it has stated that it leaves"
	case t.unreachable:
		return "it does not accept connections"
	case t.addressReused:
		return "another target answers at its address"
	case allow != nil && !allow(t.entry):
		return "the route does not permit its region"
	case g.move != nil && !g.move.permits(t.entry.version, false):
		return "its version gets a share of the requests only"
	case !a.permitted:
		return "other daemons use what its limits permit"
	case !a.permits(left):
		return fmt.Sprintf("its limits permit a request in %v, after the deadline", a.wait.Round(time.Millisecond))
	case t.slowAndBusy(now):
		return "it is slow and works on another request of this daemon"
	case a.wait > 0:
		return fmt.Sprintf("its limits permit a request in %v", a.wait.Round(time.Millisecond))
	case t.unusedConn(now) == nil && t.dialing == 0 && now.Before(t.retryAt):
		return "it has refused another connection"
	case t.unusedConn(now) == nil && t.dialing == 0 && !t.mayDial(g.maxConns) && t.oldestIdleConn() == nil:
		return "all connections to it are in use"
	}
	return ""
}
