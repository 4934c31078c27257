package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/admission"
	"medlaryard.example/medlaryard/clientbudget"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/fleet"
	"medlaryard.example/medlaryard/mirror"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/query"
	"medlaryard.example/medlaryard/readbudget"
	"medlaryard.example/medlaryard/response"
	"medlaryard.example/medlaryard/route"
	"medlaryard.example/medlaryard/targets"
)

const (
	// configRelistInterval, targetsRelistInterval and ordersRelistInterval limit
	// how long a kind of object is followed by watch alone. Listing it again
	// recovers changes that the watch missed.
	configRelistInterval  = 3 * time.Second
	targetsRelistInterval = 8 * time.Second
	ordersRelistInterval  = 10 * time.Second
	// urgentWatchWait, evacuationsWatchWait and ordersWatchWait limit how long a
	// watch waits for a change. A configuration and the end of a target must take
	// effect within 3 s, an evacuation within 5 s.
	urgentWatchWait      = time.Second
	evacuationsWatchWait = 2 * time.Second
	ordersWatchWait      = 5 * time.Second
	// changeBatchDelay is the delay after a change of targets before the next
	// watch, which then returns several changes at once. A draining target serves
	// for at least 3 s.
	changeBatchDelay = 200 * time.Millisecond
	// callTimeout limits one call to another daemon, and the write of a move's
	// state to the store.
	callTimeout = 700 * time.Millisecond
	// resizeInterval is the time between adjustments of the limits to the fleet
	// size.
	resizeInterval = time.Second
	// registerRetryDelay is the delay before a failed registration is retried.
	registerRetryDelay = 500 * time.Millisecond
	// registerTimeout is long enough for a slow store to answer.
	registerTimeout = 5 * time.Second
	// maxRegisterDelay spreads the registrations of all daemons in a new era of the
	// store. They must be complete within 3 s.
	maxRegisterDelay = 500 * time.Millisecond
	// peerKeepAliveIdle is the idle time before TCP keep-alive probes check a
	// connection to another daemon.
	peerKeepAliveIdle = time.Second
	// initialPeerWait is how long a starting daemon waits for data from its peers
	// before it reads the store. Daemons that start together do so within 300 ms
	// of one another.
	initialPeerWait = 450 * time.Millisecond
	// standbyPeerWait replaces initialPeerWait on a standby daemon. Serving
	// daemons need about 0.2 s to read the store, and no caller waits for a
	// standby daemon.
	standbyPeerWait = 2 * time.Second
	// registryReadTimeout limits the reading of the daemon registry at the start.
	// The store usually answers within milliseconds.
	registryReadTimeout = 300 * time.Millisecond
	// peerWaitInterval is the polling interval while a daemon waits for its peers.
	peerWaitInterval = 25 * time.Millisecond
	// minNotifyInterval is the minimum time between two change notifications to
	// peers.
	minNotifyInterval = 100 * time.Millisecond
	// minStandbyFetchInterval is the minimum time between two fetches by a standby
	// daemon.
	minStandbyFetchInterval = 600 * time.Millisecond
	// headerTimeout limits how long a client may take to send a request header.
	headerTimeout = 10 * time.Second
	// idleTimeout exceeds every idle timeout that a configuration may set.
	idleTimeout = 90 * time.Second
)

// Daemon is one daemon of the query tier. It follows the store, exchanges
// heartbeats with its peers and serves callers.
type Daemon struct {
	settings Settings
	clock    clock.Clock
	log      zerolog.Logger

	store    *platform.Store
	mirror   *mirror.Mirror
	follower *mirror.Follower
	fleet    *fleet.Fleet
	serving  *servingSet
	engine   *query.Engine
	suspects *admission.Suspects
	strikes  chan struct{} // New strikes are to be sent.
	reports  *targets.Reports
	notices  *targets.Notices
	peers    *http.Client
	usage    *usageReports // Nil without usage reports.

	readBudget *readbudget.Budget
	clients    *clientbudget.Budget
	connLimit  *targets.ConnLimit

	incarnation uint64
	shutdown    *shutdown
	started     chan struct{} // Closed when the configuration and the targets are known.
	startOnce   sync.Once
	changed     chan struct{} // Signals that the mirror changed.
	fetches     chan string   // Peer addresses to fetch changes from.

	mu           sync.Mutex
	targetCache  *targetCache
	evacuated    map[string]bool // Failure domains that get no requests.
	groups       map[string]*targets.Group
	table        *route.Table
	usedServices map[string]bool // Services used by at least one route of the table.

	configPosition  mirror.Position // Of the last decoded configuration.
	inForcePosition mirror.Position // The same of the configuration that another daemon passed on.
	configSpec      []byte          // Encoded configuration from which the table was decoded.
	installedAt     time.Duration   // Boot time at which the table was installed.

	expiryTimer   clock.Timer
	moves         *moveTable
	reportCursors reportCursors

	wg       sync.WaitGroup
	servers  []*http.Server
	failures chan error
}

// Run runs a daemon until ctx is cancelled and its graceful shutdown has
// finished. It returns an error if a listener cannot be opened or fails.
func Run(ctx context.Context, s Settings, c clock.Clock, l zerolog.Logger) error {
	return newDaemon(s, c, l).run(ctx)
}

