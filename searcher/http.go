package searcher

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/readbudget"
)

const (
	// defaultMaxReplyBytes is the default limit of WithReplyLimit.
	defaultMaxReplyBytes = 4 << 20
	// connectTimeout bounds one TCP connect; a connect takes about 6 ms.
	connectTimeout = 250 * time.Millisecond
	// controlTimeout bounds one health request or cancellation.
	controlTimeout = 250 * time.Millisecond
)

// HTTPOption configures an adapter made by NewHTTP.
type HTTPOption func(*HTTP)

// WithClock sets the clock; the default is the system clock.
func WithClock(c clock.Clock) HTTPOption { return func(h *HTTP) { h.clock = c } }

// WithDial sets the function that opens connections; the default dials TCP.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) HTTPOption {
	return func(h *HTTP) { h.dial = dial }
}

// WithReplyLimit sets the maximum size of a search reply in bytes.
func WithReplyLimit(n int) HTTPOption { return func(h *HTTP) { h.maxReplyBytes = n } }

// WithReadBudget sets the budget for reading replies, which the adapters of a
// daemon share; by default each has its own.
func WithReadBudget(b *readbudget.Budget) HTTPOption { return func(h *HTTP) { h.readBudget = b } }

// HTTP sends calls to one searcher over the HTTP/1.1 protocol.
type HTTP struct {
	address       string
	clock         clock.Clock
	dial          func(ctx context.Context, address string) (net.Conn, error)
	maxReplyBytes int
	readBudget    *readbudget.Budget
	pool          *pool
	lastBoot      atomic.Pointer[string] // From the last health reply; nil before the first.
}

// NewHTTP returns an adapter for the searcher at address. It may not open any
// connection until Target.SetMaxConnections sets a limit above 0.
func NewHTTP(address string, opts ...HTTPOption) *HTTP {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	h := &HTTP{
		address:       address,
		clock:         clock.System{},
		maxReplyBytes: defaultMaxReplyBytes,
		readBudget:    readbudget.New(),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
	for _, opt := range opts {
		opt(h)
	}
	h.pool = newPool(0, h.readBudget, func(ctx context.Context) (net.Conn, error) { return h.dial(ctx, h.address) })
	return h
}

// NewHTTPTarget returns a Target that speaks HTTP/1.1 to the searcher s.
func NewHTTPTarget(s *catalogue.Searcher, opts ...HTTPOption) *Target {
	return NewHTTP(s.Address(), opts...).Target()
}

// Target returns a Target that is backed by h.
func (h *HTTP) Target() *Target {
	return NewTarget(TargetSpec{
		Send:              h.send,
		Health:            h.health,
		SetMaxConnections: h.pool.resize,
		OpenConnections:   h.pool.size,
		Close:             h.pool.close,
	})
}

func (h *HTTP) send(c Call, done func(Reply, *Failure)) func() {
	ctx, cancel := context.WithCancelCause(context.Background())
	timer := h.clock.AfterFunc(c.Deadline()-h.clock.Boot(), func() { cancel(context.DeadlineExceeded) })
	x := &exchange{h: h, call: c, ctx: ctx}
	go func() {
		reply, failure := x.run()
		timer.Stop()
		cancel(context.Canceled)
		done(reply, failure)
	}()
	return func() { cancel(context.Canceled) }
}

func (h *HTTP) health(done func(Health, *Failure)) {
	go func() {
		ctx, cancel := clock.WithDeadline(context.Background(), h.clock, h.clock.Boot()+controlTimeout)
		defer cancel()
		health, failure := h.fetchHealth(ctx, false)
		if failure != nil && failure.Fault() != FaultReply {
			// A silent or stale connection must not make a healthy searcher look
			// unreachable; retry over a new one.
			retryCtx, retryCancel := clock.WithDeadline(context.Background(), h.clock, h.clock.Boot()+controlTimeout)
			defer retryCancel()
			health, failure = h.fetchHealth(retryCtx, true)
		}
		if failure == nil {
			boot := health.Boot()
			h.lastBoot.Store(&boot)
		}
		done(health, failure)
	}()
}

// restarted requests the health of the searcher over a new connection. It
// reports whether the searcher does not answer, or is no longer the process
// that sent the last health reply.
func (h *HTTP) restarted() bool {
	ctx, cancel := clock.WithDeadline(context.Background(), h.clock, h.clock.Boot()+controlTimeout)
	defer cancel()
	health, failure := h.fetchHealth(ctx, true)
	if failure != nil {
		return true
	}
	known := h.lastBoot.Load()
	return known != nil && *known != health.Boot()
}
