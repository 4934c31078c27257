package upgrade

import "time"

// Shares are the shares of requests, from 0 to 1, that the new version gets.
type Shares struct {
	share   float64
	byRoute map[string]float64
}

// EqualShare returns the same share for all routes.
func EqualShare(share float64) Shares { return Shares{share: share} }

// Of returns the share of a route.
func (s Shares) Of(route string) float64 {
	if share, ok := s.byRoute[route]; ok {
		return share
	}
	return s.share
}

const (
	// wantedAnswers is the number of answers of the new version on each route, in
	// either phase of a move, that shows a version which fails half of them.
	wantedAnswers = 30
	// wantedShare and maxWantedAnswers raise that number for a route with many
	// requests, to show a version that fails fewer of them.
	wantedShare      = 0.08
	maxWantedAnswers = 100
	// maxRouteShare bounds the share of a route with few requests.
	maxRouteShare = 0.5
	// minObservedFraction is the fraction of a move's duration after which the
	// rates of the routes are known well enough.
	minObservedFraction = 0.05
	// maxNewShare and newSlack bound the requests that the new version gets because
	// of routes with few requests. A bad version may get a tenth of all requests and
	// 50 more; what lies between covers the age of the evidence.
	maxNewShare = 0.1
	newSlack    = 30
)

// SharesFor returns the shares during a move. A route with few requests gets a
// larger share, so that its answers show whether the version is bad on it.
func SharesFor(s State, elapsed time.Duration, h *History) Shares {
	shares := EqualShare(Share(s, elapsed, h.duration))
	total := h.latest.Total()
	all := total.oldTally.requests + total.newTally.requests
	if s != Running || elapsed < fraction(h.duration, minObservedFraction) ||
		float64(total.newTally.requests) >= maxNewShare*float64(all)+newSlack {
		return shares
	}
	end := fraction(h.duration, loadShareStart)
	if h.underLoad != nil {
		end = fraction(h.duration, lateCompletionStart)
	}
	shares.byRoute = make(map[string]float64, len(h.latest))
	for route, r := range h.latest {
		perSecond := float64(r.oldTally.requests+r.newTally.requests) / elapsed.Seconds()
		remaining := perSecond * (end - elapsed).Seconds()
		seen := r.since(h.underLoad[route]).newTally.requests
		missing := max(wantedAnswers, min(maxWantedAnswers, wantedShare*(remaining+float64(seen)))) - float64(seen)
		if missing > shares.share*remaining {
			shares.byRoute[route] = max(shares.share, min(maxRouteShare, missing/max(remaining, 1)))
		}
	}
	return shares
}

func fraction(d time.Duration, f float64) time.Duration { return time.Duration(f * float64(d)) }
