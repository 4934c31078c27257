package mirror

import (
	"bytes"
	"maps"
	"slices"
)

// kindState is the copy of the objects of one kind.
type kindState struct {
	known   bool
	version Position // Position of the last known change.
	cursor  Position // Position from which the next watch continues.
	objects map[string]Object
	log     *changeLog
	// unannounced holds the objects that changed without a later version, with their
	// revisions: peers with the same version do not have these changes. They are logged
	// again with the next version.
	unannounced map[string]uint64
	// mixedUntil is the position up to which the objects may be newer than the version,
	// because they were read in several pages; zero if they are of one position.
	mixedUntil Position
	// unconfirmed means that objects may be missing that were deleted after the version, so
	// that a later list does not show to peers with this version that they were.
	unconfirmed bool
	// held contains objects of earlier eras that are used in place of what the
	// store says now, until they are written again or the hold ends.
	held map[string]Object
	// holdChanged means that objects whose specification differs in the first
	// list of an era are held too, not only missing ones.
	holdChanged bool
}

func newKindState() *kindState {
	return &kindState{objects: make(map[string]Object), log: newChangeLog(), unannounced: make(map[string]uint64)}
}

// view returns the objects in use, by name.
func (k *kindState) view() map[string]Object {
	if len(k.held) == 0 {
		return k.objects
	}
	view := maps.Clone(k.objects)
	maps.Copy(view, k.held)
	return view
}

// list returns the objects in use, ordered by name.
func (k *kindState) list() []Object {
	view := k.view()
	objects := make([]Object, 0, len(view))
	for _, name := range slices.Sorted(maps.Keys(view)) {
		objects = append(objects, view[name])
	}
	return objects
}

// begin sets the objects to a list that is the first one, or the first one of an
// era. With hold set, objects that it lacks stay in use: the store may have lost
// them, and their writers write them again.
func (k *kindState) begin(objects []Object, at Position, hold bool) {
	previous := k.view()
	k.objects = make(map[string]Object, len(objects))
	for _, o := range objects {
		k.objects[o.name] = o.in(at.era)
	}
	k.held = nil
	if hold {
		k.held = maps.Clone(previous)
		maps.DeleteFunc(k.held, func(name string, o Object) bool {
			read, ok := k.objects[name]
			return ok && !(k.holdChanged && !bytes.Equal(read.spec, o.spec))
		})
	}
	k.known, k.version, k.cursor = true, at, at
	k.log.reset(at.revision)
	k.unannounced = make(map[string]uint64)
	for _, o := range objects {
		k.noteUnannounced(o)
	}
}

// noteUnannounced notes an object that is newer than the version.
func (k *kindState) noteUnannounced(o Object) {
	if o.revision > k.version.revision {
		k.unannounced[o.name] = o.revision
	}
}

// setMixed records whether the objects were read at several positions. Newer objects of an
// earlier list stay until a list or a watch has reached their position.
func (k *kindState) setMixed(l Listing) {
	k.unconfirmed = l.unconfirmed || k.unconfirmed && k.version.Before(l.position) // The version stays.
	switch {
	case l.mixed():
		k.mixedUntil = later(k.mixedUntil, l.until)
	case !l.position.Before(k.mixedUntil):
		k.mixedUntil = Position{}
	}
}

func (k *kindState) isMixed() bool { return k.mixedUntil != Position{} }

// announce raises the version and logs the changes that peers with the former one may lack.
func (k *kindState) announce(version Position) {
	if !k.version.Before(version) {
		return
	}
	k.version = version
	for name, revision := range k.unannounced {
		o, ok := k.objects[name]
		if ok {
			revision = o.revision
		}
		k.log.add(logEntry{name: name, revision: revision, deleted: !ok, version: version.revision})
		if revision <= version.revision {
			delete(k.unannounced, name)
		}
	}
}

// update sets the objects to a later list of the same era and reports whether
// that changed an object.
func (k *kindState) update(objects []Object, at Position) bool {
	var events []Event
	seen := make(map[string]bool, len(objects))
	for _, o := range objects {
		seen[o.name] = true
		events = append(events, NewEvent(o, false)) // apply skips events that change nothing.
	}
	for n, o := range k.objects {
		if !seen[n] {
			events = append(events, NewEvent(o, true))
		}
	}
	k.cursor = later(k.cursor, at)
	previous := k.version
	changed := k.apply(events, at)
	if len(k.unannounced) > 0 || k.unconfirmed {
		k.announce(at)
	}
	for _, o := range objects {
		k.noteUnannounced(o)
	}
	k.addGapAfter(previous)
	return changed
}

