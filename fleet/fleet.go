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
	// lostAfter is the silence after which a daemon counts as lost: four
	// heartbeats, as single datagrams are lost.
	lostAfter = 1250 * time.Millisecond
	// forgetAfter is the silence after which no heartbeats are sent to a daemon.
	forgetAfter = 60 * time.Second
	// countFor is how long a lost daemon still counts in the division of limits,
	// because it may only be cut off from this one.
	countFor = 10 * time.Second
	// maxDatagram is the size of the receive buffer; a heartbeat takes about 200
	// bytes.
	maxDatagram = 8 << 10
)

// Fleet exchanges heartbeats with the other daemons.
type Fleet struct {
	clock   clock.Clock
	log     zerolog.Logger
	conn    net.PacketConn
	self    func() *mirrorpb.Heartbeat
	changed func(Member)

	mu      sync.Mutex
	members map[string]*member
	wg      sync.WaitGroup
	stop    context.CancelFunc
}

// member is what is known of one address.
type member struct {
	Member
	addr  *net.UDPAddr
	known bool // A heartbeat was received.
	lost  bool
	added time.Time
}

// Option sets one property of a Fleet.
type Option func(*Fleet)

// Clock sets the source of time.
func Clock(c clock.Clock) Option { return func(f *Fleet) { f.clock = c } }

// Log sets where gained and lost daemons are logged.
func Log(l zerolog.Logger) Option { return func(f *Fleet) { f.log = l } }

// OnHeartbeat sets what is called with each received heartbeat. It must not block.
func OnHeartbeat(fn func(Member)) Option { return func(f *Fleet) { f.changed = fn } }

// New returns a fleet that exchanges heartbeats over conn. Self describes this
// daemon.
func New(conn net.PacketConn, self func() *mirrorpb.Heartbeat, opts ...Option) *Fleet {
	f := &Fleet{
		clock: clock.System{}, log: zerolog.Nop(), conn: conn, self: self,
		changed: func(Member) {}, members: make(map[string]*member),
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
		for clock.Sleep(ctx, f.clock, beatEvery) == nil {
			f.Beat()
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

// Add makes the daemon at a peer address known, for example from the store.
func (f *Fleet) Add(address string) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		f.log.Warn().Err(err).Str("address", address).Msg("address of another daemon cannot be used")
		return
	}
	if addr.String() == f.conn.LocalAddr().String() {
		return
	}
	f.mu.Lock()
	_, known := f.members[addr.String()]
	if !known {
		f.members[addr.String()] = &member{addr: addr, added: f.clock.Now()}
	}
	f.mu.Unlock()
	if !known {
		f.send(addr, true)
	}
}

// Beat sends a heartbeat to all daemons now.
func (f *Fleet) Beat() {
	f.mu.Lock()
	now := f.clock.Now()
	addrs := make([]*net.UDPAddr, 0, len(f.members))
	for key, m := range f.members {
		seen := m.heard
		if !m.known {
			seen = m.added
		}
		if now.Sub(seen) > forgetAfter {
			delete(f.members, key)
			continue
		}
		if m.known && !m.lost && now.Sub(m.heard) > lostAfter {
			m.lost = true
			f.log.Warn().Str("member", m.name).Dur("silent_for", now.Sub(m.heard)).Msg("daemon lost")
		}
		addrs = append(addrs, m.addr)
	}
	f.mu.Unlock()
	f.sendAll(addrs)
}

func (f *Fleet) sendAll(addrs []*net.UDPAddr) {
	if len(addrs) == 0 {
		return
	}
	b, err := proto.Marshal(f.self())
	if err != nil {
		f.log.Error().Err(err).Msg("heartbeat cannot be encoded")
		return
	}
	for _, a := range addrs {
		f.write(b, a)
	}
}

func (f *Fleet) send(addr *net.UDPAddr, wantReply bool) {
	h := f.self()
	h.Reply = wantReply
	b, err := proto.Marshal(h)
	if err != nil {
		f.log.Error().Err(err).Msg("heartbeat cannot be encoded")
		return
	}
	f.write(b, addr)
}

// write sends one datagram. A failure is only counted, because the next
// heartbeat follows soon.
func (f *Fleet) write(b []byte, addr *net.UDPAddr) {
	if _, err := f.conn.WriteTo(b, addr); err != nil {
		meter.Count("fleet.send_failed", 1)
	}
}

func (f *Fleet) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := f.conn.ReadFrom(buf)
		if err != nil {
			return // Closed.
		}
		h := &mirrorpb.Heartbeat{}
		if err := proto.Unmarshal(buf[:n], h); err != nil || h.GetPeer() == "" || h.GetName() == "" {
			meter.Count("fleet.received_malformed", 1)
			continue
		}
		f.take(h, from)
	}
}

func (f *Fleet) take(h *mirrorpb.Heartbeat, from net.Addr) {
	udp, ok := from.(*net.UDPAddr)
	if !ok {
		return
	}
	m := Member{
		name: h.GetName(), incarnation: h.GetIncarnation(), zone: h.GetZone(), front: h.GetFront(),
		peer: h.GetPeer(), leaving: h.GetLeaving(), serving: h.GetServing(),
		storeAge: time.Duration(h.GetStoreAgeMs()) * time.Millisecond,
		versions: h.GetVersions(), heard: f.clock.Now(),
	}
	f.mu.Lock()
	known := f.members[udp.String()]
	if known == nil {
		known = &member{addr: udp, added: m.heard}
		f.members[udp.String()] = known
	}
	if !known.known || known.lost || known.incarnation != m.incarnation {
		f.log.Info().Str("member", m.name).Str("zone", m.zone).Msg("daemon found")
	}
	known.Member, known.known, known.lost = m, true, false
	f.mu.Unlock()
	if h.GetReply() {
		f.send(udp, false)
	}
	f.changed(m)
}

// Alive returns the daemons that were heard lately, ordered by name.
func (f *Fleet) Alive() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var alive []Member
	for _, m := range f.members {
		if m.known && now.Sub(m.heard) <= lostAfter {
			alive = append(alive, m.Member)
		}
	}
	slices.SortFunc(alive, func(a, b Member) int { return cmp.Compare(a.name, b.name) })
	return alive
}

// Size returns how many daemons share the limits, this one included.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	n := 1
	for _, m := range f.members {
		if m.known && now.Sub(m.heard) < countFor || !m.known && now.Sub(m.added) < countFor {
			n++
		}
	}
	return n
}
