package entry

import "slices"

// pickHome returns the first daemon of the group's preference list that was not
// tried and is not avoided as unreachable, or else the first that was not tried.
// The result acting is set unless the daemon heads the list. The list may change
// between calls, so tried holds names and not positions.
func (e *Entry) pickHome(group string, tried []string) (h Home, acting, ok bool) {
	if len(tried) >= maxCandidates {
		return Home{}, false, false
	}
	order := e.fleet.PreferenceList(group)
	order = order[:min(len(order), maxCandidates)]
	for i, c := range order {
		if !slices.Contains(tried, c.Name()) && e.reachability.allowCall(c) {
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
