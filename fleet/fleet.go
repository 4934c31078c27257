package fleet

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/mirror/mirrorpb"
)

const (
	// beatEvery is the time between heartbeats.
	beatEvery = 300 * time.Millisecond
	// forgetAfter is the silence after which a daemon is forgotten.
	forgetAfter = 60 * time.Second
	// maxDatagram is the size of the receive buffer; a heartbeat takes about 200
	// bytes.
	maxDatagram = 8 << 10
)

// LostAfter is the silence after which a daemon that sends heartbeats counts as
// lost: four heartbeats, as single datagrams are lost.
const LostAfter = 1250 * time.Millisecond

// Fleet exchanges heartbeats with the other daemons.
type Fleet struct {
	clock      clock.Clock
	log        zerolog.Logger
	conn       net.PacketConn
	self       func() *mirrorpb.Heartbeat
	recipients func(round int) []string
	heard      func(Member)

	mu      sync.Mutex
	members map[string]*member // By peer address.
	addrs   map[string]*net.UDPAddr
	wg      sync.WaitGroup
	stop    context.CancelFunc
}

// member is a daemon that was heard.
type member struct {
	Member
	lost bool
}

// Option sets one property of a Fleet.
type Option func(*Fleet)

// Clock sets the source of time.
func Clock(c clock.Clock) Option { return func(f *Fleet) { f.clock = c } }

// Log sets where gained and lost daemons are logged.
func Log(l zerolog.Logger) Option { return func(f *Fleet) { f.log = l } }

// OnHeartbeat sets what is called with each received heartbeat. It must not block.
func OnHeartbeat(fn func(Member)) Option { return func(f *Fleet) { f.heard = fn } }

// Recipients sets to which peer addresses the heartbeats of a round go.
func Recipients(fn func(round int) []string) Option {
	return func(f *Fleet) { f.recipients = fn }
}

// New returns a fleet that exchanges heartbeats over conn. Self describes this
// daemon.
func New(conn net.PacketConn, self func() *mirrorpb.Heartbeat, opts ...Option) *Fleet {
	f := &Fleet{
		clock: clock.System{}, log: zerolog.Nop(), conn: conn, self: self,
		recipients: func(int) []string { return nil },
		heard:      func(Member) {}, members: make(map[string]*member), addrs: make(map[string]*net.UDPAddr),
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Start begins to send and receive.
func (f *Fleet) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	f.wg.Add(2)
	go func() {
		defer f.wg.Done()
		f.receive()
	}()
	go func() {
		defer f.wg.Done()
		for round := 0; clock.Sleep(ctx, f.clock, beatEvery) == nil; round++ {
			f.expire()
			f.Beat(round)
		}
	}()
}

// Close ends the exchange and waits for its goroutines.
func (f *Fleet) Close() error {
	f.stop()
	err := f.conn.Close()
	f.wg.Wait()
	return err
}

// Hello asks the daemon at a peer address for a heartbeat.
func (f *Fleet) Hello(address string) {
	h := f.self()
	h.Reply = true
	f.send(h, address)
}

// Beat sends a heartbeat to the recipients of a round now.
func (f *Fleet) Beat(round int) {
	if to := f.recipients(round); len(to) > 0 {
		f.send(f.self(), to...)
	}
}

// expire notes which daemons have fallen silent.
func (f *Fleet) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for key, m := range f.members {
		silence := now.Sub(m.heard)
		if !m.lost && silence > LostAfter {
			m.lost = true
			f.log.Warn().Str("member", m.name).Dur("silent_for", silence).Msg("daemon lost")
		}
		if silence > forgetAfter {
			delete(f.members, key)
		}
	}
}

func (f *Fleet) send(h *mirrorpb.Heartbeat, to ...string) {
	b, err := proto.Marshal(h)
	if err != nil {
		f.log.Error().Err(err).Msg("heartbeat cannot be encoded")
		return
	}
	for _, address := range to {
		if address == h.GetPeer() {
			continue
		}
		addr, err := f.resolve(address)
		if err != nil {
			f.log.Warn().Err(err).Str("address", address).Msg("address of another daemon cannot be used")
			continue
		}
		// A failure is only counted, because the next heartbeat follows soon.
		if _, err := f.conn.WriteTo(b, addr); err != nil {
			meter.Count("fleet.send_failed", 1)
		}
	}
}

func (f *Fleet) resolve(address string) (*net.UDPAddr, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.addrs[address]; a != nil {
		return a, nil
	}
	a, err := net.ResolveUDPAddr("udp4", address)
	if err == nil {
		f.addrs[address] = a
	}
	return a, err
}

func (f *Fleet) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := f.conn.ReadFrom(buf)
		if err != nil {
			return // Closed.
		}
		h := &mirrorpb.Heartbeat{}
		if err := proto.Unmarshal(buf[:n], h); err != nil || h.GetPeer() == "" || h.GetName() == "" {
			meter.Count("fleet.received_malformed", 1)
			continue
		}
		f.take(h)
	}
}

func (f *Fleet) take(h *mirrorpb.Heartbeat) {
	m := Member{
		name: h.GetName(), incarnation: h.GetIncarnation(), zone: h.GetZone(), front: h.GetFront(),
		peer: h.GetPeer(), leaving: h.GetLeaving(), serving: h.GetServing(),
		storeAge: time.Duration(h.GetStoreAgeMs()) * time.Millisecond,
		versions: h.GetVersions(), moves: h.GetMoves(), strikes: h.GetStrikes(), reports: h.GetReports(), heard: f.clock.Now(),
	}
	f.mu.Lock()
	known := f.members[m.peer]
	if known == nil || known.lost || known.incarnation != m.incarnation {
		f.log.Info().Str("member", m.name).Str("zone", m.zone).Msg("daemon found")
	}
	f.members[m.peer] = &member{Member: m}
	f.mu.Unlock()
	if h.GetReply() {
		f.send(f.self(), m.peer)
	}
	f.heard(m)
}

// Alive returns the daemons that were heard lately, ordered by name.
func (f *Fleet) Alive() []Member { return f.heardWithin(LostAfter) }

// Known returns the daemons that were heard at all and are not forgotten yet,
// ordered by name.
func (f *Fleet) Known() []Member { return f.heardWithin(forgetAfter) }

func (f *Fleet) heardWithin(d time.Duration) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var list []Member
	for _, m := range f.members {
		if now.Sub(m.heard) <= d {
			list = append(list, m.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.name, b.name) })
	return list
}

// Heard returns when the daemon at a peer address was last heard; zero means
// never.
func (f *Fleet) Heard(peer string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[peer]; m != nil {
		return m.heard
	}
	return time.Time{}
}
