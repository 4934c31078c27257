package mirror

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/meter"
)

const (
	// callTimeout is far above the response time of the store, which is
	// milliseconds, or some hundreds of milliseconds under load.
	callTimeout = 2 * time.Second
	// initialListTimeout limits the first list of a kind, without which a daemon
	// cannot serve. The store may take over a second for each of several pages.
	initialListTimeout = 10 * time.Second
	// initialListInterval is the time after which the first list is sent again in
	// parallel, since the connections of the earlier calls may be silent.
	initialListInterval = 700 * time.Millisecond
	// minWatchGrace is the minimum time beyond its wait after which a watch
	// without an answer is given up.
	minWatchGrace = 400 * time.Millisecond
	// watchGraceFactor is that time as a multiple of the mean time of a call of
	// the last list; the longer of the two applies.
	watchGraceFactor = 2
	// slowListMemory is how long after a list its time applies. A store is slow
	// for some calls only, and a long grace hides changes.
	slowListMemory = 2 * time.Second
	// pingInterval is the time between pings, which confirm that a watching daemon
	// reaches the store.
	pingInterval = 600 * time.Millisecond
	// standbyPingPeriod is the period, in ping intervals, of a standby daemon's
	// pings while the store does not answer.
	standbyPingPeriod = 4
	// minRetryDelay and maxRetryDelay limit the exponential delay after failed
	// calls.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// maxFailingDelay replaces maxRetryDelay while calls fail for longer than
	// MaxContactAge. All daemons that serve may call the store then.
	maxFailingDelay = time.Second
	// startPollInterval is how often a kind that has not been read yet checks
	// whether the store answers. It is short because callers wait in the meantime.
	startPollInterval = 10 * time.Millisecond
)

// MaxContactAge is the maximum age of a daemon's last contact with the store at
// which other daemons rely on it to watch. It covers two pings and a typical
// response time.
const MaxContactAge = 2*pingInterval + 300*time.Millisecond

// IdlePollInterval is how often a daemon that does not watch checks whether it
// should.
const IdlePollInterval = 100 * time.Millisecond

// Follower keeps a mirror up to date from the store.
type Follower struct {
	mirror      *Mirror
	store       Store
	clock       clock.Clock
	log         zerolog.Logger
	shouldWatch func() bool

	lastContact  atomic.Int64 // Boot time of the store's last answer, in nanoseconds; 0 before the first.
	contact      *Contact     // Contacts of all daemons.
	confirmed    sync.Map     // Boot time at which a list or a watch last confirmed a kind, by kind.
	health       *callHealth
	connected    atomic.Bool
	standby      func() bool
	skippedPings int // Used only by the goroutine that runs ping.
	wg           sync.WaitGroup
}

// Kind configures how one kind of object is followed.
type Kind struct {
	name           string
	watchWait      time.Duration
	relistInterval time.Duration
	batchDelay     time.Duration
	readFirst      bool
}

// NewKind returns a configuration that watches the kind with the given name and
// lists it again every relistInterval, whatever the watch returns. A watch waits
// for a change for watchWait, which bounds the time for which a watch that gets
// no answer hides changes. After a change the next watch is delayed by
// batchDelay, so that one call returns several changes.
func NewKind(name string, watchWait, relistInterval, batchDelay time.Duration) Kind {
	return Kind{name: name, watchWait: watchWait, relistInterval: relistInterval, batchDelay: batchDelay}
}

// Name returns the name of the kind.
func (k Kind) Name() string { return k.name }

// MaxDelay returns the time in which a change reaches a daemon that watches,
// while the store answers lists, also if the watch gets no answer.
func (k Kind) MaxDelay() time.Duration {
	return k.watchWait + minWatchGrace + minRetryDelay + k.batchDelay
}

// ReadFirst returns k, marked to be read first. The other kinds are read once
// the store has answered.
func ReadFirst(k Kind) Kind {
	k.readFirst = true
	return k
}

// NewFollower returns a follower that copies the store s to the mirror m. The
// function shouldWatch reports whether this daemon must watch the store now;
// otherwise its peers supply the changes. The function standby reports whether
// no other daemon relies on this one.
func NewFollower(m *Mirror, s Store, c clock.Clock, l zerolog.Logger, shouldWatch, standby func() bool) *Follower {
	f := &Follower{mirror: m, store: s, clock: c, log: l, shouldWatch: shouldWatch, standby: standby, contact: NewContact(c.Boot()), health: newCallHealth()}
	m.Eras().OnChange(f.beginEra)
	return f
}

