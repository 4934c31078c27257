package admission

import (
	"testing"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// Guards against strikes of unknown daemons that keep the goroutine which receives
// heartbeats busy for seconds once the table is full, so that all others count as lost.
func TestStrikesInAFullTable(t *testing.T) {
	const (
		strikesInDatagram = 4700
		maxRatio          = 200 // A search of the whole table for each strike takes some thousand times as long.
	)
	s := NewSuspects(clock.System{}, func([]*peerpb.CrashStrike) {})
	fingerprint := uint64(0)
	merge := func() time.Duration {
		var strikes []*peerpb.CrashStrike
		for range strikesInDatagram {
			fingerprint++
			strikes = append(strikes, &peerpb.CrashStrike{Fingerprint: fingerprint, Crashes: 1})
		}
		began := time.Now()
		s.Merge(strikes)
		return time.Since(began)
	}
	first := merge()
	for fingerprint <= maxSuspects {
		merge()
	}
	if full := merge(); full > maxRatio*first {
		t.Errorf("strikes of one datagram take %v in an empty table, %v in a full one", first, full)
	}
}
