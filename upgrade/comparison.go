package upgrade

import "math"

const (
	// minBadAnswers is the number of bad answers required for a rollback, so that
	// a pause of one target is not enough.
	minBadAnswers = 4
	// badFactor and badMargin are the factor and the amount by which the rate of bad
	// answers may exceed that of the old version, which is known only roughly in a
	// short slow period.
	badFactor = 1.25
	badMargin = 0.03
	// badEvidence is the logarithm of the odds against the number of bad answers of
	// a version that is as good as the old one. It is large because the comparison
	// is repeated after every answer and for every route.
	badEvidence = 8
	// priorAnswers is the weight of the overall rate of bad answers in that of a
	// route or an interval, in answers.
	priorAnswers = 2
)

// comparison compares the answers of the new version on one route with those that
// the old version gave at the same times.
type comparison struct {
	newTally    Tally
	oldAnswers  int     // Answers of the old version in these intervals.
	expectedBad float64 // Bad answers of the new version at the rate of the old one.
}

// add returns the comparison with the answers of the new version in one more
// interval, in which the old one gave oldAnswers. The rate is that of its bad
// answers.
func (c comparison) add(newTally Tally, oldAnswers int, oldRate float64) comparison {
	if newTally.requests == 0 {
		return c
	}
	return comparison{
		newTally:    c.newTally.Add(newTally),
		oldAnswers:  c.oldAnswers + oldAnswers,
		expectedBad: c.expectedBad + oldRate*float64(newTally.requests),
	}
}

// worse reports whether the new version gives significantly more bad answers than
// the old one. It is a likelihood-ratio test of two rates against one common rate.
func (c comparison) worse() bool {
	if c.newTally.bad < minBadAnswers {
		return false
	}
	n, m := float64(c.newTally.requests), float64(c.oldAnswers)
	rate := c.newTally.rate()
	allowed := badFactor*c.expectedBad/n + badMargin
	if rate <= allowed {
		return false
	}
	common := (rate*n + allowed*m) / (n + m)
	return n*relativeEntropy(rate, common)+m*relativeEntropy(allowed, common) > badEvidence
}

// relativeEntropy returns the divergence of a Bernoulli distribution with
// probability p from one with probability q.
func relativeEntropy(p, q float64) float64 {
	d := 0.0
	if p > 0 {
		d += p * math.Log(p/q)
	}
	if p < 1 {
		d += (1 - p) * math.Log((1-p)/(1-q))
	}
	return d
}
