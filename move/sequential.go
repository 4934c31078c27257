package move

import "math"

// falseAlarm bounds the probability that a version within its limits is ever
// judged bad by one test, however often the test is repeated on growing data.
const falseAlarm = 1e-6

// alternatives are the failure ratios that the test is prepared to find, as
// distances from the limit towards 1.
var alternatives = []float64{0.02, 0.05, 0.1, 0.2, 0.4, 0.7, 0.97}

// exceeds reports whether k failures of n prove a failure ratio above limit.
// It is a mixture sequential probability ratio test: the average likelihood
// ratio over the alternatives is a test martingale, so by Ville's inequality it
// reaches 1/falseAlarm with probability at most falseAlarm at any time.
func exceeds(n, k uint64, limit float64) bool {
	if k == 0 || limit >= 1 {
		return false
	}
	limit = max(limit, 1e-4)
	var sum float64
	for _, a := range alternatives {
		p := limit + a*(1-limit)
		sum += math.Exp(logRatio(n, k, p, limit))
	}
	return sum/float64(len(alternatives)) >= 1/falseAlarm
}

func logRatio(n, k uint64, p, limit float64) float64 {
	return float64(k)*math.Log(p/limit) + float64(n-k)*math.Log((1-p)/(1-limit))
}

// upperRatio is an upper confidence bound (Wilson, 3 standard deviations) on
// the ratio of k in n, so that few observations of the old version do not make
// it look faultless.
func upperRatio(n, k uint64) float64 {
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
