package fleet

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/mirror/mirrorpb"
)

const (
	// heartbeatInterval is the time between two rounds of heartbeats.
	heartbeatInterval = 300 * time.Millisecond
	// forgetAfter is the silence after which a daemon is removed.
	forgetAfter = 60 * time.Second
	// maxDatagramBytes is the size of the receive buffer, the maximum of UDP. Daemons
	// of earlier versions put all details into one heartbeat.
	maxDatagramBytes = 64 << 10
	// malformedLogInterval and malformedLogBurst bound the log lines about
	// datagrams that cannot be decoded.
	malformedLogInterval = 10 * time.Second
	malformedLogBurst    = 5
)

// LostAfter is the silence after which a daemon that sends heartbeats counts as
// lost. It spans four heartbeats, since single datagrams get lost.
const LostAfter = 1250 * time.Millisecond

// Fleet exchanges heartbeats with the other daemons. It is safe for concurrent
// use once started.
type Fleet struct {
	clock       clock.Clock
	log         zerolog.Logger
	conn        net.PacketConn
	heartbeat   func() *mirrorpb.Heartbeat
	details     func() (serving, standby Details)
	recipients  func(round int) (serving, standby []string)
	onHeartbeat func(Member)
	greeting    func() []*mirrorpb.Heartbeat
	registered  func(peer string) bool

	packer       packer
	malformedLog *rate.Limiter

	mu      sync.Mutex
	members map[string]*member // By peer address.
	bytes   int                // Of all members, see Member.size.
	wg      sync.WaitGroup
	stop    context.CancelFunc
}

// member is a daemon from which a heartbeat was received.
type member struct {
	Member
	lost bool
}

// Option sets an option of a Fleet.
type Option func(*Fleet)

// Clock sets the clock. The default is the system clock.
func Clock(c clock.Clock) Option { return func(f *Fleet) { f.clock = c } }

// Log sets the logger for found and lost daemons. By default nothing is logged.
func Log(l zerolog.Logger) Option { return func(f *Fleet) { f.log = l } }

// OnHeartbeat sets the function that is called for each received heartbeat. It
// must not block.
func OnHeartbeat(fn func(Member)) Option { return func(f *Fleet) { f.onHeartbeat = fn } }

// Greeting sets the function that returns the heartbeats sent to a daemon that is
// found: at its start, or after a silence. By default there are none.
func Greeting(fn func() []*mirrorpb.Heartbeat) Option { return func(f *Fleet) { f.greeting = fn } }

// Registered sets the function that reports whether a daemon with the given peer address
// is registered in the store. When there is no room for all, daemons that are registered
// are kept rather than others. The function must not use the fleet. By default none is.
func Registered(fn func(peer string) bool) Option { return func(f *Fleet) { f.registered = fn } }

// Recipients sets the function that returns the peer addresses to which the
// heartbeats of a round are sent: those of daemons that serve, and those of
// daemons on standby.
func Recipients(fn func(round int) (serving, standby []string)) Option {
	return func(f *Fleet) { f.recipients = fn }
}

// SendDetails sets the function that returns the details that are sent with the
// heartbeats of each round. By default there are none.
func SendDetails(fn func() (serving, standby Details)) Option {
	return func(f *Fleet) { f.details = fn }
}

// New returns a fleet that exchanges heartbeats over conn. The function
// heartbeat describes this daemon.
func New(conn net.PacketConn, heartbeat func() *mirrorpb.Heartbeat, opts ...Option) *Fleet {
	f := &Fleet{
		clock: clock.System{}, log: zerolog.Nop(), conn: conn, heartbeat: heartbeat,
		details:      func() (serving, standby Details) { return Details{}, Details{} },
		recipients:   func(int) (serving, standby []string) { return nil, nil },
		malformedLog: rate.NewLimiter(rate.Every(malformedLogInterval), malformedLogBurst),
		onHeartbeat:  func(Member) {}, greeting: func() []*mirrorpb.Heartbeat { return nil }, members: make(map[string]*member),
		registered: func(string) bool { return false },
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Start starts sending and receiving heartbeats.
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
		for round := 0; clock.Sleep(ctx, f.clock, heartbeatInterval) == nil; round++ {
			f.expire()
			f.sendRound(round)
		}
	}()
}

// Close stops the exchange, closes the connection and waits for all goroutines.
// It returns the error of closing the connection.
func (f *Fleet) Close() error {
	f.stop()
	err := f.conn.Close()
	f.wg.Wait()
	return err
}

// RequestHeartbeat sends a heartbeat to the given peer address and asks for one
// in return.
func (f *Fleet) RequestHeartbeat(address string) {
	h := f.heartbeat()
	h.Reply = true
	f.send(h, address)
}

// SendHeartbeats immediately sends heartbeats without details to the recipients
// of the given round.
func (f *Fleet) SendHeartbeats(round int) {
	serving, standby := f.recipients(round)
	if to := append(serving, standby...); len(to) > 0 {
		f.send(f.heartbeat(), to...)
	}
}

// SendBlocks immediately sends blocks of details to the daemons that serve.
func (f *Fleet) SendBlocks(blocks []*mirrorpb.Heartbeat) {
	serving, _ := f.recipients(1) // Standby daemons get the heartbeats of other rounds.
	if len(serving) == 0 {
		return
	}
	for _, h := range new(packer).pack(f.heartbeat(), NewDetails(blocks, nil)) {
		f.send(h, serving...)
	}
}

// sendRound sends the heartbeats of a round with their details.
func (f *Fleet) sendRound(round int) {
	serving, standby := f.recipients(round)
	if len(serving)+len(standby) == 0 {
		return
	}
	core := f.heartbeat()
	forServing, forStandby := f.details()
	for _, h := range f.packer.pack(core, forServing) {
		f.send(h, serving...)
	}
	if len(standby) == 0 {
		return
	}
	for _, h := range new(packer).pack(core, forStandby) {
		f.send(h, standby...)
	}
}

