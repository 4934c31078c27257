package metastore

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
)

// maxHistory is how many changes a watch can look back.
const maxHistory = 1000

// Store is the state of the stand-in. The zero revision is never used.
type Store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []event
	dropped  uint64 // Changes up to this revision are gone.
	changed  chan struct{}
	fault    Fault
	pageSize int
	calls    int
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

// New returns an empty store whose lists have pages of pageSize objects.
func New(pageSize int) *Store {
	return &Store{
		revision: 1, kinds: make(map[string]map[string]object),
		changed: make(chan struct{}), pageSize: pageSize,
	}
}

// Put sets an object's spec and returns the revision of the change.
func (s *Store) Put(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // Tests write what can be encoded.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Meta.Name = name
	o.Spec = raw
	return s.setLocked(kind, o)
}

func (s *Store) setLocked(kind string, o object) uint64 {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	o.Meta.Revision = s.revision
	if o.Meta.CreateRevision == 0 {
		o.Meta.CreateRevision = s.revision
	}
	s.kinds[kind][o.Meta.Name] = o
	s.recordLocked(event{kind: kind, Object: o})
	return s.revision
}

// Delete removes an object if it is there.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.recordLocked(event{kind: kind, Object: o, Deleted: true})
}

func (s *Store) recordLocked(e event) {
	e.Object.Meta.Revision = max(e.Object.Meta.Revision, s.revision)
	s.history = append(s.history, e)
	if len(s.history) > maxHistory {
		s.dropped = s.history[0].Object.Meta.Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history, so that watches from earlier revisions end.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.dropped = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Status returns the encoded status of an object, "" if it has none.
func (s *Store) Status(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.kinds[kind][name].Status)
}

// page returns the objects of a kind after a name.
func (s *Store) page(kind, after string) (items []object, more bool, at uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(s.kinds[kind])) {
		if name <= after {
			continue
		}
		if len(items) == s.pageSize {
			return items, true, s.revision
		}
		items = append(items, s.kinds[kind][name])
	}
	return items, false, s.revision
}

// since returns the changes of a kind after a revision, or a channel that is
// closed by the next change. It reports false if the history is gone.
func (s *Store) since(kind string, after uint64) ([]event, uint64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.dropped {
		return nil, 0, nil, false
	}
	var events []event
	for _, e := range s.history {
		if e.kind == kind && e.Object.Meta.Revision > after {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed, true
}
