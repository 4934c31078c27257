package node

import "slices"

// standing tells how well a daemon is able to serve callers; lower is better.
type standing int

const (
	serves  standing = iota // It is one of the daemons that callers are sent to.
	standby                 // It could serve, but others are to.
	silent                  // It was able to serve when it was last heard.
)

// offer is a daemon that callers may be told to use.
type offer struct {
	front    string
	region   string
	standing standing
}

// choose returns the addresses for a caller of that region: daemons of its own
// region before others, as long as they answer, and among them those that are to
// serve. Daemons that have fallen silent come last, since only this daemon may be
// cut off from them.
func choose(offers []offer, region string) []string {
	rank := func(o offer) int {
		r := int(o.standing)
		if o.region != region {
			r += int(silent)
		}
		if o.standing == silent {
			r += 2 * int(silent)
		}
		return r
	}
	best := slices.MinFunc(offers, func(a, b offer) int { return rank(a) - rank(b) })
	var list []string
	for _, o := range offers {
		if rank(o) == rank(best) {
			list = append(list, o.front)
		}
	}
	return list
}
