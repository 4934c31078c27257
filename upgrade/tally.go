package upgrade

// Tally counts the answers of one version of a service. An answer is bad if it
// reports a failure or took several times the median latency.
type Tally struct {
	requests int
	bad      int
}

// NewTally returns a tally of the given number of requests and of bad answers
// among them.
func NewTally(requests, bad int) Tally { return Tally{requests: requests, bad: bad} }

// Requests returns the number of requests.
func (t Tally) Requests() int { return t.requests }

// Bad returns the number of bad answers.
func (t Tally) Bad() int { return t.bad }

// Count adds one answer, bad or good.
func (t *Tally) Count(bad bool) {
	t.requests++
	if bad {
		t.bad++
	}
}

// Add returns the sum of two tallies.
func (t Tally) Add(o Tally) Tally {
	return Tally{requests: t.requests + o.requests, bad: t.bad + o.bad}
}

func (t Tally) rate() float64 {
	if t.requests == 0 {
		return 0
	}
	return float64(t.bad) / float64(t.requests)
}

// smoothedRate returns the rate of bad answers, to which a prior rate adds as much
// as a few answers.
func (t Tally) smoothedRate(prior float64) float64 {
	return (float64(t.bad) + priorAnswers*prior) / (float64(t.requests) + priorAnswers)
}

// since returns what was counted after an earlier tally. It returns false if the
// earlier one is larger.
func (t Tally) since(earlier Tally) (Tally, bool) {
	d := Tally{requests: t.requests - earlier.requests, bad: t.bad - earlier.bad}
	return d, d.requests >= 0 && d.bad >= 0 && d.bad <= d.requests
}
