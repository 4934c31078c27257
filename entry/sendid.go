package entry

import "strconv"

// sendID returns an identifier that no other send of any daemon has. Searchers
// cancel by identifier: with the caller's own, a late cancellation of one send
// would end a later send of the same query, or another caller's query.
func (e *Entry) sendID(id string) string {
	return id + "~" + e.incarnation[:min(len(e.incarnation), incarnationPrefix)] + "-" +
		strconv.FormatUint(e.sends.Add(1), 36)
}

// incarnationPrefix is 48 bits, enough to tell thousands of daemons apart.
const incarnationPrefix = 12
