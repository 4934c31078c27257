package targets

import "time"

// judge counts a call once as a bad or good answer of its version, if it was submitted during
// the order in force. Every way in which a call that was sent ends is judged:
//
//   - answered: bad if it took several times the median latency;
//   - failed, refused or cut: bad;
//   - given up without an answer, because another target has answered, the time is over or
//     the caller has left: bad if it had taken longer than the median. How long it would have
//     taken is not known, but calls of the old version that are given up count alike;
//   - given up sooner, or misdirected: says nothing about the version;
//   - unanswered yet: bad as soon as it has taken several times the median latency.
func (g *Group) judge(c *Call, bad bool) {
	if g.move == nil || c.move != g.move || c.judged {
		return
	}
	c.judged = true
	g.move.record(c.target.entry.version, c.route, bad)
}

// lowerBound returns the time for which a call has been unanswered as a multiple of the
// typical one. The time that it will have taken is at least that.
func (c *Call) lowerBound(now time.Time) float64 {
	if ratio := c.ratio(now); ratio > 0 {
		return ratio
	}
	return float64(now.Sub(c.sent)) / float64(c.typicalLatency()) // It may wait behind others.
}
