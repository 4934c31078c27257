package mirror

import (
	"time"

	"medlaryard.example/medlaryard/meter"
)

// holdDuration is how long after the start of an era objects stay in use that
// the older copy lacks. Their writers write them again within about two seconds.
const holdDuration = 2300 * time.Millisecond

// beginEra logs the start of an era and ends the hold of missing objects later.
func (f *Follower) beginEra(era uint64) {
	if f.mirror.Eras().wasRestored() {
		meter.Count("mirror.store.restored", 1)
		f.log.Warn().Uint64("era", era).Msg("store was restored from an older copy; reading all objects again")
	} else {
		f.log.Info().Uint64("era", era).Msg("era of the store is known")
	}
	f.clock.AfterFunc(holdDuration, func() { f.mirror.Release(era) })
}

// inCurrentEra reports whether the mirror has read a kind in the current era.
func (f *Follower) inCurrentEra(kind string) bool {
	_, ok := f.mirror.Cursor(kind)
	return ok
}
