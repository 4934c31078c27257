package usage

import "time"

const (
	// minSendInterval is the minimum time between two updates to one recipient. A
	// daemon that is killed loses the counts of this time.
	minSendInterval = 250 * time.Millisecond
	// maxSendInterval limits the delay by which large updates are spread.
	maxSendInterval = 1500 * time.Millisecond
	// updateBytesPerSecond is the traffic to one recipient at which the interval
	// between updates grows. Up to 125 accounts that change all the time keep the
	// minimum interval.
	updateBytesPerSecond = 8000
	// maxUpdateBytes limits one update. Listeners for other daemons refuse bodies of
	// more than 64 KB.
	maxUpdateBytes = 40 << 10
	// countOverhead is the size of one count in a message beside the account's name,
	// with numbers below two million.
	countOverhead = 13
)

// cut returns the number of the first counts that fit into one update, and their
// size in bytes.
func cut(counts []Count) (n, bytes int) {
	for _, c := range counts {
		size := len(c.Account) + countOverhead
		if bytes+size > maxUpdateBytes {
			break
		}
		bytes += size
		n++
	}
	return n, bytes
}

// Outbox decides which counts of this daemon each recipient still needs. It is
// not safe for concurrent use.
type Outbox struct {
	counter    *Counter
	recipients map[Source]*recipient
}

// recipient is what one recipient has confirmed.
type recipient struct {
	change    uint64
	confirmed int64
	nextAt    time.Duration
	busy      bool // An update is on its way.
}

// NewOutbox returns an outbox for the counts of c.
func NewOutbox(c *Counter) *Outbox {
	return &Outbox{counter: c, recipients: make(map[Source]*recipient)}
}

// Next returns the update that is due for a recipient at the boot time now. It
// returns false if there is none, if the recipient has just got one, or if one is
// on its way: until Delivered or Failed is called. With quiet set, a confirmation
// alone is no reason for an update.
func (o *Outbox) Next(to Source, now time.Duration, quiet bool) (Update, bool) {
	r := o.recipients[to]
	if r == nil {
		r = &recipient{}
		o.recipients[to] = r
	}
	if now < r.nextAt || r.busy {
		return Update{}, false
	}
	u := o.counter.Changes(r.change)
	n, bytes := cut(u.Counts)
	if n < len(u.Counts) {
		u.Counts = u.Counts[:n]
		u.Change = u.Counts[len(u.Counts)-1].Change
		u.Confirmed = r.confirmed
	}
	if len(u.Counts) == 0 && (quiet || u.Confirmed <= r.confirmed) {
		return Update{}, false
	}
	spread := time.Duration(bytes) * time.Second / updateBytesPerSecond
	r.busy = true
	r.nextAt = now + min(max(minSendInterval, spread), maxSendInterval)
	return u, true
}

// Delivered records that a recipient has taken in an update.
func (o *Outbox) Delivered(to Source, u Update) {
	if r := o.recipients[to]; r != nil {
		r.change, r.confirmed = max(r.change, u.Change), max(r.confirmed, u.Confirmed)
		r.busy = false
	}
}

// Failed records that it is not known whether a recipient has taken in an update.
func (o *Outbox) Failed(to Source) {
	if r := o.recipients[to]; r != nil {
		r.busy = false
	}
}

// Hurry makes updates due at once.
func (o *Outbox) Hurry() {
	for _, r := range o.recipients {
		r.nextAt = 0
	}
}

// Complete reports whether all recipients have taken in all counts.
func (o *Outbox) Complete() bool {
	last := o.counter.lastChange()
	for _, r := range o.recipients {
		if r.busy || r.change < last {
			return false
		}
	}
	return true
}

// Keep forgets all recipients but the given ones. A recipient that returns gets
// all counts that are not reported yet.
func (o *Outbox) Keep(recipients ...Source) {
	kept := make(map[Source]*recipient, len(recipients))
	for _, s := range recipients {
		if r := o.recipients[s]; r != nil {
			kept[s] = r
		}
	}
	o.recipients = kept
}
