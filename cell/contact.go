package cell

import "time"

// contact records when others were last heard, as readings of clock.Clock.Boot.
type contact struct {
	peer    time.Duration
	store   time.Duration // Last successful store call.
	storeOK bool          // The last store call succeeded.
}

// stored records the result of a store call.
func (c *Cell) stored(now time.Duration, ok bool) {
	c.contact.storeOK = ok
	if ok {
		c.contact.store = now
	}
}

// seesStore reports whether this daemon knows that the store answers.
func (x *contact) seesStore(now time.Duration) bool {
	return x.storeOK && now-x.store < seenTime
}

// isolated reports whether neither the store nor any peer answers.
func (x *contact) isolated(now time.Duration) bool {
	return !x.storeOK && now-x.peer > contactTime
}
