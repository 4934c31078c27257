package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/admission"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/fleet"
	"medlaryard.example/medlaryard/mirror"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/query"
	"medlaryard.example/medlaryard/route"
	"medlaryard.example/medlaryard/targets"
)

const (
	// configReread, targetsReread and ordersReread bound the time for which a
	// watch that misses changes is believed.
	configReread  = 3 * time.Second
	targetsReread = 8 * time.Second
	ordersReread  = 10 * time.Second
	// gatherChanges is how long changes of targets are gathered; a target that
	// drains serves for 3 s at least.
	gatherChanges = 200 * time.Millisecond
	// fetchTimeout bounds one call to a neighbour.
	fetchTimeout = 700 * time.Millisecond
	// resizeEvery is how often the division of limits follows the fleet's size.
	resizeEvery = time.Second
	// registerDelay is the pause before the registration is tried again.
	registerDelay = 500 * time.Millisecond
	// registerTimeout leaves a slow store the time to answer.
	registerTimeout = 5 * time.Second
	// peerProbeIdle finds connections between daemons that have gone silent.
	peerProbeIdle = time.Second
	// seedWait is how long a daemon waits for others to tell it what the store
	// holds; they start within 300 ms of one another.
	seedWait = 450 * time.Millisecond
	// standbyWait is that time for a daemon that the registry names as one that
	// stands by. Those that serve need about 0.2 s, and callers do not wait for
	// this one.
	standbyWait = 2 * time.Second
	// registryTimeout bounds the reading of the registry before that; the store
	// usually answers in some milliseconds.
	registryTimeout = 300 * time.Millisecond
	// seedCheck is how often it looks.
	seedCheck = 25 * time.Millisecond
	// notifyEvery is the least time between two notices of changes.
	notifyEvery = 100 * time.Millisecond
	// standbyFetch is the least time between two fetches of a daemon that stands
	// by.
	standbyFetch = 600 * time.Millisecond
	// callerHeaderTimeout bounds the sending of a request's header.
	callerHeaderTimeout = 10 * time.Second
	// callerIdle is above the idle times that configurations permit.
	callerIdle = 90 * time.Second
)

// Daemon is one daemon of the query tier.
type Daemon struct {
	settings Settings
	clock    clock.Clock
	log      zerolog.Logger

	store    *platform.Store
	mirror   *mirror.Mirror
	follower *mirror.Follower
	fleet    *fleet.Fleet
	serving  *serving
	engine   *query.Engine
	suspects *admission.Suspects
	reports  *targets.Reports
	peers    *http.Client

	incarnation uint64
	leaving     atomic.Bool
	started     chan struct{} // Closed once configuration and targets are known.
	starting    sync.Once
	changes     chan struct{}
	fetches     chan string

	mu     sync.Mutex
	roster *roster
	groups map[string]*targets.Group
	table  *route.Table
	used   map[string]bool // Services that some route of the table uses.

	configRevision uint64        // The store's revision of the configuration that was read last.
	installed      time.Duration // Boot time at which the table came into force.

	expiry clock.Timer
	moves  map[string]*moveState // By service.
	told   toldReports

	wg       sync.WaitGroup
	servers  []*http.Server
	failures chan error
}

// Run runs a daemon until ctx ends and its graceful shutdown is done.
func Run(ctx context.Context, s Settings, c clock.Clock, l zerolog.Logger) error {
	return newDaemon(s, c, l).run(ctx)
}

func (d *Daemon) run(ctx context.Context) error {
	s := d.settings
	d.log.Info().Str("zone", s.Zone()).Str("callers", s.Callers()).Str("store", s.Store()).Msg("daemon starts")
	if err := d.listen(); err != nil {
		return err
	}
	work, stop := context.WithCancel(context.Background())
	d.start(work)
	var err error
	select {
	case <-ctx.Done():
		d.drain()
	case err = <-d.failures:
	}
	stop()
	d.close()
	d.log.Info().Err(err).Msg("daemon stops")
	return err
}

