package mirror

import "sync"

// Mirror is a copy of the objects of some kinds. It is safe for concurrent use.
type Mirror struct {
	onChange func(kind string)
	eras     *Eras

	mu       sync.Mutex
	kinds    map[string]*kindState
	released uint64 // Latest era of which the hold has ended.
}

// New returns an empty mirror of the given kinds. It calls onChange after each
// change without holding locks. The function must not block for long.
func New(onChange func(kind string), kinds ...string) *Mirror {
	m := &Mirror{onChange: onChange, eras: NewEras(), kinds: make(map[string]*kindState, len(kinds))}
	for _, k := range kinds {
		m.kinds[k] = newKindState()
	}
	return m
}

// HoldChanged makes the mirror hold objects of a kind also if the first list of
// an era has another specification of them, not only if they are missing. The
// older copy may contain an order that a later one had replaced. It must be
// called before the mirror is used.
func (m *Mirror) HoldChanged(kind string) { m.kinds[kind].holdChanged = true }

// Eras returns the eras of the store whose objects the mirror copies.
func (m *Mirror) Eras() *Eras { return m.eras }

// Versions returns the versions of all known kinds.
func (m *Mirror) Versions() Versions {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.versionsLocked()
}

func (m *Mirror) versionsLocked() Versions {
	versions := make(Versions, len(m.kinds))
	for name, k := range m.kinds {
		if k.known {
			versions[name] = k.version
		}
	}
	return versions
}

// Known reports whether a list of the kind has been stored, in any era.
func (m *Mirror) Known(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kinds[name].known
}

// Cursor returns the position from which to watch a kind. It returns false if
// the kind must be listed first: it is not known, or not in the current era.
func (m *Mirror) Cursor(name string) (Position, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[name]
	return k.cursor, k.known && k.version.era == m.eras.Current()
}

// Objects returns the objects of a kind, ordered by name. Objects of an earlier
// era than the store's are those that are held until they are written again, or
// until the kind has been read in the current era.
func (m *Mirror) Objects(name string) []Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kinds[name].list()
}

// Replace sets all objects of a kind to a list taken at the given position. It
// ignores lists that are older than the known version, and those of an earlier
// era if the kind is known or of an implausibly late one.
func (m *Mirror) Replace(name string, objects []Object, at Position) {
	m.replace(name, NewListing(objects, at, 1))
}

// replace sets all objects of a kind to a list, as Replace does. The objects may be of
// several positions.
func (m *Mirror) replace(name string, l Listing) {
	at := l.position
	if !m.eras.Learn(at.era) {
		return
	}
	m.mu.Lock()
	k := m.kinds[name]
	era := m.eras.Current()
	var changed bool
	switch {
	case k.known && (at.era < era || at.Before(k.version)):
	case !k.known || k.version.era < at.era:
		k.begin(l.objects, at, m.released < era)
		k.setMixed(l)
		changed = true // Also without other objects, since their positions have changed.
	default:
		changed = k.update(l.objects, at)
		k.setMixed(l)
	}
	m.mu.Unlock()
	if changed {
		m.onChange(name)
	}
}

// Apply applies the events of a watch that ended at the given position. It
// ignores events up to the known version: they are known, and the objects that
// they set may have been deleted since. It ignores events of another era than
// that of the copy.
func (m *Mirror) Apply(name string, events []Event, at Position) {
	m.apply(Changes{kind: name, version: at, events: events}, true)
}

// apply applies changes. Those of a watch are complete from the cursor on; a peer may not
// know of objects that only this daemon has read.
func (m *Mirror) apply(c Changes, watched bool) {
	name, at := c.kind, c.version
	if !m.eras.Learn(at.era) {
		return
	}
	m.mu.Lock()
	k := m.kinds[name]
	changed := false
	if at.era == k.version.era && at.era == m.eras.Current() {
		if watched && k.cursor.Before(at) {
			k.confirm(k.cursor)
		}
		k.cursor = later(k.cursor, at)
		if k.version.Before(at) {
			changed = k.apply(c.events, at)
			switch {
			case !watched:
				k.mixedUntil, k.unconfirmed = later(k.mixedUntil, c.mixedUntil), k.unconfirmed || c.unconfirmed
			case !at.Before(k.mixedUntil):
				k.mixedUntil, k.unconfirmed = Position{}, false
			}
			for _, g := range c.gaps {
				k.log.addGap(g.after, g.before)
			}
		}
	}
	m.mu.Unlock()
	if changed {
		m.onChange(name)
	}
}