// expire marks silent daemons as lost and later removes them.
func (f *Fleet) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for key, m := range f.members {
		silence := now.Sub(m.receivedAt)
		if !m.lost && silence > LostAfter {
			m.lost = true
			f.log.Warn().Str("member", m.name).Dur("silent_for", silence).Msg("daemon lost")
		}
		if silence > forgetAfter {
			f.removeLocked(key)
		}
	}
}

func (f *Fleet) send(h *mirrorpb.Heartbeat, to ...string) {
	b, err := proto.Marshal(h)
	if err != nil {
		f.log.Error().Err(err).Msg("encoding the heartbeat failed; sending none")
		return
	}
	for _, address := range to {
		if address == h.GetPeer() {
			continue
		}
		addr, err := parseAddress(address)
		if err != nil {
			f.log.Warn().Err(err).Str("address", address).Msg("invalid peer address; sending no heartbeat to it")
			continue
		}
		// Failures are only counted, because the next heartbeat follows soon.
		if _, err := f.conn.WriteTo(b, net.UDPAddrFromAddrPort(addr)); err != nil {
			meter.Count("fleet.send_failed", 1)
		}
	}
}

func (f *Fleet) receive() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, sender, err := f.conn.ReadFrom(buf)
		if err != nil {
			return // The connection is closed.
		}
		h := &mirrorpb.Heartbeat{}
		if !decodable(buf[:n]) {
			err = errEntries
		} else {
			err = decoding.Unmarshal(buf[:n], h)
		}
		if err != nil || !valid(h) {
			meter.Count("fleet.received_malformed", 1)
			if f.malformedLog.AllowN(f.clock.Now(), 1) {
				f.log.Warn().Err(err).Stringer("sender", sender).Int("bytes", n).Msg("datagram is no heartbeat; ignoring it")
			}
			continue
		}
		f.handleHeartbeat(h)
	}
}

// errEntries is logged for a datagram that is not decoded.
var errEntries = eris.New("malformed, or too many entries")

// decoding discards fields of later versions, which members would hold otherwise.
var decoding = proto.UnmarshalOptions{DiscardUnknown: true}

// valid reports whether a heartbeat names a daemon and its addresses.
func valid(h *mirrorpb.Heartbeat) bool {
	if _, err := parseAddress(h.GetPeer()); err != nil {
		return false
	}
	_, err := parseAddress(h.GetFront())
	return err == nil && h.GetName() != ""
}

// parseAddress parses an IPv4 address with a port. Host names are errors, because
// a lookup would delay all heartbeats.
func parseAddress(s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return a, err
	}
	if !a.Addr().Is4() || a.Port() == 0 {
		return a, eris.Errorf("%q is not an IPv4 address with a port", s)
	}
	return a, nil
}

func (f *Fleet) handleHeartbeat(h *mirrorpb.Heartbeat) {
	m := Member{
		name: h.GetName(), incarnation: h.GetIncarnation(), domain: h.GetZone(), callerAddress: h.GetFront(),
		peerAddress: h.GetPeer(), leaving: h.GetLeaving(), serving: h.GetServing(),
		storeAge: time.Duration(h.GetStoreAgeMs()) * time.Millisecond, failing: time.Duration(h.GetFailingMs()) * time.Millisecond,
		era: h.GetEra(), versions: h.GetVersions(), olderEras: h.GetOlderEras(), moves: h.GetMoves(), strikes: h.GetStrikes(), reports: h.GetReports(),
		notices: h.GetNotices(), duty: h.GetDuty(), receivedAt: f.clock.Now(),
	}
	f.mu.Lock()
	previous := f.members[m.peerAddress]
	if !f.makeRoomLocked(m) {
		f.mu.Unlock()
		meter.Count("fleet.ignored", 1)
		return
	}
	f.removeLocked(m.peerAddress)
	found := previous == nil || previous.lost || previous.incarnation != m.incarnation
	if found {
		f.log.Info().Str("member", m.name).Str("zone", m.domain).Msg("daemon found")
	}
	f.members[m.peerAddress] = &member{Member: m.withoutDetails()}
	f.bytes += m.size()
	f.mu.Unlock()
	if h.GetReply() {
		f.send(f.heartbeat(), m.peerAddress)
	}
	if found {
		for _, g := range f.greeting() {
			f.send(g, m.peerAddress)
		}
	}
	f.onHeartbeat(m)
}

// AliveMembers returns the daemons whose last heartbeat is at most LostAfter
// old, ordered by name.
func (f *Fleet) AliveMembers() []Member { return f.membersWithin(LostAfter) }

// AnyAlive reports whether ok holds for one of the daemons whose last heartbeat
// is at most LostAfter old.
func (f *Fleet) AnyAlive(ok func(Member) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, m := range f.members {
		if now.Sub(m.receivedAt) <= LostAfter && ok(m.Member) {
			return true
		}
	}
	return false
}

// KnownMembers returns the daemons that sent a heartbeat and have not been
// removed yet, ordered by name.
func (f *Fleet) KnownMembers() []Member { return f.membersWithin(forgetAfter) }

func (f *Fleet) membersWithin(silence time.Duration) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var list []Member
	for _, m := range f.members {
		if now.Sub(m.receivedAt) <= silence {
			list = append(list, m.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.name, b.name) })
	return list
}

// LastHeartbeat returns when the last heartbeat from a peer address was
// received, or the zero time if none was.
func (f *Fleet) LastHeartbeat(peer string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[peer]; m != nil {
		return m.receivedAt
	}
	return time.Time{}
}