func newDaemon(s Settings, c clock.Clock, l zerolog.Logger) *Daemon {
	d := &Daemon{
		settings: s, clock: c, log: l,
		store:       platform.NewStore(s.Store()),
		incarnation: rand.Uint64(),
		started:     make(chan struct{}),
		changes:     make(chan struct{}, 1),
		fetches:     make(chan string, 1),
		roster:      newRoster(l),
		groups:      make(map[string]*targets.Group),
		moves:       make(map[string]*moveState),
		reports:     targets.NewReports(c),
		told:        make(toldReports),
		failures:    make(chan error, 1),
		peers: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{
				Timeout:         fetchTimeout,
				KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: peerProbeIdle, Interval: peerProbeIdle / 2, Count: 2},
			}).DialContext,
		}},
	}
	d.mirror = mirror.New(d.changed, platform.KindConfig, platform.KindTargets, platform.KindMoves, platform.KindEvacuations, platform.KindDaemons)
	d.serving = newServing(c, s.Name(), func(peer string) time.Time { return d.fleet.Heard(peer) })
	d.follower = mirror.NewFollower(d.mirror, d.store.Reader(), c, l, d.watches, func() bool { return !d.serving.includesSelf() })
	d.suspects = admission.NewSuspects(c, func([]*peerpb.CrashStrike) {}) // Heartbeats spread the strikes.
	d.engine = query.NewEngine(query.Clock(c), query.Log(l), query.Stamp(platform.Stamp),
		query.Allow(allowed), query.Suspects(d.suspects))
	return d
}

// allowed reports whether a target may serve a route at all.
func allowed(r *route.Route, e targets.Entry) bool { return r.AllowsRegion(e.Region()) }

func (d *Daemon) start(ctx context.Context) {
	d.fleet.Start()
	seeds := d.seeds()
	for _, address := range seeds {
		d.fleet.Hello(address)
	}
	d.goes(func() { d.follow(ctx, slices.Contains(seeds, d.settings.PeerAddress())) })
	d.goes(func() { d.join(ctx) })
	d.goes(func() { d.fetch(ctx) })
	d.goes(func() { d.applyChanges(ctx) })
	d.goes(func() {
		for clock.Sleep(ctx, d.clock, moveCheck) == nil {
			d.stepMoves(ctx)
		}
	})
	d.goes(func() {
		for clock.Sleep(ctx, d.clock, resizeEvery) == nil {
			d.resize()
		}
	})
}

func (d *Daemon) goes(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
	}()
}

// changed wakes the applier and tells the neighbours.
func (d *Daemon) changed(string) {
	select {
	case d.changes <- struct{}{}:
	default:
	}
}

// applyChanges puts changes in force. A daemon that watches the store tells the
// others at once.
func (d *Daemon) applyChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.changes:
			d.apply()
			if d.watches() {
				d.fleet.Beat(0)
				_ = clock.Sleep(ctx, d.clock, notifyEvery) // Ends early only with ctx.
			}
		}
	}
}

const (
	// acceptShare is the part of the shutdown time in which new requests are
	// still accepted, because callers keep addresses for a while.
	acceptShare = 0.55
	// finishShare is the part after which the process ends in any case.
	finishShare = 0.93
)

// drain tells callers and daemons that this one leaves, serves for a while and
// then finishes what is under way.
func (d *Daemon) drain() {
	began := d.clock.Boot()
	d.leaving.Store(true)
	d.log.Info().Msg("graceful shutdown begins")
	d.fleet.Beat(0)
	total := d.settings.Shutdown()
	_ = clock.Sleep(context.Background(), d.clock, time.Duration(acceptShare*float64(total))) // Never ends early.
	ctx, cancel := clock.WithDeadline(context.Background(), d.clock, began+time.Duration(finishShare*float64(total)))
	defer cancel()
	if err := d.servers[0].Shutdown(ctx); err != nil {
		d.log.Warn().Err(err).Msg("requests were cut off by the end of the shutdown")
	}
}

func (d *Daemon) close() {
	for _, s := range d.servers {
		if err := s.Close(); err != nil {
			d.log.Warn().Err(err).Msg("closing a listener failed")
		}
	}
	if err := d.fleet.Close(); err != nil {
		d.log.Warn().Err(err).Msg("closing the heartbeat socket failed")
	}
	d.mu.Lock()
	groups := d.groups
	d.mu.Unlock()
	for _, g := range groups {
		g.Close()
	}
	d.store.Close()
	d.wg.Wait()
}
