package shards

import "time"

// Behaviour sets how an emulated target serves requests and which faults it
// injects. Shares are fractions of requests or replies, from 0 to 1.
type Behaviour struct {
	slots                int
	queue                int
	maxConns             int
	serviceTime          time.Duration
	spread               float64
	slowFactor           float64
	pause                time.Duration
	pausePeriod          time.Duration
	failedShare          float64
	refusedShare         float64
	droppedReplyShare    float64
	duplicatedReplyShare float64
	lateCopyShare        float64
	copyAcross           bool
	blackhole            bool
	down                 bool
	silent               bool
	handshakeTime        time.Duration
	crashText            string
	endless              Endlessness
	header               string
	work                 func(uri string, bodyBytes int) float64
}

// Option sets one property of a Behaviour.
type Option func(*Behaviour)

// NewBehaviour returns the behaviour of a healthy target that processes each
// request for serviceTime. Unless opts change it, the target has 1 slot, a queue
// of 12 requests and a limit of 100 connections.
func NewBehaviour(serviceTime time.Duration, opts ...Option) Behaviour {
	b := Behaviour{slots: 1, queue: 12, maxConns: 100, serviceTime: serviceTime, slowFactor: 1}
	return b.With(opts...)
}

// With returns a copy of b that is changed by opts.
func (b Behaviour) With(opts ...Option) Behaviour {
	for _, o := range opts {
		o(&b)
	}
	return b
}

// Slots sets the number of requests that run concurrently.
func Slots(n int) Option { return func(b *Behaviour) { b.slots = n } }

// Queue sets the number of requests that wait for a slot. The target refuses
// further requests.
func Queue(n int) Option { return func(b *Behaviour) { b.queue = n } }

// MaxConnections sets the number of open connections. The target resets further
// connections.
func MaxConnections(n int) Option { return func(b *Behaviour) { b.maxConns = n } }

// ServiceTimeSpread makes the service time log-normal: s is the standard deviation
// of its logarithm.
func ServiceTimeSpread(s float64) Option { return func(b *Behaviour) { b.spread = s } }

// Slow multiplies the service time by factor.
func Slow(factor float64) Option { return func(b *Behaviour) { b.slowFactor = factor } }

// Pauses stops all processing for d at the start of each period.
func Pauses(d, period time.Duration) Option {
	return func(b *Behaviour) { b.pause, b.pausePeriod = d, period }
}

// Failing runs the given share of the requests and answers them with status 500.
func Failing(share float64) Option { return func(b *Behaviour) { b.failedShare = share } }

// Shedding refuses the given share of the requests without running them.
func Shedding(share float64) Option { return func(b *Behaviour) { b.refusedShare = share } }

// DroppingReplies runs the given share of the requests and closes the connection
// instead of replying.
func DroppingReplies(share float64) Option { return func(b *Behaviour) { b.droppedReplyShare = share } }

// Duplicating sends the given share of the successful replies twice.
func Duplicating(share float64) Option { return func(b *Behaviour) { b.duplicatedReplyShare = share } }

// LateCopies sends the given share of all answers, also of refusals, a second time
// when the next request arrives on their connection.
func LateCopies(share float64) Option { return func(b *Behaviour) { b.lateCopyShare = share } }

// CopiesAcross makes LateCopies send the copy of an answer on whichever connection
// its request arrives again.
func CopiesAcross() Option { return func(b *Behaviour) { b.copyAcross = true } }

// Blackhole makes the target neither reply nor complete new in-memory
// connections. It closes no connection.
func Blackhole() Option { return func(b *Behaviour) { b.blackhole = true } }

// Down closes all connections and refuses new ones.
func Down() Option { return func(b *Behaviour) { b.down = true } }

// Silent makes the target accept connections, run requests and never reply.
func Silent() Option { return func(b *Behaviour) { b.silent = true } }

// Handshake sets the time that it takes to establish a connection.
func Handshake(d time.Duration) Option { return func(b *Behaviour) { b.handshakeTime = d } }

// Crashing makes requests whose URI contains text crash the target, which
// restarts after 3 s.
func Crashing(text string) Option { return func(b *Behaviour) { b.crashText = text } }

// Endlessness is the form of an answer that never ends.
type Endlessness int

// The values of Endlessness.
const (
	Ends         Endlessness = iota // The answer ends.
	EndlessHead                     // Header lines.
	EndlessBody                     // A body that ends with the connection.
	EndlessChunk                    // A body in chunks.
	NoAnswer                        // Bytes that are no answer.
)

// Endless runs all requests and answers them without end, until the connection is
// closed.
func Endless(e Endlessness) Option { return func(b *Behaviour) { b.endless = e } }

// Header adds a header field to all answers, also to refusals.
func Header(name, value string) Option {
	return func(b *Behaviour) { b.header += name + ": " + value + "\r\n" }
}

// Work multiplies the service time of each request by f of its URI and the size of
// its body.
func Work(f func(uri string, bodyBytes int) float64) Option {
	return func(b *Behaviour) { b.work = f }
}
