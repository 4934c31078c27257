package shards

import "time"

// Behaviour is how an emulated target serves.
type Behaviour struct {
	slots           int
	queue           int
	maxConns        int
	work            time.Duration
	spread          float64
	slowness        float64
	pause           time.Duration
	pauseGap        time.Duration
	failing         float64
	shedding        float64
	droppingReplies float64
	duplicating     float64
	blackhole       bool
	down            bool
	silent          bool
	handshake       time.Duration
	poison          string
}

// Option sets one property of a Behaviour.
type Option func(*Behaviour)

// NewBehaviour returns a sound target of one slot that works for work on a
// request.
func NewBehaviour(work time.Duration, opts ...Option) Behaviour {
	b := Behaviour{slots: 1, queue: 12, maxConns: 100, work: work, slowness: 1}
	return b.With(opts...)
}

// With returns a copy with other properties.
func (b Behaviour) With(opts ...Option) Behaviour {
	for _, o := range opts {
		o(&b)
	}
	return b
}

// Slots sets how many requests run at once.
func Slots(n int) Option { return func(b *Behaviour) { b.slots = n } }

// Queue sets how many requests wait for a slot; more are refused.
func Queue(n int) Option { return func(b *Behaviour) { b.queue = n } }

// MaxConnections sets how many connections are accepted; more are reset.
func MaxConnections(n int) Option { return func(b *Behaviour) { b.maxConns = n } }

// Spread sets the standard deviation of the logarithm of the working time.
func Spread(s float64) Option { return func(b *Behaviour) { b.spread = s } }

// Slow multiplies the working time.
func Slow(x float64) Option { return func(b *Behaviour) { b.slowness = x } }

// Pauses stops all work for d once in each gap.
func Pauses(d, gap time.Duration) Option {
	return func(b *Behaviour) { b.pause, b.pauseGap = d, gap }
}

// Failing answers that share of the requests with a failure.
func Failing(share float64) Option { return func(b *Behaviour) { b.failing = share } }

// Shedding refuses that share of the requests without running them.
func Shedding(share float64) Option { return func(b *Behaviour) { b.shedding = share } }

// DroppingReplies runs that share of the requests and resets the connection instead of
// answering.
func DroppingReplies(share float64) Option { return func(b *Behaviour) { b.droppingReplies = share } }

// Duplicating sends that share of the answers twice.
func Duplicating(share float64) Option { return func(b *Behaviour) { b.duplicating = share } }

// Blackhole neither answers nor accepts connections, without a reset.
func Blackhole() Option { return func(b *Behaviour) { b.blackhole = true } }

// Down resets all connections and accepts none.
func Down() Option { return func(b *Behaviour) { b.down = true } }

// Silent accepts connections and requests and never answers.
func Silent() Option { return func(b *Behaviour) { b.silent = true } }

// Handshake sets the time that a new connection takes.
func Handshake(d time.Duration) Option { return func(b *Behaviour) { b.handshake = d } }

// Crashing makes requests whose path holds text crash the target for 3 s.
func Crashing(text string) Option { return func(b *Behaviour) { b.poison = text } }
