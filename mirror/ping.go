package mirror

import (
	"context"
	"errors"
	"time"

	"medlaryard.example/medlaryard/clock"
)

// ping confirms the contact with the store while this daemon watches.
func (f *Follower) ping(ctx context.Context) {
	for clock.Sleep(ctx, f.clock, pingInterval) == nil {
		if f.StoreAge() < pingInterval || !f.shouldWatch() || !f.pingDue() {
			continue
		}
		callCtx, cancel := clock.WithDeadline(ctx, f.clock, f.clock.Boot()+callTimeout)
		err := f.store.Ping(callCtx)
		cancel()
		f.recordContact(err)
	}
}

// pingDue reports whether to send a ping now. A daemon that lost contact pings
// less often unless other daemons rely on it.
func (f *Follower) pingDue() bool {
	if f.connected.Load() || !f.standby() {
		return true
	}
	f.skippedPings++
	return f.skippedPings%standbyPingPeriod == 0
}

// recordContact records the result of a store call and logs when the store
// stops or resumes answering. It precedes the application of the result, so
// that a change is judged by the contacts up to it.
func (f *Follower) recordContact(err error) {
	now := f.clock.Boot()
	if err == nil || errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrEraChanged) {
		f.contact.Record(now)
		last := time.Duration(f.lastContact.Swap(int64(now)))
		if !f.connected.Swap(true) {
			l := f.log.Info()
			if last > 0 {
				l = l.Dur("lost_for", now-last)
			}
			l.Msg("store answers")
		}
		return
	}
	if f.StoreAge() > MaxContactAge && f.connected.Swap(false) {
		f.log.Warn().Err(err).Dur("age", f.StoreAge()).Msg("store does not answer")
	}
}
