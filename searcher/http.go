package searcher

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
)

const (
	// defaultReplyLimit bounds a reply in bytes.
	defaultReplyLimit = 4 << 20
	// connectTimeout is far above the 6 ms that a new connection takes.
	connectTimeout = 250 * time.Millisecond
	// sideTimeout bounds health requests, tests of a connection and cancellations.
	sideTimeout = 250 * time.Millisecond
)

// HTTPOption changes how NewHTTP builds an adapter.
type HTTPOption func(*HTTP)

// WithClock replaces the clock of the machine.
func WithClock(c clock.Clock) HTTPOption { return func(h *HTTP) { h.clock = c } }

// WithDial replaces TCP.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) HTTPOption {
	return func(h *HTTP) { h.dial = dial }
}

// WithReplyLimit sets the largest reply in bytes.
func WithReplyLimit(n int) HTTPOption { return func(h *HTTP) { h.replyLimit = n } }

// HTTP is the adapter for the HTTP/1.1 target protocol.
type HTTP struct {
	address    string
	clock      clock.Clock
	dial       func(ctx context.Context, address string) (net.Conn, error)
	replyLimit int
	pool       *pool
	boot       atomic.Pointer[string] // From the last health answer; nil before the first.
}

// NewHTTP returns an adapter without connections; Resize permits the first.
func NewHTTP(address string, opts ...HTTPOption) *HTTP {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	h := &HTTP{
		address:    address,
		clock:      clock.System{},
		replyLimit: defaultReplyLimit,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
	for _, opt := range opts {
		opt(h)
	}
	h.pool = newPool(0, func(ctx context.Context) (net.Conn, error) { return h.dial(ctx, h.address) })
	return h
}

// NewTargetOf returns a Target that speaks HTTP/1.1 to the searcher s.
func NewTargetOf(s *catalogue.Searcher, opts ...HTTPOption) *Target {
	return NewHTTP(s.Address(), opts...).Target()
}

// Target returns the adapter behind the seam that homes use.
func (h *HTTP) Target() *Target {
	return NewTarget(TargetSpec{
		Send:   h.send,
		Health: h.health,
		Resize: h.pool.resize,
		Open:   h.pool.size,
		Close:  h.pool.close,
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
		ctx, cancel := clock.WithDeadline(context.Background(), h.clock, h.clock.Boot()+sideTimeout)
		defer cancel()
		health, failure := h.ask(ctx, false)
		if failure != nil && failure.Fault() != FaultReply {
			// A silent or stale connection must not make a sound searcher look lost.
			again, stop := clock.WithDeadline(context.Background(), h.clock, h.clock.Boot()+sideTimeout)
			defer stop()
			health, failure = h.ask(again, true)
		}
		if failure == nil {
			boot := health.Boot()
			h.boot.Store(&boot)
		}
		done(health, failure)
	}()
}

// restarted asks over a new connection whether the searcher still is the
// process that the last health answer came from.
func (h *HTTP) restarted() bool {
	ctx, cancel := clock.WithDeadline(context.Background(), h.clock, h.clock.Boot()+sideTimeout)
	defer cancel()
	health, failure := h.ask(ctx, true)
	if failure != nil {
		return true
	}
	known := h.boot.Load()
	return known != nil && *known != health.Boot()
}
