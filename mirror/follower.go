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
	// callTimeout is long against a store that answers in milliseconds or, when
	// it is slow, in some hundreds of them.
	callTimeout = 2 * time.Second
	// firstTimeout bounds the first reading, which a daemon cannot do without:
	// several pages of a store that takes over a second for each.
	firstTimeout = 10 * time.Second
	// firstEvery is after how long the first reading is tried once more beside
	// those under way, since their connections may be silent.
	firstEvery = 700 * time.Millisecond
	// maxWait is how long a watch waits for a change at most. One that has gone
	// silent is found by the connection's probes before.
	maxWait = 10 * time.Second
	// pingEvery is how often a daemon that watches proves its contact.
	pingEvery = 600 * time.Millisecond
	// standbyPings is after how many turns a daemon that stands by tries a store
	// that does not answer.
	standbyPings = 4
	// firstDelay and lastDelay bound the pause after a failed call.
	firstDelay = 100 * time.Millisecond
	lastDelay  = 400 * time.Millisecond
	// idleCheck is how often a daemon that does not watch looks whether it should.
	idleCheck = 100 * time.Millisecond
	// startCheck is how often a kind that is not known looks whether the store
	// answers; callers wait meanwhile.
	startCheck = 10 * time.Millisecond
)

// FreshContact is the age of a daemon's last contact with the store up to which
// the others leave the watching to it: two pings and a usual answer.
const FreshContact = 2*pingEvery + 300*time.Millisecond

// Follower keeps a mirror up to date from the store.
type Follower struct {
	mirror *Mirror
	store  Store
	clock  clock.Clock
	log    zerolog.Logger
	elect  func() bool

	contact   atomic.Int64 // Boot time of the last answer, in nanoseconds.
	connected atomic.Bool
	standby   func() bool
	skipped   int // Pings left out; only the pinging goroutine uses it.
	wg        sync.WaitGroup
}

// Kind is how one kind of object is followed.
type Kind struct {
	name   string
	reread time.Duration
	gather time.Duration
	lead   bool
}

// NewKind follows the kind of that name and lists it again after each reread,
// whatever the watch says. After a change it waits for gather, so that one call
// tells of several changes.
func NewKind(name string, reread, gather time.Duration) Kind {
	return Kind{name: name, reread: reread, gather: gather}
}

// Leading returns a kind that is read first; the others follow once the store
// answers.
func Leading(k Kind) Kind {
	k.lead = true
	return k
}

// NewFollower returns a follower. Elect reports whether this daemon is to watch
// the store now; otherwise it relies on its neighbours. Standby reports whether other daemons do not rely on this one.
func NewFollower(m *Mirror, s Store, c clock.Clock, l zerolog.Logger, elect, standby func() bool) *Follower {
	return &Follower{mirror: m, store: s, clock: c, log: l, elect: elect, standby: standby}
}

// Run follows the kinds until ctx ends.
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

// StoreAge returns the time since the store last answered.
func (f *Follower) StoreAge() time.Duration {
	at := f.contact.Load()
	if at == 0 {
		return time.Hour
	}
	return f.clock.Boot() - time.Duration(at)
}

// Connected reports whether the last call to the store was answered.
func (f *Follower) Connected() bool { return f.connected.Load() }

func (f *Follower) follow(ctx context.Context, k Kind) {
	delay, timeout := firstDelay, callTimeout
	var listed time.Duration
	fresh := false
	for ctx.Err() == nil {
		// While the store does not answer, only the pings and the first reading of
		// the leading kind try it.
		known := f.mirror.Known(k.name)
		if known && !f.elect() || !f.connected.Load() && (known || !k.lead) {
			fresh = false
			check := idleCheck
			if !known {
				check = startCheck
			}
			_ = clock.Sleep(ctx, f.clock, check) // Ends early only with ctx.
			continue
		}
		var err error
		switch {
		case !known:
			err = f.first(ctx, k.name)
			fresh, listed = err == nil, f.clock.Boot()
		case !fresh || f.clock.Boot()-listed >= k.reread:
			err = f.list(ctx, k.name, timeout)
			fresh, listed = err == nil, f.clock.Boot()
		default:
			var events int
			events, err = f.watch(ctx, k.name, min(maxWait, k.reread))
			fresh = err == nil
			if events > 0 {
				_ = clock.Sleep(ctx, f.clock, k.gather) // Ends early only with ctx.
			}
		}
		if errors.Is(err, errLearned) {
			continue
		}
		f.note(err)
		if err == nil {
			delay, timeout = firstDelay, callTimeout
			continue
		}
		timeout = min(2*timeout, firstTimeout) // The store may only be slow.
		meter.Count("mirror.store.failed", 1)
		f.log.Debug().Err(err).Str("kind", k.name).Dur("delay", delay).Msg("reading the store failed")
		_ = clock.Sleep(ctx, f.clock, delay) // Ends early only with ctx.
		delay = min(2*delay, lastDelay)
	}
}

