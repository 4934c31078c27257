package metastore

import (
	"maps"
	"slices"
)

// Copy is the state of a store at one time.
type Copy struct {
	revision  uint64
	objects   map[string]map[string]object
	history   []event
	compacted uint64
}

// Copy returns a copy of the store's current state.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{revision: s.revision, objects: cloneObjects(s.objects), history: slices.Clone(s.history), compacted: s.compacted}
}

// Restore returns the store to an earlier state and begins the next era.
// Everything written since the copy is lost, and its revisions are assigned
// again. Watches from revisions that the copy does not have end with status 410.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era > 0 {
		s.era++
	}
	s.revision, s.objects, s.history, s.compacted = c.revision, cloneObjects(c.objects), slices.Clone(c.history), c.compacted
	close(s.changed)
	s.changed = make(chan struct{})
}

// Names returns the names of the objects of a kind, in order.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects[kind]))
}

func cloneObjects(objects map[string]map[string]object) map[string]map[string]object {
	clone := make(map[string]map[string]object, len(objects))
	for kind, byName := range objects {
		clone[kind] = maps.Clone(byName)
	}
	return clone
}
