package cell

import "time"

// contact records the last contact with peers and with the store. Times are readings
// of clock.Clock.Boot.
type contact struct {
	lastPeer  time.Duration // Last message from a peer.
	lastStore time.Duration // Last successful store call.
	storeOK   bool          // The last store call succeeded.
}

// recordStoreContactLocked records the result of a store call.
func (c *Cell) recordStoreContactLocked(now time.Duration, ok bool) {
	c.contact.storeOK = ok
	if ok {
		c.contact.lastStore = now
	}
}

// seesStore reports whether the last store call succeeded and is recent.
func (x *contact) seesStore(now time.Duration) bool {
	return x.storeOK && now-x.lastStore < storeContactTimeout
}

// isolated reports whether the store is unreachable and no peer has been in contact
// for isolationTimeout.
func (x *contact) isolated(now time.Duration) bool {
	return !x.storeOK && now-x.lastPeer > isolationTimeout
}
