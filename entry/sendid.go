package entry

import "strconv"

// sendID returns an identifier for one send that is unique across all daemons.
// Searchers cancel requests by identifier. With the caller's own identifier, a
// late cancellation of one send would also cancel a later send of the same query,
// or a query of another caller.
func (e *Entry) sendID(id string) string {
	return id + "~" + e.incarnation[:min(len(e.incarnation), incarnationPrefixLen)] + "-" +
		strconv.FormatUint(e.sendCount.Add(1), 36)
}

// incarnationPrefixLen is the number of hexadecimal digits of the incarnation in a
// send identifier. They hold 48 bits, enough to distinguish thousands of daemons.
const incarnationPrefixLen = 12
