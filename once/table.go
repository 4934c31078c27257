package once

import (
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
)

// Default limits of a Table.
const (
	// Window is how long a record is kept after its outcome, and how long a
	// ticket is valid after its issue.
	Window = 10 * time.Minute
	// defaultMaxRecords records take about 12 MB without their bodies.
	defaultMaxRecords = 65536
	// defaultMaxBytes limits the total size of the recorded bodies.
	defaultMaxBytes = 16 << 20
	// ownerShare is the fraction of the records that one owner may use.
	ownerShare = 0.5
)

// Table holds the identifiers that one daemon incarnation has received, with their
// outcomes. The number of records and the size of the bodies are limited. A Table
// is safe for concurrent use.
type Table struct {
	clk        clock.Clock
	window     time.Duration
	maxRecords int
	maxBytes   int

	mu          sync.Mutex
	byKey       map[string]*Record
	byOwner     map[string]int
	expiryQueue []*Record // Finished records in order of expiry.
	bodyBytes   int       // Total size of the bodies of the records in byKey.
}

// Option configures a Table that NewTable creates.
type Option func(*Table)

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(t *Table) { t.clk = c } }

// WithWindow sets the retention time of records and the validity of tickets. The
// default is Window.
func WithWindow(d time.Duration) Option { return func(t *Table) { t.window = d } }

// WithRecords sets the maximum number of records.
func WithRecords(n int) Option { return func(t *Table) { t.maxRecords = n } }

// WithBytes sets the total size of bodies, in bytes, at which the table is full.
func WithBytes(n int) Option { return func(t *Table) { t.maxBytes = n } }

// NewTable returns an empty Table.
func NewTable(opts ...Option) *Table {
	t := &Table{
		clk: clock.System{}, window: Window, maxRecords: defaultMaxRecords, maxBytes: defaultMaxBytes,
		byKey: make(map[string]*Record), byOwner: make(map[string]int),
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Window returns how long a record is kept after its outcome.
func (t *Table) Window() time.Duration { return t.window }

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byKey)
}

// Key returns the table key of an identifier. Neither owner nor identifier contains
// a space.
func Key(owner, id string) string { return owner + " " + id }

// Begin returns the record of an identifier and creates it if there is none. The
// record is nil for the states Reused and Full. The fingerprint is the hash of the
// request, by which Begin detects an identifier that is used for another request.
func (t *Table) Begin(owner, id string, fingerprint uint64) (*Record, State) {
	key := Key(owner, id)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked()
	if r, ok := t.byKey[key]; ok {
		// A barred identifier has no fingerprint.
		if r.fingerprint != fingerprint && r.fingerprint != 0 {
			return nil, Reused
		}
		return r, Seen
	}
	if t.fullLocked(owner) {
		meter.Count("once.full", 1)
		return nil, Full
	}
	return t.addLocked(key, owner, fingerprint), Fresh
}

// Find returns the record of an identifier, or nil if there is none.
func (t *Table) Find(owner, id string) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked()
	return t.byKey[Key(owner, id)]
}

// FindOrBar returns the record of an identifier; known is true if there was one.
// Otherwise it bars the identifier: it records the outcome "not run", so that a
// request that arrives later does not run. The record is nil if the table has no
// room for the owner.
func (t *Table) FindOrBar(owner, id string) (r *Record, known bool) {
	key := Key(owner, id)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked()
	if r, ok := t.byKey[key]; ok {
		return r, true
	}
	if t.fullLocked(owner) {
		meter.Count("once.full", 1)
		return nil, false
	}
	meter.Count("once.barred", 1)
	r = t.addLocked(key, owner, 0)
	t.finishLocked(r, Refused(refusal.New(refusal.WrongIncarnation, "identifier was barred before its request arrived")))
	return r, false
}

func (t *Table) fullLocked(owner string) bool {
	return len(t.byKey) >= t.maxRecords || t.bodyBytes >= t.maxBytes ||
		float64(t.byOwner[owner]) >= ownerShare*float64(t.maxRecords)
}

func (t *Table) addLocked(key, owner string, fingerprint uint64) *Record {
	r := &Record{t: t, key: key, owner: owner, fingerprint: fingerprint, done: make(chan struct{})}
	t.byKey[key] = r
	t.byOwner[owner]++
	return r
}

func (t *Table) finish(r *Record, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finishLocked(r, o)
}

func (t *Table) forget(r *Record, o Outcome) {
	invariant.Check("once.forget_not_run", o.ran == refusal.NotRun, "record of identifier %q is removed although it has the outcome %s", r.key, o.ran)
	t.mu.Lock()
	defer t.mu.Unlock()
	r.outcome = o
	t.removeLocked(r)
	close(r.done)
}

func (t *Table) removeLocked(r *Record) {
	delete(t.byKey, r.key)
	if t.byOwner[r.owner]--; t.byOwner[r.owner] == 0 {
		delete(t.byOwner, r.owner)
	}
}

func (t *Table) finishLocked(r *Record, o Outcome) {
	if _, ended := r.Outcome(); !invariant.Check("once.one_outcome", !ended, "identifier %q got a second outcome", r.key) {
		return
	}
	r.outcome, r.expires = o, t.clk.Boot()+t.window
	t.bodyBytes += len(o.body)
	t.expiryQueue = append(t.expiryQueue, r)
	close(r.done)
}

func (t *Table) expireLocked() {
	now := t.clk.Boot()
	n := 0
	for n < len(t.expiryQueue) && t.expiryQueue[n].expires <= now {
		r := t.expiryQueue[n]
		t.bodyBytes -= len(r.outcome.body)
		t.removeLocked(r)
		t.expiryQueue[n] = nil
		n++
	}
	t.expiryQueue = t.expiryQueue[n:]
	invariant.Check("once.bounded", len(t.byKey) <= t.maxRecords, "table has %d records, the limit is %d", len(t.byKey), t.maxRecords)
}
