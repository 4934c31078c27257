package move

import "math"

// falseAlarmProbability is an upper bound on the probability that one test ever
// rejects a version within its limit, however often the test is repeated on
// growing data.
const falseAlarmProbability = 1e-6

// alternatives are the failure ratios of the alternative hypotheses, as fractions
// of the distance from the limit to 1.
var alternatives = []float64{0.02, 0.05, 0.1, 0.2, 0.4, 0.7, 0.97}

// ratioExceeds reports whether k failures in n requests prove a failure ratio above
// limit.
//
// It is a mixture sequential probability ratio test: the average likelihood
// ratio over the alternatives is a test martingale, so by Ville's inequality the
// probability that it ever reaches 1/falseAlarmProbability is at most
// falseAlarmProbability.
func ratioExceeds(n, k uint64, limit float64) bool {
	if k == 0 || limit >= 1 {
		return false
	}
	limit = max(limit, 1e-4)
	var sum float64
	for _, a := range alternatives {
		p := limit + a*(1-limit)
		sum += math.Exp(logLikelihoodRatio(n, k, p, limit))
	}
	return sum/float64(len(alternatives)) >= 1/falseAlarmProbability
}

func logLikelihoodRatio(n, k uint64, p, limit float64) float64 {
	return float64(k)*math.Log(p/limit) + float64(n-k)*math.Log((1-p)/(1-limit))
}

// ratioUpperBound returns an upper confidence bound on the ratio of k in n: the
// Wilson score bound at 3 standard deviations. With the plain ratio, a few
// requests of the old version without a failure would set its ratio to 0.
func ratioUpperBound(n, k uint64) float64 {
	if n == 0 {
		return 1
	}
	const z = 3.0
	nf := float64(n)
	p := float64(k) / nf
	center := p + z*z/(2*nf)
	spread := z * math.Sqrt(p*(1-p)/nf+z*z/(4*nf*nf))
	return min(1, (center+spread)/(1+z*z/nf))
}
