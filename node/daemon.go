package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/admission"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/fleet"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/mirror"
	"medlaryard.example/medlaryard/mirror/mirrorpb"
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
	peers    *http.Client

	incarnation uint64
	leaving     atomic.Bool
	changes     chan struct{}
	fetches     chan string

	mu       sync.Mutex
	roster   *roster
	groups   map[string]*targets.Group
	table    *route.Table
	used     map[string]bool // Services that some route of the table uses.
	expiry   clock.Timer
	moves    map[string]*moveState // By service.
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
		changes:     make(chan struct{}, 1),
		fetches:     make(chan string, 1),
		roster:      newRoster(l),
		groups:      make(map[string]*targets.Group),
		moves:       make(map[string]*moveState),
		failures:    make(chan error, 1),
		peers: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{
				Timeout:         fetchTimeout,
				KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: peerProbeIdle, Interval: peerProbeIdle / 2, Count: 2},
			}).DialContext,
			DisableCompression: true,
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

// listen opens all listeners before anything else is started.
func (d *Daemon) listen() error {
	conn, err := net.ListenPacket("udp4", d.settings.PeerAddress())
	if err != nil {
		return eris.Wrap(err, "listen for heartbeats")
	}
	d.fleet = fleet.New(conn, d.describe, fleet.Clock(d.clock), fleet.Log(d.log), fleet.OnHeartbeat(d.heard),
		fleet.Recipients(d.recipients))
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{d.settings.Callers(), platform.NewFront(d.engine, d.clock, d.leaving.Load)},
		{d.settings.Ready(), platform.Ready(d.ready)},
		{d.settings.Directory(), platform.Directory(d.addresses, d.settings.AddressTTL())},
		{d.settings.Operators(), operatorsHandler()},
		{d.settings.PeerAddress(), mirror.Handler(d.mirror)},
	} {
		if err := d.serve(l.address, l.handler); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       callerIdle,
	}
	d.servers = append(d.servers, s)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.fail(eris.Wrapf(err, "serve %s", address))
		}
	}()
	return nil
}

// fail ends the daemon with the first error.
func (d *Daemon) fail(err error) {
	select {
	case d.failures <- err:
	default:
		d.log.Error().Err(err).Msg("another failure while the daemon ends")
	}
}

// operatorsHandler serves the metrics.
func operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		if err := meter.WriteText(w); err != nil {
			meter.Count("node.metrics_failed", 1)
		}
	})
	return mux
}

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

// follow follows the store. A daemon that others start from reads it at once;
// the others first wait for what these tell them, which spares the store.
func (d *Daemon) follow(ctx context.Context, seed bool) {
	for waited := time.Duration(0); !seed && waited < seedWait && !d.mirror.Known(platform.KindTargets); waited += seedCheck {
		if clock.Sleep(ctx, d.clock, seedCheck) != nil {
			return
		}
	}
	d.follower.Run(ctx,
		mirror.Leading(mirror.NewKind(platform.KindConfig, configReread, 0)),
		mirror.NewKind(platform.KindTargets, targetsReread, gatherChanges),
		mirror.NewKind(platform.KindMoves, ordersReread, 0),
		mirror.NewKind(platform.KindEvacuations, ordersReread, 0),
		mirror.NewKind(platform.KindDaemons, ordersReread, gatherChanges))
}

func (d *Daemon) goes(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
	}()
}

// seeds returns the peer addresses of the daemons that the settings name; all
// daemons use the same ports.
func (d *Daemon) seeds() []string {
	own := netip.MustParseAddrPort(d.settings.PeerAddress()) // Checked with the settings.
	var seeds []string
	for _, p := range d.settings.Peers() {
		a := netip.MustParseAddrPort(p)
		seeds = append(seeds, netip.AddrPortFrom(a.Addr(), own.Port()).String())
	}
	return seeds
}

// join registers the daemon, so that the others find it.
func (d *Daemon) join(ctx context.Context) {
	self := fleet.NewCandidate(d.settings.Name(), d.settings.Zone(), d.settings.PeerAddress(), d.settings.Capacity())
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, registerTimeout)
		err := d.store.Register(call, self)
		cancel()
		if err == nil {
			return
		}
		d.log.Warn().Err(err).Msg("registration in the store failed")
		_ = clock.Sleep(ctx, d.clock, registerDelay) // Ends early only with ctx.
	}
}

// describe is the heartbeat of this daemon.
func (d *Daemon) describe() *mirrorpb.Heartbeat {
	return &mirrorpb.Heartbeat{
		Name: d.settings.Name(), Incarnation: d.incarnation, Zone: d.settings.Zone(),
		Front: d.settings.Callers(), Peer: d.settings.PeerAddress(),
		Leaving: d.leaving.Load(), Serving: d.able(),
		StoreAgeMs: uint32(min(d.follower.StoreAge(), time.Hour).Milliseconds()),
		Versions:   d.mirror.Versions(),
		Moves:      d.moveEvidence(),
		Strikes:    d.strikes(),
	}
}