// Run follows the given kinds until ctx ends.
func (f *Follower) Run(ctx context.Context, kinds ...Kind) {
	for _, k := range kinds {
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			f.follow(ctx, k)
		}()
	}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		f.ping(ctx)
	}()
	f.wg.Wait()
}

// NoContact is the StoreAge of a daemon that the store has never answered.
const NoContact = time.Hour

// StoreAge returns the time since the store last answered, or NoContact if it
// never has.
func (f *Follower) StoreAge() time.Duration {
	last := f.lastContact.Load()
	if last == 0 {
		return NoContact
	}
	return f.clock.Boot() - time.Duration(last)
}

// FailingFor returns the time for which the calls that keep the mirror current have failed,
// 0 if they succeed, also if the store answers others. It is NoContact if none has ever
// succeeded.
func (f *Follower) FailingFor() time.Duration { return f.health.failingFor(f.clock.Boot()) }

// RecordWrite records the result of a write that the watching daemon makes for all, under a
// name. It counts like the calls of a kind, so that another daemon takes over.
func (f *Follower) RecordWrite(name string, err error) {
	f.health.record(name, err, f.clock.Boot())
}

// ClearWrite removes a failure that RecordWrite has recorded, when the write is not needed
// any more.
func (f *Follower) ClearWrite(name string) { f.health.clear(name) }

// Contact returns the contacts of this daemon with the store, to which those of
// other daemons are to be added.
func (f *Follower) Contact() *Contact { return f.contact }

// Connected reports whether the store answers. After a failed call it remains
// true until the last contact is older than MaxContactAge.
func (f *Follower) Connected() bool { return f.connected.Load() }

// ConfirmedAge returns the time since a list or a watch last confirmed the
// mirror's objects of a kind. It returns false if none has.
func (f *Follower) ConfirmedAge(kind string) (time.Duration, bool) {
	at, ok := f.confirmed.Load(kind)
	if !ok {
		return 0, false
	}
	return f.clock.Boot() - at.(time.Duration), true
}

func (f *Follower) follow(ctx context.Context, k Kind) {
	delay, timeout := minRetryDelay, callTimeout
	var listedAt, callTime time.Duration
	current := false  // Whether a watch can continue from the mirror's cursor.
	unlisted := false // Whether the last list has failed, so that a watch is tried instead.
	idle := true      // Whether other daemons supply the changes.
	for ctx.Err() == nil {
		// While the store does not answer, only pings and the first list of a kind
		// marked with ReadFirst are sent to it.
		known := f.mirror.Known(k.name)
		if known && !f.shouldWatch() && f.connected.Load() && listedAt > 0 && f.mirror.Mixed(k.name) && f.clock.Boot()-listedAt >= k.relistInterval {
			// Other daemons may not know of the objects that only this one has read.
			if _, err := f.list(ctx, k.name, timeout); err != nil {
				f.logFailure(k.name, err, k.relistInterval)
			}
			listedAt = f.clock.Boot()
			continue
		}
		if known && !f.shouldWatch() || !f.connected.Load() && (known || !k.readFirst) {
			current, idle = false, true
			interval := IdlePollInterval
			if !known {
				interval = startPollInterval
			}
			_ = clock.Sleep(ctx, f.clock, interval) // Ends early only with ctx.
			continue
		}
		if idle {
			idle = false
			f.log.Info().Str("kind", k.name).Msg("this daemon watches the kind")
		}
		var err error
		watched, began := false, f.clock.Boot()
		switch {
		case !known:
			err = f.initialList(ctx, k.name)
			current, listedAt = err == nil, f.clock.Boot()
		case !f.inCurrentEra(k.name) || !unlisted && (!current || f.clock.Boot()-listedAt >= k.relistInterval):
			var calls int
			calls, err = f.list(ctx, k.name, timeout)
			current, unlisted, listedAt = err == nil, err != nil, f.clock.Boot()
			callTime = (listedAt - began) / time.Duration(max(calls, 1))
		default:
			watched = true
			var events int
			events, err = f.watch(ctx, k.name, k.watchWait, watchGrace(callTime, f.clock.Boot()-listedAt))
			current, unlisted = err == nil, false
			if events > 0 {
				_ = clock.Sleep(ctx, f.clock, k.batchDelay) // Ends early only with ctx.
			}
		}
		if errors.Is(err, errKnownFromPeer) || errors.Is(err, ErrEraChanged) {
			continue
		}
		if err == nil {
			timeout = callTimeout
			if watched {
				delay = minRetryDelay
			}
			continue
		}
		timeout = min(2*timeout, initialListTimeout) // The store may be slow rather than unreachable.
		meter.Count("mirror.store.failed", 1)
		f.logFailure(k.name, err, delay)
		limit, wait := f.maxRetryDelay(), delay
		if watched {
			// Lists take the place of the watches, as often as a watch hides changes.
			limit, wait = k.watchWait, max(minRetryDelay, delay-(f.clock.Boot()-began))
		}
		_ = clock.Sleep(ctx, f.clock, wait) // Ends early only with ctx.
		delay = min(2*delay, limit)
	}
}

