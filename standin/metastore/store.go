package metastore

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
)

// maxHistory is the number of changes that the store keeps for watches.
const maxHistory = 1000

// Store is an in-memory store with a handler for the platform's protocol. It is
// safe for concurrent use. No object has revision 0.
type Store struct {
	mu        sync.Mutex
	era       uint64 // 0 if the store states none.
	revision  uint64
	objects   map[string]map[string]object // Objects by kind and name.
	history   []event
	compacted uint64        // The history starts after this revision.
	changed   chan struct{} // Closed and replaced at each change.
	fault     Fault
	pageSize  int
	calls     int
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type meta struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	CreateRevision  uint64   `json:"create_revision"`
	Finalizers      []string `json:"finalizers"`
	DeleteRequested bool     `json:"delete_requested"`
}

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Option sets an option of a Store.
type Option func(*Store)

// WithoutEras makes the store state no era in its answers, also after a restore,
// like earlier versions of the platform.
func WithoutEras() Option { return func(s *Store) { s.era = 0 } }

// New returns an empty store in era 1 that lists up to pageSize objects per
// page.
func New(pageSize int, opts ...Option) *Store {
	s := &Store{
		era: 1, revision: 1, objects: make(map[string]map[string]object),
		changed: make(chan struct{}), pageSize: pageSize,
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Put creates the object or replaces its spec, without a condition, and returns
// the revision of the change.
func (s *Store) Put(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // A spec that JSON cannot encode is a mistake in the test.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Meta.Name = name
	o.Spec = raw
	return s.setLocked(kind, o)
}

// setLocked stores o under a new revision, records the change and returns the
// revision.
func (s *Store) setLocked(kind string, o object) uint64 {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o.Meta.Revision = s.revision
	if o.Meta.CreateRevision == 0 {
		o.Meta.CreateRevision = s.revision
	}
	s.objects[kind][o.Meta.Name] = o
	s.recordLocked(event{kind: kind, Object: o})
	return s.revision
}

// Delete removes an object. It does nothing if the object does not exist.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.recordLocked(event{kind: kind, Object: o, Deleted: true})
}

// recordLocked appends a change to the history and wakes the watches.
func (s *Store) recordLocked(e event) {
	e.Object.Meta.Revision = max(e.Object.Meta.Revision, s.revision)
	s.history = append(s.history, e)
	if len(s.history) > maxHistory {
		s.compacted = s.history[0].Object.Meta.Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history, so that watches from earlier revisions end with
// status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns the number of HTTP calls that the store received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Status returns the JSON status of an object, or "" if it has none.
func (s *Store) Status(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.objects[kind][name].Status)
}

// page returns up to pageSize objects of a kind in the order of their names,
// starting after the given name. It reports whether there are more objects, and
// the era and revision of the store.
func (s *Store) page(kind, after string) (items []object, more bool, era, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if name <= after {
			continue
		}
		if len(items) == s.pageSize {
			return items, true, s.era, s.revision
		}
		items = append(items, s.objects[kind][name])
	}
	return items, false, s.era, s.revision
}

// changes are the changes of a kind after a revision.
type changes struct {
	events   []event
	era      uint64
	revision uint64
	next     <-chan struct{} // Closed by the next change.
	known    bool            // Whether the history contains the revision.
}

// changesSince returns the changes of a kind after a revision.
func (s *Store) changesSince(kind string, after uint64) changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := changes{era: s.era, revision: s.revision, next: s.changed, known: after >= s.compacted && after <= s.revision}
	if !c.known {
		return c
	}
	for _, e := range s.history {
		if e.kind == kind && e.Object.Meta.Revision > after {
			c.events = append(c.events, e)
		}
	}
	return c
}
