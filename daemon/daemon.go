package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/admission"
	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/evaluate"
	"medlaryard.example/medlaryard/cell"
	"medlaryard.example/medlaryard/clientbudget"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/entry"
	"medlaryard.example/medlaryard/home"
	"medlaryard.example/medlaryard/once"
	"medlaryard.example/medlaryard/peer"
	"medlaryard.example/medlaryard/readbudget"
	"medlaryard.example/medlaryard/searcher"
	"medlaryard.example/medlaryard/settings"
	"medlaryard.example/medlaryard/store"
	"medlaryard.example/medlaryard/vmlist"
)

// daemon is one process of the query tier.
type daemon struct {
	cfg         settings.Settings
	clk         clock.Clock
	incarnation string
	started     time.Time

	store       *store.Counted
	vms         *vmlist.Reader
	client      *peer.Client
	cell        *cell.Cell
	homes       *home.Set
	suspects    *admission.Suspects
	suspectGate *admission.SuspectGate
	guard       *once.Guard
	responder   *once.Responder
	entry       *entry.Entry
	moves       *moves

	callers   *entry.Server
	peers     *server
	operators *server
	listeners listeners
	clients   *clientbudget.Budget

	viewMu   sync.Mutex // Serializes updates of view.
	view     atomic.Pointer[view]
	changed  chan struct{}
	strikes  *strikeBroadcast
	source   shareSource
	shares   appliedShares
	leaving  atomic.Bool
	serveErr chan error // Buffers the first error of a listener.

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// newDaemon opens the listeners and builds all parts. It does not start them.
func newDaemon(cfg settings.Settings) (*daemon, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{
		cfg: cfg, clk: clock.System{}, incarnation: incarnation, started: time.Now(),
		changed: make(chan struct{}, 1), serveErr: make(chan error, 1), ctx: ctx, cancel: cancel,
	}
	d.view.Store(&view{})
	d.clients = clientbudget.New(clientbudget.NewLimits(int64(cfg.Memory()), maxDescriptors()), d.clk, log.Logger)
	if d.listeners, err = listen(cfg); err != nil {
		cancel()
		return nil, err
	}
	d.store = store.NewCounted(store.NewHTTP("http://"+cfg.StoreAddress(),
		store.WithTimeout(cfg.StoreTimeout()), store.WithWatchWait(cfg.StoreWatchWait())))
	if cfg.VMListAddress() != "" {
		d.vms = vmlist.NewReader("http://"+cfg.VMListAddress(), vmlist.WithInterval(cfg.VMListInterval()))
	}
	peerOptions := []peer.Option{
		peer.WithKey(cfg.PeerKey()), peer.WithMaxConnections(cfg.PeerConnections()),
		peer.WithMaxMessageBytes(int64(cfg.PeerMessageBytes())),
	}
	d.client = peer.NewClient(peerOptions...)
	d.strikes = newStrikeBroadcast(d.client, d.others)
	d.suspects = admission.NewSuspects(d.clk, d.strikes.enqueue)
	budget := readbudget.New(readbudget.Clock(d.clk), readbudget.AdmitBy(d.clients.AdmitAllocation))
	d.homes = home.NewSet(
		home.WithLeaseEnd(func() time.Duration { return d.cell.LeaseEnd() }),
		home.WithCrashHandler(func(request, searcher uint64) { d.suspects.RecordTargetCrash(request, searcher, false) }),
		home.WithTargetFactory(func(s *catalogue.Searcher) *searcher.Target {
			return searcher.NewHTTPTarget(s, searcher.WithReplyLimit(cfg.SearcherReplyBytes()), searcher.WithReadBudget(budget))
		}),
	)
	d.suspectGate = admission.NewSuspectGate(d.suspects, d.homes.Do, admission.Outages(d.homes.Outage))
	d.newCell()
	d.newEntry()
	d.moves = newMoves(d.clk, d.store, d.cell, d.homes, d.incarnation, d.client.Report)
	d.callers = entry.NewServer(d.entry)
	d.peers = newServer("peers", peer.NewServer(d.handlers(), peerOptions...))
	d.operators = newServer("operators", clientbudget.Handler(d.operatorHandler(), maxOperatorBody))
	return d, nil
}

func (d *daemon) newCell() {
	self := cell.NewMember(cell.MemberSpec{
		Name: d.cfg.Name(), Incarnation: d.incarnation, Domain: d.cfg.Domain(), Region: d.cfg.Region(),
		CallerAddress: d.cfg.CallerAdvertise(), PeerAddress: d.cfg.PeerAdvertise(),
	})
	options := []cell.Option{
		cell.WithStore(d.store),
		cell.WithName(d.cfg.Cell()),
		cell.WithCalls(cell.Calls{Heartbeat: d.client.Heartbeat, Sync: d.client.Sync, Release: d.client.Release}),
		cell.WithParse(func(name, text string, generation uint64) (catalogue.Estate, error) {
			return evaluate.Text(name, []byte(text), generation)
		}),
		cell.WithSeeds(d.cfg.Peers()),
		cell.WithReleaseGroups(d.release),
		cell.WithImportEstimates(d.importEstimates),
	}
	if d.vms != nil {
		options = append(options, cell.WithVMs(vmLookup(d.cfg.Name(), d.cfg.VMListInterval(), d.vms.List, d.clk.Boot)))
	}
	d.cell = cell.New(self, options...)
	d.source = shareSource{key: d.cell.ShareKey, share: d.cell.Share, confirm: d.cell.ConfirmShares}
	d.cell.OnChange(func() {
		select {
		case d.changed <- struct{}{}:
		default: // A refresh is already pending.
		}
	})
}

func (d *daemon) newEntry() {
	tableOptions := []once.Option{
		once.WithWindow(d.cfg.OnceWindow()), once.WithRecords(d.cfg.OnceRecords()), once.WithBytes(d.cfg.OnceBytes()),
	}
	ownTable, relayedTable := once.NewTable(tableOptions...), once.NewTable(tableOptions...)
	limiter := admission.NewLimiter(d.clk, func() int { return d.view.Load().addresses.entryCount() })
	d.entry = entry.New(
		d.fleet(),
		entry.WithAdmission(limiter.Admit),
		entry.WithSuspectState(d.suspectState),
		entry.WithAnswered(d.suspects.Answered),
		entry.WithOnce(ownTable, d.incarnation),
		entry.WithAddressTTL(d.cfg.AddressTTL()),
	)
	d.guard = once.NewGuard(relayedTable, d.suspectGate.Do)
	d.responder = once.NewResponder(d.incarnation, d.entry.Now, ownTable, relayedTable)
}

// start starts all background work and listeners, the callers' listener last.
func (d *daemon) start() {
	if d.vms != nil {
		d.vms.Start()
	}
	d.serve("peers", d.clients.Listen(d.listeners.peers, headLimit, clientbudget.MaxConnections(maxPeerConnections)), d.peers.serve)
	d.serve("operators", d.clients.Listen(d.listeners.operators, headLimit, clientbudget.MaxConnections(maxOperatorConnections)), d.operators.serve)
	d.tasks.Go(func() { d.cell.Run(d.ctx) })
	d.tasks.Go(d.refreshLoop)
	d.tasks.Go(func() { d.clients.Run(d.ctx) })
	d.tasks.Go(func() { d.moves.run(d.ctx) })
	d.tasks.Go(func() { d.strikes.run(d.ctx, d.clk, d.suspects) })
	probes := &prober{client: d.client, others: d.others, recordContact: d.entry.RecordContact}
	d.tasks.Go(func() { probes.run(d.ctx, d.clk) })
	d.clients.BoundSocketBuffers(d.listeners.callers)
	d.clients.BoundSocketBuffers(d.listeners.operators)
	// The callers' server limits its connections itself and responds with a refusal.
	d.serve("callers", d.clients.Listen(d.listeners.callers, headLimit), d.callers.Serve)
	log.Info().Str("incarnation", d.incarnation).Str("callers", d.listeners.callers.Addr().String()).
		Str("peers", d.listeners.peers.Addr().String()).Str("operators", d.listeners.operators.Addr().String()).
		Msg("daemon started")
}

func (d *daemon) serve(name string, l net.Listener, serve func(net.Listener) error) {
	d.tasks.Go(func() {
		if err := serve(l); err != nil {
			select {
			case d.serveErr <- eris.Wrapf(err, "serve the listener for %s", name):
			default:
			}
		}
	})
}

// maxDescriptors returns how many descriptors the process may open, or 0 if that is not
// known.
func maxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		log.Warn().Err(err).Msg("the limit of descriptors is not known; using the default")
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

func newIncarnation() (string, error) {
	var id [16]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", eris.Wrap(err, "generate the daemon's incarnation")
	}
	return hex.EncodeToString(id[:]), nil
}
