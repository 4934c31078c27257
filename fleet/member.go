package fleet

import (
	"time"

	"medlaryard.example/medlaryard/mirror/mirrorpb"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// Member is another daemon as its last heartbeat described it.
type Member struct {
	name        string
	incarnation uint64
	zone        string
	front       string
	peer        string
	leaving     bool
	serving     bool
	storeAge    time.Duration
	versions    map[string]uint64
	moves       []*mirrorpb.MoveEvidence
	strikes     []*peerpb.CrashStrike
	reports     *mirrorpb.TargetReports
	heard       time.Time
}

// Name returns the daemon's name.
func (m Member) Name() string { return m.name }

// Zone returns its failure domain.
func (m Member) Zone() string { return m.zone }

// Front returns the address that it offers to callers.
func (m Member) Front() string { return m.front }

// Peer returns the address that it offers to other daemons.
func (m Member) Peer() string { return m.peer }

// Leaving reports whether it is shutting down.
func (m Member) Leaving() bool { return m.leaving }

// Serving reports whether it can serve callers.
func (m Member) Serving() bool { return m.serving }

// StoreAge returns the time since the store had answered it.
func (m Member) StoreAge() time.Duration { return m.storeAge }

// Versions returns the version of each kind of object that it has.
func (m Member) Versions() map[string]uint64 { return m.versions }

// Moves returns what the daemon saw of services that move to another version.
func (m Member) Moves() []*mirrorpb.MoveEvidence { return m.moves }

// Incarnation tells apart the starts of a daemon.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Reports returns failures of targets that the daemon saw lately; nil if none.
func (m Member) Reports() *mirrorpb.TargetReports { return m.reports }

// Strikes returns requests that crashed targets, as the daemon knows them.
func (m Member) Strikes() []*peerpb.CrashStrike { return m.strikes }
