package mirror

import (
	"container/list"
	"slices"
)

const (
	// maxLogBytes limits the log of one kind. It covers about 600 changes of
	// targets, which is more than a peer misses between two fetches. A peer that
	// lags further receives all objects.
	maxLogBytes = 64 << 10
	// logEntryBytes is the memory of a log entry beside its name: the entry, its
	// list element, and its place in the index.
	logEntryBytes = 160
	// maxLogGaps limits the gaps of a log. Each list with a change makes one.
	maxLogGaps = 64
)

// changeLog names the objects of one kind that changed last, for peers that lag
// behind. It holds no values: those of existing objects are in the copy, and
// peers need none of deleted ones. Only the last change of each object is kept,
// since a peer that has missed several needs only that one.
type changeLog struct {
	start   uint64     // The log contains all changes after this version.
	entries *list.List // Of logEntry, ordered by version.
	byName  map[string]*list.Element
	bytes   int
	gaps    []logGap
}

// logGap is a range of versions, without its ends, in which the log may lack
// the deletions of objects that were created within it.
type logGap struct{ after, before uint64 }

// logEntry is the last change of one object and the version of the kind after
// it.
type logEntry struct {
	name     string
	revision uint64
	deleted  bool
	version  uint64
}

func newChangeLog() *changeLog {
	return &changeLog{entries: list.New(), byName: make(map[string]*list.Element)}
}

// reset empties the log, which then contains all changes after start.
func (l *changeLog) reset(start uint64) {
	*l = *newChangeLog()
	l.start = start
}

// add records a change. Versions must not decrease from call to call.
func (l *changeLog) add(e logEntry) {
	if old, ok := l.byName[e.name]; ok {
		l.remove(old)
	}
	l.byName[e.name] = l.entries.PushBack(e)
	l.bytes += len(e.name) + logEntryBytes
	for l.bytes > maxLogBytes {
		// The log no longer contains all changes up to the version of the removed
		// entry.
		l.start = l.remove(l.entries.Front()).version
	}
}

// addGap records that the changes between two versions, without the ends, were
// learned from a list of all objects.
func (l *changeLog) addGap(after, before uint64) {
	g := logGap{after, before}
	if before <= after+1 || slices.Contains(l.gaps, g) {
		return
	}
	l.gaps = slices.DeleteFunc(l.gaps, func(g logGap) bool { return g.before <= l.start })
	if l.gaps = append(l.gaps, g); len(l.gaps) > maxLogGaps {
		l.start = max(l.start, l.gaps[0].before)
		l.gaps = slices.Delete(l.gaps, 0, 1)
	}
}

// gapsAfter returns the gaps that concern a version or later ones.
func (l *changeLog) gapsAfter(version uint64) []logGap {
	return slices.DeleteFunc(slices.Clone(l.gaps), func(g logGap) bool { return g.before <= version })
}

// hasDeletion reports whether the last logged change of an object is its
// deletion at this revision or later.
func (l *changeLog) hasDeletion(o Object) bool {
	element, ok := l.byName[o.name]
	if !ok {
		return false
	}
	e := element.Value.(logEntry)
	return e.deleted && e.revision >= o.revision
}

func (l *changeLog) remove(element *list.Element) logEntry {
	e := l.entries.Remove(element).(logEntry)
	delete(l.byName, e.name)
	l.bytes -= len(e.name) + logEntryBytes
	return e
}

// since returns the changes after a version. It returns false if the log may
// lack some of them.
func (l *changeLog) since(version uint64) ([]logEntry, bool) {
	inGap := func(g logGap) bool { return g.after < version && version < g.before }
	if version < l.start || slices.ContainsFunc(l.gaps, inGap) {
		return nil, false
	}
	var entries []logEntry
	for e := l.entries.Back(); e != nil && e.Value.(logEntry).version > version; e = e.Prev() {
		entries = append(entries, e.Value.(logEntry))
	}
	return entries, true
}
