package node

import (
	"context"
	"sync/atomic"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/fleet"
	"medlaryard.example/medlaryard/query"
	"medlaryard.example/medlaryard/route"
)

const (
	// listenFraction is the fraction of the shutdown time after which no new
	// connections are accepted. Until then callers still have the address.
	listenFraction = 0.55
	// soleListenFraction replaces listenFraction for a daemon that lingers.
	soleListenFraction = 0.8
	// answerFraction is the fraction of the shutdown time after which the
	// requests in progress are answered as far as possible.
	answerFraction = 0.93
	// soleCheckInterval is how often a daemon that is shutting down checks
	// whether another one serves.
	soleCheckInterval = 100 * time.Millisecond
)

// shutdown is the state of a daemon's graceful shutdown.
type shutdown struct {
	clock       clock.Clock
	answerBy    atomic.Int64 // Boot time in nanoseconds until which requests are answered; 0 before the shutdown.
	closed      atomic.Bool  // No new connections are accepted.
	requests    context.Context
	endRequests context.CancelCauseFunc
}

func newShutdown(c clock.Clock) *shutdown {
	s := &shutdown{clock: c}
	s.requests, s.endRequests = context.WithCancelCause(context.Background())
	return s
}

// begin starts a shutdown in which requests are answered until answerBy, a boot
// time.
func (s *shutdown) begin(answerBy time.Duration) { s.answerBy.Store(int64(answerBy)) }

// announced reports whether the shutdown has begun.
func (s *shutdown) announced() bool { return s.answerBy.Load() != 0 }

// remaining returns how long requests are still answered. It returns false
// before the shutdown.
func (s *shutdown) remaining() (time.Duration, bool) {
	t := s.answerBy.Load()
	return time.Duration(t) - s.clock.Boot(), t != 0
}

// accepts reports whether to accept a request whose caller waits for timeout.
func (d *Daemon) accepts(r *route.Route, timeout time.Duration) bool {
	remaining, ok := d.shutdown.remaining()
	return !ok || query.NewShutdown(remaining, d.othersServe()).Accepts(r, timeout)
}

// othersServe reports whether another daemon serves callers or is on standby to
// do so.
func (d *Daemon) othersServe() bool {
	canServe := func(m fleet.Member) bool { return m.Serving() && !m.Leaving() }
	return d.fleet.AnyAlive(canServe) || d.serving.hasStandby()
}

// lingers reports whether this daemon accepts connections for longer, because no
// other daemon serves. Of the daemons that shut down at the same time every
// second one does, by name, until the others are back.
func (d *Daemon) lingers() bool {
	if d.othersServe() {
		return false
	}
	preceding := 0
	for _, m := range d.fleet.AliveMembers() {
		if m.Leaving() && m.Name() < d.settings.Name() {
			preceding++
		}
	}
	return preceding%2 == 1
}

// drain announces the shutdown to callers and peers, keeps serving for a while
// and then finishes the requests in progress. Those that are still unfinished
// at the end are answered as far as possible.
func (d *Daemon) drain() {
	startedAt, total := d.clock.Boot(), d.settings.ShutdownTimeout()
	after := func(fraction float64) time.Duration { return startedAt + time.Duration(fraction*float64(total)) }
	d.shutdown.begin(after(answerFraction))
	d.log.Info().Msg("graceful shutdown begins")
	d.fleet.SendHeartbeats(0)
	d.sleepUntil(after(listenFraction))
	for d.lingers() && d.clock.Boot() < after(soleListenFraction) {
		d.sleepUntil(min(d.clock.Boot()+soleCheckInterval, after(soleListenFraction)))
	}
	d.shutdown.closed.Store(true)
	d.fleet.SendHeartbeats(0)
	t := d.clock.AfterFunc(after(answerFraction)-d.clock.Boot(), func() { d.shutdown.endRequests(query.ErrShutdown) })
	defer t.Stop()
	ctx, cancel := clock.WithDeadline(context.Background(), d.clock, after(1))
	defer cancel()
	if err := d.servers[0].Shutdown(ctx); err != nil {
		d.log.Warn().Err(err).Msg("graceful shutdown timed out; cutting off the remaining requests")
	}
}

func (d *Daemon) sleepUntil(at time.Duration) {
	_ = clock.Sleep(context.Background(), d.clock, at-d.clock.Boot()) // Never ends early.
}
