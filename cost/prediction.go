package cost

import (
	"math"
	"time"
)

// points is the number of equally probable service times that represent a
// distribution.
const points = 16

// overrunFactor is the expected time left of a request that has exceeded every
// service time known of its kind, as a fraction of its elapsed time.
const overrunFactor = 0.5

// Prediction is the expected distribution of the service time of a request. It is
// immutable.
type Prediction struct {
	values  [points]time.Duration // Ascending.
	mean    time.Duration
	samples float64
}

// constant returns the prediction d for a kind of which nothing is known.
func constant(d time.Duration) *Prediction {
	p := &Prediction{mean: d}
	for i := range p.values {
		p.values[i] = d
	}
	return p
}

// probability returns the probability that value i represents the middle of.
func probability(i int) float64 { return (float64(i) + 0.5) / points }

// blend returns the prediction of a kind with the given own values and number of
// samples, whose prior counts as priorSamples. Values are averaged by their
// logarithms, because costs may differ a hundredfold.
func blend(own [points]time.Duration, samples float64, prior *Prediction) *Prediction {
	w := samples / (samples + priorSamples)
	p := &Prediction{samples: samples}
	sum := 0.0
	for i := range own {
		v := math.Exp(w*math.Log(float64(own[i])) + (1-w)*math.Log(float64(prior.values[i])))
		p.values[i] = time.Duration(v)
		sum += v
	}
	p.mean = time.Duration(sum / points)
	return p
}

// Mean returns the expected service time. Values above the highest of the
// equally probable ones, about the 97th percentile, do not count in full.
func (p *Prediction) Mean() time.Duration { return p.mean }

// Median returns the median service time.
func (p *Prediction) Median() time.Duration { return p.values[points/2] }

// High returns a service time that about 3% of the requests exceed.
func (p *Prediction) High() time.Duration { return p.values[points-1] }

// Confidence returns the weight of the kind's own samples in the prediction, from
// 0 to 1.
func (p *Prediction) Confidence() float64 { return p.samples / (p.samples + priorSamples) }

// Remaining returns the expected time left of a request that a target has worked
// on for elapsed.
func (p *Prediction) Remaining(elapsed time.Duration) time.Duration {
	sum, n := time.Duration(0), 0
	for i := points - 1; i >= 0 && p.values[i] > elapsed; i-- {
		sum += p.values[i] - elapsed
		n++
	}
	if n == 0 {
		return time.Duration(overrunFactor * float64(elapsed))
	}
	return sum / time.Duration(n)
}
