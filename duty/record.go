package duty

import "errors"

// Record is the content of the duty's object in the store.
type Record struct {
	Holder      string // Name of the daemon that performs the duty.
	Incarnation uint64 // Number that differs for each start of the holder.
	Token       uint64 // Fencing token of the holder.
	Write       uint64 // Number of the write within the incarnation, so that no two writes are equal.
	Position    int64  // Number of the last call that the holder was about to make; 0 if there was none.
	Payload     []byte // Content of that call; nil if it must not be repeated.
}

// ownedBy reports whether a daemon's incarnation wrote the record.
func (r Record) ownedBy(name string, incarnation uint64) bool {
	return r.Holder == name && r.Incarnation == incarnation
}

// Version identifies a state of the object in the store. Without a revision it
// means that the object does not exist.
type Version struct {
	era      uint64
	revision uint64
}

// NewVersion returns the version of an object with the given revision, in era 0.
func NewVersion(revision uint64) Version { return Version{revision: revision} }

// InEra returns the version in an era of the store. A store that was restored
// from an older copy assigns revisions again in its next era.
func (v Version) InEra(era uint64) Version {
	v.era = era
	return v
}

// Era returns the era of the store in which the object had the revision.
func (v Version) Era() uint64 { return v.era }

// Revision returns the store revision, 0 if the object does not exist.
func (v Version) Revision() uint64 { return v.revision }

// Exists reports whether the object exists.
func (v Version) Exists() bool { return v.revision != 0 }

// ErrConflict is returned by a write whose condition does not hold: the object
// has another version, does not exist, or exists already.
var ErrConflict = errors.New("the object of the duty has another version")

// Call is one call of the duty.
type Call struct {
	Position int64
	Payload  []byte
}

// Known is the highest token and position that a daemon knows of. Daemons tell
// one another, so that neither falls when the store is restored from an older
// copy.
type Known struct {
	Token    uint64
	Position int64
}

// merge returns the higher values of both.
func (k Known) merge(other Known) Known {
	return Known{Token: max(k.Token, other.Token), Position: max(k.Position, other.Position)}
}