// maxRetryDelay returns the limit of the delay after failed lists.
func (f *Follower) maxRetryDelay() time.Duration {
	switch {
	case f.FailingFor() <= MaxContactAge:
		return maxRetryDelay
	case f.standby():
		return standbyPingPeriod * pingInterval
	}
	return maxFailingDelay
}

// watchGrace returns the time beyond its wait after which a watch without an
// answer is given up. The mean time of a call is that of the last list, which
// ended sinceList ago.
func watchGrace(callTime, sinceList time.Duration) time.Duration {
	if sinceList > slowListMemory {
		return minWatchGrace
	}
	return min(max(minWatchGrace, watchGraceFactor*callTime), callTimeout)
}

// logFailure logs a failed list or watch. While the store answers other calls,
// the failure is logged as a warning, because the kind may be out of date.
func (f *Follower) logFailure(kind string, err error, delay time.Duration) {
	l := f.log.Debug()
	if f.StoreAge() <= MaxContactAge {
		l = f.log.Warn()
	}
	if age, ok := f.ConfirmedAge(kind); ok {
		l = l.Dur("confirmed", age)
	}
	l.Err(err).Str("kind", kind).Dur("delay", delay).Msg("reading the store failed; retrying after the delay")
}

// initialList lists a kind for the first time. It repeats the call in parallel
// at intervals and returns when one succeeds, all fail, ctx ends or a peer has
// supplied the kind.
func (f *Follower) initialList(ctx context.Context, kind string) error {
	ctx, cancel := clock.WithDeadline(ctx, f.clock, f.clock.Boot()+initialListTimeout)
	defer cancel()
	results := make(chan error, 1+int(initialListTimeout/initialListInterval))
	read := func() {
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			_, err := f.list(ctx, kind, initialListTimeout)
			results <- err
		}()
	}
	read()
	for pending := 1; ; {
		t := f.clock.NewTimer(initialListInterval)
		select {
		case err := <-results:
			t.Stop()
			if pending--; err == nil || pending == 0 {
				return err
			}
		case <-t.C():
			if f.mirror.Known(kind) {
				return errKnownFromPeer
			}
			pending++
			read()
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
	}
}

// errKnownFromPeer ends a first list because a peer supplied the objects before
// the store answered.
var errKnownFromPeer = errors.New("a peer has supplied the objects")

// watch waits for changes of a kind, applies them and returns the number of
// events. It fails if the store has not answered within wait plus grace.
func (f *Follower) watch(ctx context.Context, kind string, wait, grace time.Duration) (int, error) {
	cursor, _ := f.mirror.Cursor(kind)
	given := ctx
	ctx, cancel := clock.WithDeadline(ctx, f.clock, f.clock.Boot()+wait+grace)
	defer cancel()
	ctx, release := f.mirror.Eras().within(ctx, cursor.era)
	defer release()
	events, at, err := f.store.Watch(ctx, kind, cursor, wait)
	if err != nil && errors.Is(context.Cause(ctx), ErrEraChanged) {
		return 0, ErrEraChanged // Says nothing about the store.
	}
	f.recordContact(err)
	if given.Err() == nil { // Otherwise the daemon stops.
		f.health.record(kind, err, f.clock.Boot())
	}
	if errors.Is(err, ErrHistoryGone) {
		meter.Count("mirror.store.history_gone", 1)
	}
	if err != nil {
		return 0, err
	}
	f.confirmed.Store(kind, f.clock.Boot())
	if len(events) > 0 {
		// Without events the cursor stays, so that the next watch returns changes
		// that this one has missed.
		f.mirror.Apply(kind, events, at)
	}
	return len(events), nil
}
