package entry

// pick returns the first daemon in hash order, from position from on, that is
// not passed over, and its position. Any position but 0 is an acting home.
func (e *Entry) pick(group string, from int) (Home, int, bool) {
	order := e.fleet.Order(group)
	order = order[:min(len(order), maxCandidates)]
	for i := from; i < len(order); i++ {
		if e.reach.up(order[i]) {
			return order[i], i, true
		}
	}
	if from < len(order) {
		return order[from], from, true
	}
	return Home{}, 0, false
}
