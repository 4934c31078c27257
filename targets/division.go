package targets

import "github.com/cespare/xxhash/v2"

// division is this daemon's place among the daemons that share the limits of
// targets. The zero value is that of the only daemon.
type division struct {
	daemons  int
	position int
}

// newDivision returns the division among the given number of daemons. Position
// is the index of this daemon, from 0; if it is negative, this daemon sends
// nothing to targets with a limit.
func newDivision(daemons, position int) division {
	return division{daemons: daemons, position: position}
}

// count returns the number of daemons.
func (d division) count() int { return max(d.daemons, 1) }

// isSender reports whether this daemon is one of the given number of senders to
// the target with the given ID. The senders are chosen by a hash of the ID, so
// that each daemon gets some of the targets.
func (d division) isSender(id string, senders int) bool {
	if d.position < 0 {
		return false
	}
	n := d.count()
	first := int(xxhash.Sum64String(id) % uint64(n))
	return (d.position-first+n)%n < senders
}
