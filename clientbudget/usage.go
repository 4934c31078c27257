package clientbudget

import "time"

// phase is what a connection does.
type phase int

const (
	idle    phase = iota // Waits for a request.
	reading              // Reads a head or a body, or the rest of a refused body.
	running              // The request is complete and may run.
	writing              // Writes to the client.
)

const (
	// expectedRate is the rate in bytes a second at which a request that arrives
	// does not count as late.
	expectedRate = 64 << 10
	// idleDivisor lowers the rank of idle connections. Closing one frees little, and
	// its client may be about to use it.
	idleDivisor = 16
	// maxServedBonus bounds how far earlier requests lower the rank of a connection.
	maxServedBonus = 8
	// minStall and onceStall are how long an answer must have made no progress until
	// the budget may cut it. The second is for a request that may run only once,
	// whose client cannot ask again.
	minStall  = 5 * time.Millisecond
	onceStall = 2 * time.Second
)

// usage is what is held for a client, and how the client behaves. Times are
// readings of the budget's clock.
type usage struct {
	phase      phase
	once       bool          // The request may run only once.
	held       int64         // Bytes of memory.
	since      time.Duration // Begin of the phase.
	progressAt time.Duration // Last byte in either direction, or begin of the phase.
	moved      int64         // Bytes received or sent in this phase.
	served     int           // Requests answered before.
}

func (u *usage) enter(p phase, now time.Duration) {
	u.phase, u.since, u.progressAt, u.moved = p, now, now, 0
}

func (u *usage) progress(n int, now time.Duration) {
	u.moved += int64(n)
	u.progressAt = now
}

// lateness returns how long the client has kept the connection waiting.
func (u *usage) lateness(now time.Duration) time.Duration {
	stalled := now - u.progressAt
	switch u.phase {
	case reading:
		due := time.Duration(float64(u.moved) / expectedRate * float64(time.Second))
		return max(stalled, now-u.since-due)
	case writing:
		if stalled < minStall || u.once && stalled < onceStall {
			return 0
		}
		return stalled
	case idle:
		return stalled / idleDivisor
	case running:
	}
	return 0
}

// rank orders the connections that the budget closes, highest first: by memory and
// the time for which the client keeps it. The budget never closes a connection
// with rank 0.
func (u *usage) rank(now time.Duration) float64 {
	return float64(u.held) * u.lateness(now).Seconds() / float64(1+min(u.served, maxServedBonus))
}

// reason is why a connection is closed.
type reason string

// The reasons. They are parts of the names of counters.
const (
	none        reason = ""
	memory      reason = "memory"      // It held most for longest.
	connections reason = "connections" // There were too many.
	stalled     reason = "stalled"     // Its client sent or took nothing.
	slow        reason = "slow"        // Its client sent too slowly.
	headSize    reason = "head"        // The head exceeded its limit.
)

// expired returns why the connection must be closed whatever the budget holds.
func (u *usage) expired(now time.Duration, l Limits) reason {
	if u.phase != reading && u.phase != writing {
		return none
	}
	if now-u.progressAt >= l.stall {
		return stalled
	}
	if beyond := now - u.since - l.stall; u.phase == reading && beyond > 0 && float64(u.moved) < beyond.Seconds()*float64(l.minRate) {
		return slow
	}
	return none
}
