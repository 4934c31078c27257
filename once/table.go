package once

import (
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
)

// Defaults of a Table.
const (
	// Window is the time for which identifiers are kept after their outcome and
	// for which tickets are valid.
	Window = 10 * time.Minute
	// defaultRecords is about 12 MB of records without bodies.
	defaultRecords = 65536
	// defaultBytes bounds the bodies that are kept.
	defaultBytes = 16 << 20
	// ownerShare is the part of the table that one owner may fill.
	ownerShare = 0.5
)

// Table holds the identifiers that one daemon incarnation has seen. It is
// bounded in records and bytes.
type Table struct {
	clk     clock.Clock
	window  time.Duration
	records int
	bytes   int

	mu      sync.Mutex
	byKey   map[string]*Record
	byOwner map[string]int
	ended   []*Record // In order of expiry.
	held    int       // Bytes of bodies in byKey.
}

// Option changes how NewTable builds a Table.
type Option func(*Table)

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(t *Table) { t.clk = c } }

// WithWindow replaces Window.
func WithWindow(d time.Duration) Option { return func(t *Table) { t.window = d } }

// WithRecords sets the highest number of records.
func WithRecords(n int) Option { return func(t *Table) { t.records = n } }

// WithBytes sets the number of body bytes from which no new record is accepted.
func WithBytes(n int) Option { return func(t *Table) { t.bytes = n } }

// NewTable returns an empty Table.
func NewTable(opts ...Option) *Table {
	t := &Table{
		clk: clock.System{}, window: Window, records: defaultRecords, bytes: defaultBytes,
		byKey: make(map[string]*Record), byOwner: make(map[string]int),
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Window is the time for which identifiers are kept.
func (t *Table) Window() time.Duration { return t.window }

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byKey)
}

// Key joins owner and identifier. Neither contains a space.
func Key(owner, id string) string { return owner + " " + id }

// Begin finds or creates the record of an identifier. The fingerprint is the
// hash of the request.
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

// Find returns the record of an identifier, nil when it is unknown.
func (t *Table) Find(owner, id string) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked()
	return t.byKey[Key(owner, id)]
}

// Bar returns the record of an identifier. An unknown identifier is barred: it
// is recorded as not run, so that it never runs. The result is nil when the
// table is full.
func (t *Table) Bar(owner, id string) (r *Record, known bool) {
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
	return len(t.byKey) >= t.records || t.held >= t.bytes ||
		float64(t.byOwner[owner]) >= ownerShare*float64(t.records)
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
	invariant.Check("once.forget_not_run", o.ran == refusal.NotRun, "identifier %q is forgotten after %s", r.key, o.ran)
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
	if _, ended := r.Outcome(); !invariant.Check("once.one_outcome", !ended, "identifier %q ends twice", r.key) {
		return
	}
	r.outcome, r.expires = o, t.clk.Boot()+t.window
	t.held += len(o.body)
	t.ended = append(t.ended, r)
	close(r.done)
}

func (t *Table) expireLocked() {
	now := t.clk.Boot()
	n := 0
	for n < len(t.ended) && t.ended[n].expires <= now {
		r := t.ended[n]
		t.held -= len(r.outcome.body)
		t.removeLocked(r)
		t.ended[n] = nil
		n++
	}
	t.ended = t.ended[n:]
	invariant.Check("once.bounded", len(t.byKey) <= t.records, "table has %d records of %d", len(t.byKey), t.records)
}
