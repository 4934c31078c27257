package mirror

import "maps"

// Position is a point in the history of the store. Revisions are comparable
// only within one era: a store that is restored from an older copy assigns
// revisions again, in the next era.
type Position struct {
	era      uint64
	revision uint64
}

// NewPosition returns the position of a revision in an era. A store that states
// no era is in era 0.
func NewPosition(era, revision uint64) Position { return Position{era: era, revision: revision} }

// Era returns the era of the store.
func (p Position) Era() uint64 { return p.era }

// Revision returns the revision within the era.
func (p Position) Revision() uint64 { return p.revision }

// Before reports whether p is an earlier position than q.
func (p Position) Before(q Position) bool {
	return p.era < q.era || p.era == q.era && p.revision < q.revision
}

// later returns the later of two positions.
func later(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// Versions holds the position of the last known change of each known kind.
type Versions map[string]Position

// NewVersions returns the versions that a message states: the revisions by
// kind, in the era of the message, except for kinds with an entry in olderEras.
// A message of a daemon that states no era is in era 0.
func NewVersions(era uint64, revisions, olderEras map[string]uint64) Versions {
	v := make(Versions, len(revisions))
	for kind, revision := range revisions {
		kindEra, ok := olderEras[kind]
		if !ok {
			kindEra = era
		}
		v[kind] = NewPosition(kindEra, revision)
	}
	return v
}

// Encode returns the contents of a message in the given era from which
// NewVersions restores the versions.
func (v Versions) Encode(era uint64) (revisions, olderEras map[string]uint64) {
	revisions = make(map[string]uint64, len(v))
	for kind, p := range v {
		revisions[kind] = p.revision
		if p.era != era {
			if olderEras == nil {
				olderEras = make(map[string]uint64)
			}
			olderEras[kind] = p.era
		}
	}
	return revisions, olderEras
}

// Behind reports whether w has a kind that v lacks, or a later version of one.
func (v Versions) Behind(w Versions) bool {
	for kind, p := range w {
		if own, ok := v[kind]; !ok || own.Before(p) {
			return true
		}
	}
	return false
}

// assumeEra returns the versions with all positions in the eras of those in w.
func (v Versions) assumeEra(w Versions) Versions {
	assumed := maps.Clone(v)
	for kind, p := range v {
		assumed[kind] = NewPosition(w[kind].era, p.revision)
	}
	return assumed
}