func (d *Daemon) run(ctx context.Context) error {
	s := d.settings
	d.log.Info().Str("zone", s.Domain()).Str("callers", s.CallersAddress()).Str("store", s.StoreAddress()).Msg("daemon starts")
	if m := s.Memory(); m > 0 {
		debug.SetMemoryLimit(clientbudget.HeapLimit(m))
	}
	if err := d.listen(); err != nil {
		return err
	}
	workCtx, stop := context.WithCancel(context.Background())
	d.start(workCtx)
	var err error
	select {
	case <-ctx.Done():
		d.drain()
		d.usage.flush()
	case err = <-d.failures:
	}
	stop()
	d.close()
	d.log.Info().Err(err).Msg("daemon stops")
	return err
}

func newDaemon(s Settings, c clock.Clock, l zerolog.Logger) *Daemon {
	clients := clientbudget.New(s.clientLimits(), c, l)
	descriptors, forTargets := s.clientLimits().Descriptors()
	d := &Daemon{
		settings: s, clock: c, log: l,
		incarnation:   rand.Uint64(),
		shutdown:      newShutdown(c),
		started:       make(chan struct{}),
		changed:       make(chan struct{}, 1),
		fetches:       make(chan string, 1),
		targetCache:   newTargetCache(l),
		groups:        make(map[string]*targets.Group),
		reports:       targets.NewReports(c),
		notices:       targets.NewNotices(c),
		readBudget:    readbudget.New(readbudget.Clock(c), readbudget.Memory(s.Memory()), readbudget.Beside(clients.Room), readbudget.AdmitBy(clients.AdmitAllocation), readbudget.PauseWhen(clientbudget.HeapFull(s.Memory()))),
		clients:       clients,
		connLimit:     targets.NewConnLimit(descriptors, forTargets, clients.Connections),
		reportCursors: make(reportCursors),
		failures:      make(chan error, 1),
		peers:         newPeerClient(),
	}
	clients.ShareDescriptors(d.connLimit.Open, d.connLimit.Reclaim)
	d.mirror = mirror.New(d.notifyChange, platform.KindConfig, platform.KindTargets, platform.KindMoves, platform.KindEvacuations, platform.KindDaemons, kindInForce)
	d.mirror.HoldChanged(platform.KindMoves)
	d.store = platform.NewStore(s.StoreAddress(), d.mirror.Eras())
	d.serving = newServingSet(c, s.Name(), func(peer string) time.Time { return d.fleet.LastHeartbeat(peer) })
	d.moves = newMoveTable(d.moveGroup, newPeerEvidence(d.knows, d.serving.isRegistered), l)
	d.follower = mirror.NewFollower(d.mirror, d.store.Reader(), c, l, d.shouldWatch, func() bool { return !d.serving.includesSelf() })
	d.strikes = make(chan struct{}, 1)
	d.suspects = admission.NewSuspects(c, func([]*peerpb.CrashStrike) { d.announceStrikes() })
	opts := []query.Option{
		query.Clock(c), query.Log(l), query.Stamp(platform.ResponseStamp),
		query.Allow(allowed), query.Suspects(d.suspects), query.TrialRank(d.trialRank),
	}
	if s.PlacedByCost() {
		opts = append(opts, query.LearnCosts())
	}
	if d.usage = newUsageReports(d); d.usage != nil {
		opts = append(opts, query.Observe(d.usage.observer))
	}
	d.engine = query.NewEngine(opts...)
	return d
}

// newPeerClient returns the client for calls to other daemons.
func newPeerClient() *http.Client {
	d := &net.Dialer{
		Timeout:         callTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: peerKeepAliveIdle, Interval: peerKeepAliveIdle / 2, Count: 2},
	}
	return &http.Client{Transport: response.Transport(&http.Transport{DialContext: d.DialContext})}
}

// allowed reports whether the route permits the target's region.
func allowed(r *route.Route, e targets.Entry) bool { return r.AllowsRegion(e.Region()) }

func (d *Daemon) start(ctx context.Context) {
	d.fleet.Start()
	seeds := d.seedAddresses()
	for _, address := range seeds {
		d.fleet.RequestHeartbeat(address)
	}
	d.startWorker(func() { d.followStore(ctx, slices.Contains(seeds, d.settings.PeerAddress())) })
	d.startWorker(func() { d.register(ctx) })
	d.startWorker(func() { d.clients.Run(ctx) })
	d.startWorker(func() { d.fetchChanges(ctx) })
	d.startWorker(func() { d.sendStrikes(ctx) })
	d.startWorker(func() { d.applyChanges(ctx) })
	if d.usage != nil {
		d.startWorker(func() { d.usage.run(ctx) })
		d.startWorker(func() { d.usage.runner.Run(ctx) })
	}
	d.startWorker(func() {
		for clock.Sleep(ctx, d.clock, moveCheckInterval) == nil {
			d.evaluateMoves(ctx)
		}
	})
	d.startWorker(func() {
		for clock.Sleep(ctx, d.clock, resizeInterval) == nil {
			d.resize()
		}
	})
}

func (d *Daemon) startWorker(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
	}()
}

// notifyChange wakes applyChanges. It never blocks.
func (d *Daemon) notifyChange(string) {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// applyChanges applies changes of the mirror until ctx ends. A daemon that
// watches the store also sends a heartbeat at once, so that its peers fetch the
// changes.
func (d *Daemon) applyChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.changed:
			d.apply()
			if d.shouldWatch() {
				d.fleet.SendHeartbeats(0)
				_ = clock.Sleep(ctx, d.clock, minNotifyInterval) // Ends early only with ctx.
			}
		}
	}
}

func (d *Daemon) close() {
	for _, s := range d.servers {
		if err := s.Close(); err != nil {
			d.log.Warn().Err(err).Msg("closing an HTTP server failed")
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
	d.connLimit.Close()
	d.store.Close()
	d.wg.Wait()
}