// watchers is how many daemons watch the store at a time. Another takes over
// within about two seconds, before a change must be in force.
const watchers = 1

// watches reports whether this daemon is to watch the store. A daemon that
// serves does so if fewer than the wanted number before it in the order of names
// do, one that stands by only if no other does.
func (d *Daemon) watches() bool {
	others, before := 0, 0
	for _, m := range d.fleet.Alive() {
		if m.Leaving() || m.StoreAge() >= mirror.FreshContact {
			continue
		}
		others++
		if m.Name() < d.settings.Name() {
			before++
		}
	}
	if !d.serving.includesSelf() {
		return others == 0
	}
	return before < watchers
}

// precedes reports whether this daemon is the first by name of those that reach
// the store.
func (d *Daemon) precedes() bool {
	for _, m := range d.fleet.Alive() {
		if m.Name() < d.settings.Name() && !m.Leaving() && m.StoreAge() < mirror.FreshContact {
			return false
		}
	}
	return true
}

// maxStrikes is how many strikes a heartbeat carries, at 20 bytes each.
const maxStrikes = 32

// strikes are the requests that crashed targets, for the heartbeats.
func (d *Daemon) strikes() []*mirrorpb.Strike {
	var list []*mirrorpb.Strike
	for _, s := range d.suspects.Strikes(maxStrikes) {
		list = append(list, &mirrorpb.Strike{Fingerprint: s.GetFingerprint(), Crashes: s.GetCrashes(), AgeMs: s.GetAgeMs()})
	}
	return list
}

// heard takes in what another daemon knows of requests that crash targets, and
// fetches changes that it has and this one lacks.
func (d *Daemon) heard(m fleet.Member) {
	strikes := make([]*peerpb.CrashStrike, 0, len(m.Strikes()))
	for _, s := range m.Strikes() {
		strikes = append(strikes, &peerpb.CrashStrike{Fingerprint: s.GetFingerprint(), Crashes: s.GetCrashes(), AgeMs: s.GetAgeMs()})
	}
	d.suspects.Merge(strikes)
	own := d.mirror.Versions()
	for kind, v := range m.Versions() {
		if have, ok := own[kind]; !ok || have < v {
			select {
			case d.fetches <- m.Peer():
			default: // A fetch is under way; the next heartbeat tells again.
			}
			return
		}
	}
}

func (d *Daemon) fetch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-d.fetches:
			call, cancel := context.WithTimeout(ctx, fetchTimeout)
			if err := mirror.Fetch(call, d.peers, address, d.mirror); err != nil && ctx.Err() == nil {
				meter.Count("node.fetch_failed", 1)
				d.log.Warn().Err(err).Str("peer", address).Msg("fetching changes from another daemon failed")
			}
			cancel()
			if !d.serving.includesSelf() {
				_ = clock.Sleep(ctx, d.clock, standbyFetch) // Ends early only with ctx.
			}
		}
	}
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

// ready reports whether callers should come to this daemon.
func (d *Daemon) ready() bool { return !d.leaving.Load() && d.engine.Table() != nil }

// addresses returns the addresses that callers are to use.
func (d *Daemon) addresses(string) []string {
	var list []string
	if d.ready() && d.serving.includesSelf() && d.able() {
		list = append(list, d.settings.Callers())
	}
	serving := d.serving.names()
	var standby []string
	for _, m := range d.fleet.Alive() {
		switch {
		case !m.Serving() || m.Leaving():
		case serving[m.Name()]:
			list = append(list, m.Front())
		default:
			standby = append(standby, m.Front())
		}
	}
	if len(list) > 0 {
		return list
	}
	return d.lastResort(standby)
}

// lastResort returns addresses when no serving daemon is known to be able to
// serve. Others that were heard lately come first, because only this daemon may
// be cut off.
func (d *Daemon) lastResort(standby []string) []string {
	if len(standby) > 0 {
		return standby
	}
	var list []string
	for _, m := range d.fleet.Known() {
		if m.Serving() && !m.Leaving() {
			list = append(list, m.Front())
		}
	}
	if d.ready() && (d.able() || len(list) == 0) {
		list = append([]string{d.settings.Callers()}, list...)
	}
	return list
}

// ableShare is the part of the services in use of which a daemon must reach some
// target to be named to callers.
const ableShare = 0.6

// able reports whether this daemon reaches enough targets to serve callers.
func (d *Daemon) able() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table == nil {
		return false
	}
	reachable, all := 0, 0
	for name := range d.used {
		all++
		if g := d.groups[name]; g != nil && g.Reachable() {
			reachable++
		}
	}
	return float64(reachable) >= ableShare*float64(all)
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