// first reads a kind for the first time. It starts another reading from time to
// time and returns with the first that succeeds or once the kind is known from a
// neighbour.
func (f *Follower) first(ctx context.Context, kind string) error {
	ctx, cancel := clock.WithDeadline(ctx, f.clock, f.clock.Boot()+firstTimeout)
	defer cancel()
	results := make(chan error, 1+int(firstTimeout/firstEvery))
	read := func() {
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			results <- f.list(ctx, kind, firstTimeout)
		}()
	}
	read()
	for open := 1; ; {
		t := f.clock.NewTimer(firstEvery)
		select {
		case err := <-results:
			t.Stop()
			if open--; err == nil || open == 0 {
				return err
			}
		case <-t.C():
			if f.mirror.Known(kind) {
				return errLearned
			}
			open++
			read()
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
	}
}

// errLearned is the end of a first reading because a neighbour was faster.
var errLearned = errors.New("the objects are known from a neighbour")

func (f *Follower) list(ctx context.Context, kind string, timeout time.Duration) error {
	ctx, cancel := clock.WithDeadline(ctx, f.clock, f.clock.Boot()+timeout)
	defer cancel()
	objects, at, err := f.store.List(ctx, kind)
	if err != nil {
		return err
	}
	f.mirror.Replace(kind, objects, at)
	return nil
}

// watch waits for changes of a kind and returns their number.
func (f *Follower) watch(ctx context.Context, kind string, wait time.Duration) (int, error) {
	cursor, _ := f.mirror.Cursor(kind)
	ctx, cancel := clock.WithDeadline(ctx, f.clock, f.clock.Boot()+wait+callTimeout)
	defer cancel()
	events, at, err := f.store.Watch(ctx, kind, cursor, wait)
	if errors.Is(err, ErrHistoryGone) {
		meter.Count("mirror.store.history_gone", 1)
	}
	if err != nil {
		return 0, err
	}
	f.mirror.Apply(kind, events, at)
	return len(events), nil
}

// ping proves the contact while this daemon watches.
func (f *Follower) ping(ctx context.Context) {
	for clock.Sleep(ctx, f.clock, pingEvery) == nil {
		if f.StoreAge() < pingEvery || !f.elect() || !f.due() {
			continue
		}
		call, cancel := clock.WithDeadline(ctx, f.clock, f.clock.Boot()+callTimeout)
		err := f.store.Ping(call)
		cancel()
		f.note(err)
	}
}

// due reports whether to ping now. A daemon that lost contact pings seldom
// unless others rely on it.
func (f *Follower) due() bool {
	if f.connected.Load() || !f.standby() {
		return true
	}
	f.skipped++
	return f.skipped%standbyPings == 0
}

// note keeps the time of the last contact and logs its loss and return.
func (f *Follower) note(err error) {
	now := f.clock.Boot()
	if err == nil || errors.Is(err, ErrHistoryGone) {
		last := time.Duration(f.contact.Swap(int64(now)))
		if !f.connected.Swap(true) {
			l := f.log.Info()
			if last > 0 {
				l = l.Dur("lost_for", now-last)
			}
			l.Msg("store answers")
		}
		return
	}
	if f.StoreAge() > FreshContact && f.connected.Swap(false) {
		f.log.Warn().Err(err).Dur("age", f.StoreAge()).Msg("store does not answer")
	}
}
