package targets

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Entry is the platform's directory entry of one running target.
type Entry struct {
	id         string
	startedAt  int64
	service    string
	address    string
	domain     string
	region     string
	version    string
	slots      int
	draining   bool
	warmUpLeft time.Duration
}

// NewEntry returns the entry of the target with the given ID. It has one slot
// unless an option sets more.
func NewEntry(id, service, address string, opts ...EntryOption) Entry {
	e := Entry{id: id, service: service, address: address, slots: 1}
	for _, o := range opts {
		o(&e)
	}
	return e
}

// ID returns the identity of the target.
func (e Entry) ID() string { return e.id }

// Service returns the service that the target belongs to.
func (e Entry) Service() string { return e.service }

// Address returns where the target accepts connections.
func (e Entry) Address() string { return e.address }

// Domain returns the failure domain of the target.
func (e Entry) Domain() string { return e.domain }

// Region returns the region of the failure domain.
func (e Entry) Region() string { return e.region }

// Version returns the version of the target's software.
func (e Entry) Version() string { return e.version }

// Draining reports whether the target is draining and gets no new requests.
func (e Entry) Draining() bool { return e.draining }

// sameStart reports whether both entries describe the same start of a target.
func (e Entry) sameStart(o Entry) bool {
	return e.id == o.id && e.startedAt == o.startedAt && e.address == o.address
}

// fingerprint returns a hash that identifies this start of the target on all
// daemons.
func (e Entry) fingerprint() uint64 {
	return xxhash.Sum64String(e.id + "\x00" + strconv.FormatInt(e.startedAt, 10) + "\x00" + e.address)
}

// EntryOption sets one property of an Entry.
type EntryOption func(*Entry)

// StartedAt sets the start time of the target in Unix milliseconds. It
// distinguishes restarts of a target under the same ID.
func StartedAt(ms int64) EntryOption { return func(e *Entry) { e.startedAt = ms } }

// Domain sets the failure domain and its region.
func Domain(domain, region string) EntryOption {
	return func(e *Entry) { e.domain, e.region = domain, region }
}

// Version sets the version of the target's software.
func Version(v string) EntryOption { return func(e *Entry) { e.version = v } }

// Slots sets how many requests the target runs concurrently.
func Slots(n int) EntryOption { return func(e *Entry) { e.slots = max(n, 1) } }

// Draining marks the target as draining; it gets no new requests.
func Draining() EntryOption { return func(e *Entry) { e.draining = true } }

// WarmUpLeft sets the remaining time for which the target is cold.
func WarmUpLeft(d time.Duration) EntryOption { return func(e *Entry) { e.warmUpLeft = d } }
