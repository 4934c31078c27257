package mirror

import (
	"testing"
	"time"
)

// Guards against an outage that is seen in the loss of one daemon's contact, and
// against an outage that is missed because contacts arrive out of order.
func TestContactOutage(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name     string
		contacts []time.Duration
		want     time.Duration
	}{
		{"first contact", []time.Duration{50 * s}, 0},
		{"takeover after 2.2 s", []time.Duration{50 * s, 52*s + 200*time.Millisecond}, 0},
		{"outage", []time.Duration{50 * s, 54 * s, 55 * s}, 54 * s},
		{"old contact of a daemon that does not watch", []time.Duration{50 * s, 54 * s, 10 * s, 55 * s}, 54 * s},
	} {
		var contact Contact
		for _, at := range c.contacts {
			contact.Record(at)
		}
		if got, ok := contact.OutageEnd(); got != c.want || ok != (c.want > 0) {
			t.Errorf("%s: the outage ended at %v, %v, want %v", c.name, got, ok, c.want)
		}
	}
}

// Guards against an outage that a daemon sees where there was none, because at
// its start a peer reports a contact of long ago, or none at all. While it
// believes in an outage it uses targets whose entries were deleted.
func TestStaleContactOfPeerTakenForOutage(t *testing.T) {
	const began, s = 2 * time.Hour, time.Second
	for _, c := range []struct {
		name     string
		contacts []time.Duration
		want     time.Duration
	}{
		{"peer without contact", []time.Duration{began - time.Hour, began + s}, 0},
		{"contact before the start", []time.Duration{began - 10*s, began + s, began + 3*s}, 0},
		{"outage at the start", []time.Duration{began - 10*s, began + 3*s}, began + 3*s},
		{"outage after the start", []time.Duration{began + s, began + 4*s}, began + 4*s},
	} {
		contact := NewContact(began)
		for _, at := range c.contacts {
			contact.Record(at)
		}
		if got, _ := contact.OutageEnd(); got != c.want {
			t.Errorf("%s: the outage ended at %v, want %v", c.name, got, c.want)
		}
	}
}
