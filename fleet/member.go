package fleet

import (
	"time"

	"medlaryard.example/medlaryard/mirror/mirrorpb"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// Member is another daemon as described by its last heartbeat. Versions, OlderEras,
// Moves, Strikes, Reports and Notices are known only to the function that OnHeartbeat
// sets.
type Member struct {
	name          string
	incarnation   uint64
	domain        string
	callerAddress string
	peerAddress   string
	leaving       bool
	serving       bool
	storeAge      time.Duration
	failing       time.Duration
	era           uint64
	versions      map[string]uint64
	olderEras     map[string]uint64
	moves         []*mirrorpb.MoveEvidence
	strikes       []*peerpb.CrashStrike
	reports       *mirrorpb.TargetReports
	notices       []*mirrorpb.TargetNotice
	duty          *mirrorpb.DutyState
	receivedAt    time.Time
}

// Name returns the daemon's name.
func (m Member) Name() string { return m.name }

// Domain returns the daemon's failure domain.
func (m Member) Domain() string { return m.domain }

// CallerAddress returns the daemon's address for callers.
func (m Member) CallerAddress() string { return m.callerAddress }

// PeerAddress returns the daemon's address for other daemons.
func (m Member) PeerAddress() string { return m.peerAddress }

// Leaving reports whether the daemon is shutting down.
func (m Member) Leaving() bool { return m.leaving }

// Serving reports whether the daemon is able to serve callers.
func (m Member) Serving() bool { return m.serving }

// StoreAge returns the time since the store last answered the daemon, as of its
// heartbeat.
func (m Member) StoreAge() time.Duration { return m.storeAge }

// StoreAgeAt returns the time since the store last answered the daemon, as far
// as its heartbeat shows.
func (m Member) StoreAgeAt(now time.Time) time.Duration { return m.storeAge + now.Sub(m.receivedAt) }

// FailingAt returns the time for which the calls have failed with which the daemon watches
// the store, as far as its heartbeat shows, or 0.
func (m Member) FailingAt(now time.Time) time.Duration {
	if m.failing == 0 {
		return 0
	}
	return m.failing + now.Sub(m.receivedAt)
}

// Era returns the latest era of the store that the daemon knows.
func (m Member) Era() uint64 { return m.era }

// Versions returns the daemon's version of each kind of object, in its era
// unless the kind has an entry in OlderEras.
func (m Member) Versions() map[string]uint64 { return m.versions }

// OlderEras returns the era of each kind that the daemon has not read in its
// latest one.
func (m Member) OlderEras() map[string]uint64 { return m.olderEras }

// Moves returns the daemon's evidence on services that move to another version.
func (m Member) Moves() []*mirrorpb.MoveEvidence { return m.moves }

// Incarnation returns a number that differs for each start of the daemon.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Reports returns the target failures that the daemon observed recently, or nil
// if there are none.
func (m Member) Reports() *mirrorpb.TargetReports { return m.reports }

// Notices returns what targets have recently stated about themselves to the
// daemon.
func (m Member) Notices() []*mirrorpb.TargetNotice { return m.notices }

// Duty returns what the daemon knows of the duty that one daemon at a time
// performs, or nil if it takes no part in it.
func (m Member) Duty() *mirrorpb.DutyState { return m.duty }

// Strikes returns the requests of which the daemon knows that they crashed
// targets.
func (m Member) Strikes() []*peerpb.CrashStrike { return m.strikes }
