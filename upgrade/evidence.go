package upgrade

// Evidence is what daemons have seen of a move, by route.
type Evidence map[string]RouteEvidence

// Add adds evidence on one route.
func (e Evidence) Add(route string, r RouteEvidence) { e[route] = e[route].Add(r) }

// Total returns the sum over all routes.
func (e Evidence) Total() RouteEvidence {
	var total RouteEvidence
	for _, r := range e {
		total = total.Add(r)
	}
	return total
}

// since returns the evidence that came after an earlier one.
func (e Evidence) since(earlier Evidence) Evidence {
	later := make(Evidence, len(e))
	for route, r := range e {
		later[route] = r.since(earlier[route])
	}
	return later
}

// RouteEvidence holds the tallies of both versions on one route.
type RouteEvidence struct {
	oldTally, newTally Tally
}

// NewRouteEvidence returns the tallies of the old and the new version on one
// route.
func NewRouteEvidence(oldTally, newTally Tally) RouteEvidence {
	return RouteEvidence{oldTally: oldTally, newTally: newTally}
}

// Old returns the tally of the old version.
func (r RouteEvidence) Old() Tally { return r.oldTally }

// New returns the tally of the new version.
func (r RouteEvidence) New() Tally { return r.newTally }

// Add returns the sum of two pieces of evidence.
func (r RouteEvidence) Add(o RouteEvidence) RouteEvidence {
	return RouteEvidence{oldTally: r.oldTally.Add(o.oldTally), newTally: r.newTally.Add(o.newTally)}
}

// since returns the evidence that came after an earlier one. It is empty if the
// earlier one is larger, because a daemon that restarted has lost its counts.
func (r RouteEvidence) since(earlier RouteEvidence) RouteEvidence {
	oldTally, oldOK := r.oldTally.since(earlier.oldTally)
	newTally, newOK := r.newTally.since(earlier.newTally)
	if !oldOK || !newOK {
		return RouteEvidence{}
	}
	return RouteEvidence{oldTally: oldTally, newTally: newTally}
}
