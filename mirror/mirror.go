package mirror

import (
	"maps"
	"slices"
	"sync"
)

// maxLog is how many changes of a kind are kept for neighbours that lag behind;
// one that lags more gets all objects.
const maxLog = 512

// Mirror is the copy of some kinds of objects. It is safe for concurrent use.
type Mirror struct {
	changed func(kind string)

	mu    sync.Mutex
	kinds map[string]*kind
}

// kind is the copy of the objects of one kind.
type kind struct {
	known   bool
	version uint64 // The store's revision when the last change became known.
	cursor  uint64 // The store's revision from which a watch continues.
	objects map[string]Object
	log     []change
	logFrom uint64 // The log holds all changes after this version.
}

// change is one event with the version that it leads to.
type change struct {
	Event
	version uint64
}

// New returns an empty mirror of those kinds. Changed is called after each
// change, without locks held; it must not block for long.
func New(changed func(kind string), kinds ...string) *Mirror {
	m := &Mirror{changed: changed, kinds: make(map[string]*kind, len(kinds))}
	for _, k := range kinds {
		m.kinds[k] = &kind{objects: make(map[string]Object)}
	}
	return m
}

// Versions returns the version of each kind that is known.
func (m *Mirror) Versions() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	vs := make(map[string]uint64, len(m.kinds))
	for name, k := range m.kinds {
		if k.known {
			vs[name] = k.version
		}
	}
	return vs
}

// Known reports whether the objects of a kind have been read at all.
func (m *Mirror) Known(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kinds[name].known
}

// Cursor returns the revision from which to watch a kind; false means that it
// must be listed first.
func (m *Mirror) Cursor(name string) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[name]
	return k.cursor, k.known
}

// Objects returns the objects of a kind, ordered by name.
func (m *Mirror) Objects(name string) []Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[name]
	names := slices.Sorted(maps.Keys(k.objects))
	objects := make([]Object, len(names))
	for i, n := range names {
		objects[i] = k.objects[n]
	}
	return objects
}

// Replace sets all objects of a kind as of the store's revision at. A reading
// that is older than what is known is ignored.
func (m *Mirror) Replace(name string, objects []Object, at uint64) {
	m.mu.Lock()
	k := m.kinds[name]
	if k.known && at < k.version {
		m.mu.Unlock()
		return
	}
	var events []Event
	seen := make(map[string]bool, len(objects))
	for _, o := range objects {
		seen[o.name] = true
		events = append(events, NewEvent(o, false)) // Those that change nothing are left out below.
	}
	for n, o := range k.objects {
		if !seen[n] {
			events = append(events, NewEvent(o, true))
		}
	}
	first := !k.known
	if first {
		k.logFrom, k.version = at, at
	}
	k.known = true
	k.cursor = max(k.cursor, at)
	changed := k.apply(events, at)
	m.mu.Unlock()
	if first || changed {
		m.changed(name)
	}
}

// Apply takes in the events of a watch that ended at the store's revision at.
func (m *Mirror) Apply(name string, events []Event, at uint64) {
	m.mu.Lock()
	k := m.kinds[name]
	k.cursor = max(k.cursor, at)
	changed := k.apply(events, at)
	m.mu.Unlock()
	if changed {
		m.changed(name)
	}
}

// apply takes in events up to the store's revision at and reports whether any
// of them changed something.
func (k *kind) apply(events []Event, at uint64) bool {
	changed := false
	for _, e := range events {
		// Each event is compared with what the ones before it left.
		if !k.changes(e) {
			continue
		}
		if !changed {
			changed = true
			k.version = max(k.version, at)
		}
		if e.deleted {
			delete(k.objects, e.object.name)
		} else {
			k.objects[e.object.name] = e.object
		}
		k.log = append(k.log, change{Event: e, version: k.version})
	}
	if over := len(k.log) - maxLog; over > 0 {
		// All changes up to the version of the last one removed are lost.
		k.logFrom = k.log[over-1].version
		k.log = slices.Delete(k.log, 0, over)
	}
	return changed
}

// changes reports whether an event tells something new. Another source may have
// told it already.
func (k *kind) changes(e Event) bool {
	old, ok := k.objects[e.object.name]
	switch {
	case ok && e.object.revision < old.revision:
		return false
	case e.deleted:
		return ok
	default:
		return !ok || !old.equal(e.object)
	}
}

// Changes is what a daemon lacks of one kind.
type Changes struct {
	kind    string
	version uint64
	full    bool
	events  []Event
}

// Since returns what a daemon with those versions lacks.
func (m *Mirror) Since(versions map[string]uint64) []Changes {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Changes
	for name, k := range m.kinds {
		v, has := versions[name]
		if !k.known || has && v >= k.version {
			continue
		}
		c := Changes{kind: name, version: k.version}
		if has && v >= k.logFrom {
			for _, ch := range k.log {
				if ch.version > v {
					c.events = append(c.events, ch.Event)
				}
			}
		} else {
			c.full = true
			for _, o := range k.objects {
				c.events = append(c.events, NewEvent(o, false))
			}
		}
		all = append(all, c)
	}
	return all
}

// Merge takes in what a neighbour sent.
func (m *Mirror) Merge(all []Changes) {
	for _, c := range all {
		if _, ok := m.kinds[c.kind]; !ok {
			continue // A newer neighbour mirrors more kinds.
		}
		if c.full {
			objects := make([]Object, len(c.events))
			for i, e := range c.events {
				objects[i] = e.object
			}
			m.Replace(c.kind, objects, c.version)
		} else {
			m.Apply(c.kind, c.events, c.version)
		}
		m.raise(c.kind, c.version)
	}
}

// raise notes that all changes up to version are known, so that they are not
// fetched again.
func (m *Mirror) raise(name string, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[name]
	k.version = max(k.version, version)
}
