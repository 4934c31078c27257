package entry

import "slices"

// pick returns the first daemon in hash order that was not tried and is not
// passed over. Any but the first of the order is an acting home. The order may
// change between calls, so daemons are remembered by name.
func (e *Entry) pick(group string, tried []string) (h Home, acting, ok bool) {
	if len(tried) >= maxCandidates {
		return Home{}, false, false
	}
	order := e.fleet.PreferenceList(group)
	order = order[:min(len(order), maxCandidates)]
	for i, c := range order {
		if !slices.Contains(tried, c.Name()) && e.reach.up(c) {
			return c, i > 0, true
		}
	}
	for i, c := range order {
		if !slices.Contains(tried, c.Name()) {
			return c, i > 0, true
		}
	}
	return Home{}, false, false
}
