package targets

import (
	"math"
	"sync"
	"time"
)

const (
	// paceStep moves the estimate by 4% a sample; at 100 samples a second the
	// estimate follows a doubled load within half a second.
	paceStep = 0.04
	// paceGuess is the share of a route's objective that is taken for its
	// latency before the first answer.
	paceGuess = 0.15
)

// Pace is the usual latency of the requests of one route: the median over all
// targets, which a few slow or paused targets do not move.
type Pace struct {
	mu     sync.Mutex
	median time.Duration
	known  bool
}

// NewPace returns the estimate for a route with that objective.
func NewPace(objective time.Duration) *Pace {
	return &Pace{median: max(time.Duration(float64(objective)*paceGuess), time.Millisecond)}
}

// Median returns the estimate.
func (p *Pace) Median() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.median
}

// Observe takes in the latency of one answer.
func (p *Pace) Observe(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d = max(d, 100*time.Microsecond)
	switch {
	case !p.known:
		p.median, p.known = min(d, 4*p.median), true
	case d > p.median:
		p.median = time.Duration(float64(p.median) * math.Exp(paceStep))
	case d < p.median:
		p.median = time.Duration(float64(p.median) * math.Exp(-paceStep))
	}
}