// addGapAfter records that the changes after a version were learned from a list.
func (k *kindState) addGapAfter(previous Position) {
	after := previous.revision
	if k.unconfirmed && after > 0 {
		after-- // The gap includes the version.
	}
	k.log.addGap(after, k.version.revision)
}

// confirm raises the version to the position of the last list, which showed no change, if p is
// not after it: older changes of a peer are not applied then, and later ones of the watch do
// not hide what was made and undone before the list. It reports whether it raised the version.
func (k *kindState) confirm(p Position) bool {
	if !k.known || !k.version.Before(p) || k.cursor.Before(p) || k.version.era != p.era {
		return false
	}
	previous := k.version
	k.announce(k.cursor)
	k.addGapAfter(previous)
	return true
}

// apply applies events of the kind's era up to the given position and reports
// whether any of them changed an object.
func (k *kindState) apply(events []Event, at Position) bool {
	changed, silent := false, !k.version.Before(at)
	version := later(k.version, at)
	for _, e := range events {
		e.object = e.object.in(at.era)
		// Compare each event with the state that the preceding events left.
		modifies := k.modifies(e)
		if !modifies && !k.unloggedDeletion(e) {
			k.raiseRevision(e)
			continue
		}
		k.announce(version)
		if silent {
			k.unannounced[e.object.name] = e.object.revision
		}
		k.log.add(logEntry{name: e.object.name, revision: e.object.revision, deleted: e.deleted, version: version.revision})
		if _, ok := k.held[e.object.name]; ok {
			delete(k.held, e.object.name) // It has been written, or deleted, in this era.
			changed = true
		}
		if !modifies {
			continue
		}
		changed = true
		if e.deleted {
			delete(k.objects, e.object.name)
		} else {
			k.objects[e.object.name] = e.object
			k.noteUnannounced(e.object) // From a peer that has read it in several pages.
		}
	}
	return changed
}

// raiseRevision records the revision of an object that was written again with
// the same content. A conditional write needs the latest one.
func (k *kindState) raiseRevision(e Event) {
	old, ok := k.objects[e.object.name]
	if ok && !e.deleted && e.object.revision > old.revision && old.equal(e.object) {
		k.objects[e.object.name] = e.object
	}
}

// unloggedDeletion reports whether an event is the deletion of an object that
// this copy never had, or lost by a list that may have been of a later position than the
// version. A peer may have it, and learn of the deletion from here.
func (k *kindState) unloggedDeletion(e Event) bool {
	_, ok := k.objects[e.object.name]
	return e.deleted && !ok && (k.unconfirmed || !k.log.hasDeletion(e.object))
}

// modifies reports whether an event changes the objects. Another source may
// have supplied it already.
func (k *kindState) modifies(e Event) bool {
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

// changesSince returns the changes after a position. They are all objects if
// the position is in another era, or the log does not reach back to it.
func (k *kindState) changesSince(name string, p Position) Changes {
	entries, ok := k.log.since(p.revision)
	if p.era != k.version.era || !ok {
		return k.allObjects(name)
	}
	return Changes{kind: name, version: k.version, events: k.eventsOf(entries), gaps: k.log.gapsAfter(p.revision)}
}

// allObjects returns all objects of the store's current copy, without those that
// are held: each daemon holds its own.
func (k *kindState) allObjects(name string) Changes {
	c := Changes{kind: name, version: k.version, full: true}
	for _, o := range k.objects {
		c.events = append(c.events, NewEvent(o, false))
	}
	return c
}

// eventsOf returns the events of log entries, with the current values of the
// objects.
func (k *kindState) eventsOf(entries []logEntry) []Event {
	events := make([]Event, len(entries))
	for i, e := range entries {
		if e.deleted {
			events[i] = NewEvent(NewObject(e.name, e.revision, nil, nil), true)
		} else {
			events[i] = NewEvent(k.objects[e.name], false)
		}
	}
	return events
}
