package targets

import (
	"math"
	"time"
)

// Notice is what a target states about itself in an answer. The zero value
// states nothing.
type Notice struct {
	limit   float64
	limited bool
	leaving bool
	pause   time.Duration
}

// NoticeOption sets one statement of a Notice.
type NoticeOption func(*Notice)

// NewNotice returns a notice with the given statements.
func NewNotice(opts ...NoticeOption) Notice {
	var n Notice
	for _, o := range opts {
		o(&n)
	}
	return n
}

// Limit states how many requests a second the target takes from all daemons
// together. A value that is negative or not a finite number states nothing.
func Limit(perSecond float64) NoticeOption {
	if !(perSecond >= 0) || math.IsInf(perSecond, 1) {
		return func(*Notice) {}
	}
	return func(n *Notice) { n.limit, n.limited = perSecond, true }
}

// Leaving states that the target is about to end and is to get no new requests.
func Leaving() NoticeOption { return func(n *Notice) { n.leaving = true } }

// Pause states that the target takes no requests from this daemon for d.
func Pause(d time.Duration) NoticeOption { return func(n *Notice) { n.pause = d } }
