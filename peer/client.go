package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/refusal"
)

// defaultTime bounds calls whose context has no deadline of its own.
const defaultTime = 10 * time.Second

// Client calls other daemons by host:port. Its errors are refusals of kind
// HomeUnreachable, not run when no connection was made.
type Client struct {
	cfg     config
	mu      sync.Mutex
	remotes map[string]*remote
}

// NewClient returns a Client; Close ends its connections.
func NewClient(opts ...Option) *Client {
	return &Client{cfg: newConfig(opts), remotes: make(map[string]*remote)}
}

// Close closes the connections that no call uses.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.remotes {
		r.closeIdle()
	}
	c.remotes = make(map[string]*remote)
}

// Relay sends the sub-requests of one query to their home.
func (c *Client) Relay(ctx context.Context, address string, in *peerpb.RelayRequest) (*peerpb.RelayReply, error) {
	return call(ctx, c, address, peerpb.Peer.Relay, in)
}

// Heartbeat reports to the cell keeper.
func (c *Client) Heartbeat(ctx context.Context, address string, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	return call(ctx, c, address, peerpb.Peer.Heartbeat, in)
}

// Sync exchanges configuration and membership.
func (c *Client) Sync(ctx context.Context, address string, in *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	return call(ctx, c, address, peerpb.Peer.Sync, in)
}

// Release asks the previous home to confirm that it stopped.
func (c *Client) Release(ctx context.Context, address string, in *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	return call(ctx, c, address, peerpb.Peer.Release, in)
}

// Outcome asks for the fate of a non-idempotent request.
func (c *Client) Outcome(ctx context.Context, address string, in *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	return call(ctx, c, address, peerpb.Peer.Outcome, in)
}

// Strike spreads fingerprints of requests that crashed searchers.
func (c *Client) Strike(ctx context.Context, address string, in *peerpb.StrikeRequest) (*peerpb.StrikeReply, error) {
	return call(ctx, c, address, peerpb.Peer.Strike, in)
}

// Report gives evidence on version moves to the controller.
func (c *Client) Report(ctx context.Context, address string, in *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	return call(ctx, c, address, peerpb.Peer.Report, in)
}

func call[Q, R any](ctx context.Context, c *Client, address string, method func(peerpb.Peer, context.Context, Q) (R, error), in Q) (R, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = clock.WithDeadline(ctx, c.cfg.clk, c.cfg.clk.Boot()+defaultTime)
		defer cancel()
	}
	r := c.remote(address)
	out, err := method(r.stub, ctx, in)
	if err == nil {
		return out, nil
	}
	if ctx.Err() != nil {
		// A connection that went silent is idle again for the pool's other
		// calls; new connections may still work.
		r.closeIdle()
	}
	meter.Count("peer.call.failed", 1)
	var none R
	return none, unreachable(address, err)
}

func (c *Client) remote(address string) *remote {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.remotes[address]
	if r == nil {
		if len(c.remotes) >= maxRemotes {
			c.evictLocked()
		}
		r = newRemote(c.cfg, address)
		c.remotes[address] = r
	}
	r.used.Store(int64(c.cfg.clk.Boot()))
	return r
}

func (c *Client) evictLocked() {
	var oldest string
	for a, r := range c.remotes {
		if o := c.remotes[oldest]; o == nil || r.used.Load() < o.used.Load() {
			oldest = a
		}
	}
	c.remotes[oldest].closeIdle()
	delete(c.remotes, oldest)
}

func unreachable(address string, err error) error {
	e := refusal.New(refusal.HomeUnreachable, "peer %s: %v", address, err)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return e.WithRan(refusal.NotRun)
	}
	return e
}