// Release ends the hold of objects that have not been written again in an era.
// It does nothing if a later era is known.
func (m *Mirror) Release(era uint64) {
	m.mu.Lock()
	var changed []string
	if era == m.eras.Current() {
		m.released = max(m.released, era)
		for name, k := range m.kinds {
			if len(k.held) > 0 && k.version.era == era {
				changed = append(changed, name)
				k.held = nil
			}
		}
	}
	m.mu.Unlock()
	for _, name := range changed {
		m.onChange(name)
	}
}

// Changes holds the changes of one kind that another daemon is missing. If full
// is set, events contains all objects.
type Changes struct {
	kind    string
	version Position
	full    bool
	events  []Event
	gaps    []logGap // Of the sender's log, which this daemon's log then has too.
	// mixedUntil is the position up to which the objects may be newer than the version;
	// zero if they are not.
	mixedUntil Position
	// unconfirmed means that objects may be missing that were deleted after the version.
	unconfirmed bool
}

// ChangesSince returns the changes that a daemon with the given versions is
// missing.
func (m *Mirror) ChangesSince(versions Versions) []Changes {
	m.mu.Lock()
	defer m.mu.Unlock()
	var missing []Changes
	for name, k := range m.kinds {
		p, has := versions[name]
		switch {
		case !k.known || has && !p.Before(k.version):
		case !has:
			missing = append(missing, k.allObjects(name))
		default:
			missing = append(missing, k.changesSince(name, p))
		}
	}
	for i, c := range missing {
		k := m.kinds[c.kind]
		missing[i].mixedUntil, missing[i].unconfirmed = k.mixedUntil, k.unconfirmed
	}
	return missing
}

// Merge applies the changes received from a peer. It ignores unknown kinds.
func (m *Mirror) Merge(changes []Changes) {
	for _, c := range changes {
		if _, ok := m.kinds[c.kind]; !ok {
			continue // A peer of a newer version may mirror more kinds.
		}
		if m.confirm(c.kind, c.version) {
			continue
		}
		if c.full {
			objects := make([]Object, len(c.events))
			for i, e := range c.events {
				objects[i] = e.object
			}
			l := NewListing(objects, c.version, 1).ReadUntil(later(c.version, c.mixedUntil))
			l.unconfirmed = c.unconfirmed
			m.replace(c.kind, l)
		} else {
			m.apply(c, false)
		}
		m.raiseVersion(c.kind, c.version, c.full)
	}
}

// confirm reports whether this daemon has listed a kind at the given position or later, so
// that it knows the changes of a peer up to it.
func (m *Mirror) confirm(name string, p Position) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return p.era == m.eras.Current() && m.kinds[name].confirm(p)
}

// raiseVersion records that all changes up to version are known, so that they
// are not fetched again. Listed is whether they were learned from all objects.
func (m *Mirror) raiseVersion(name string, version Position, listed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[name]
	if version.era == k.version.era && version.era == m.eras.Current() {
		previous := k.version
		k.announce(version)
		if listed {
			k.addGapAfter(previous)
		}
	}
}

// Mixed reports whether the objects of a kind may be newer than their version.
func (m *Mirror) Mixed(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kinds[name].isMixed()
}

// Behind reports whether a daemon with the given versions has changes that this one lacks,
// or may show whether objects that this one has read in several pages still exist.
func (m *Mirror) Behind(w Versions) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.versionsLocked().Behind(w) {
		return true
	}
	for name, k := range m.kinds {
		if p, ok := w[name]; ok && k.isMixed() && !p.Before(k.version) {
			return true
		}
	}
	return false
}

// completeVersions returns the versions of the kinds whose objects are of one position.
// Peers send all objects of the others.
func (m *Mirror) completeVersions() Versions {
	m.mu.Lock()
	defer m.mu.Unlock()
	versions := m.versionsLocked()
	for name, k := range m.kinds {
		if k.isMixed() {
			delete(versions, name)
		}
	}
	return versions
}
