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

// defaultTimeout bounds calls whose context reports no deadline, which includes the
// contexts of clock.WithDeadline.
const defaultTimeout = 10 * time.Second

// Client calls other daemons, whose addresses have the form host:port. The errors
// of all calls are refusals of kind refusal.HomeUnreachable. They are marked
// refusal.NotRun if the client could not establish a connection. Calls whose
// context reports no deadline time out after 10 s.
type Client struct {
	cfg     config
	mu      sync.Mutex
	remotes map[string]*remote
}

// NewClient returns a Client without connections. The caller must call Close.
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

// Relay sends sub-requests of one query to the home of their replica groups.
func (c *Client) Relay(ctx context.Context, address string, in *peerpb.RelayRequest) (*peerpb.RelayReply, error) {
	return call(ctx, c, address, peerpb.Peer.Relay, in)
}

// Heartbeat sends a heartbeat to the leader of the cell.
func (c *Client) Heartbeat(ctx context.Context, address string, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	return call(ctx, c, address, peerpb.Peer.Heartbeat, in)
}

// Sync exchanges configuration and membership with another daemon.
func (c *Client) Sync(ctx context.Context, address string, in *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	return call(ctx, c, address, peerpb.Peer.Sync, in)
}

// Release asks the previous home of replica groups to confirm that it stopped
// serving them.
func (c *Client) Release(ctx context.Context, address string, in *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	return call(ctx, c, address, peerpb.Peer.Release, in)
}

// Outcome asks for the outcome of a non-idempotent request.
func (c *Client) Outcome(ctx context.Context, address string, in *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	return call(ctx, c, address, peerpb.Peer.Outcome, in)
}

// Strike sends fingerprints of requests that crashed searchers.
func (c *Client) Strike(ctx context.Context, address string, in *peerpb.StrikeRequest) (*peerpb.StrikeReply, error) {
	return call(ctx, c, address, peerpb.Peer.Strike, in)
}

// Report sends evidence on version moves to the controller.
func (c *Client) Report(ctx context.Context, address string, in *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	return call(ctx, c, address, peerpb.Peer.Report, in)
}

// call calls method on the daemon at address and converts its error to a refusal.
func call[Q, R any](ctx context.Context, c *Client, address string, method func(peerpb.Peer, context.Context, Q) (R, error), in Q) (R, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = clock.WithDeadline(ctx, c.cfg.clock, c.cfg.clock.Boot()+defaultTimeout)
		defer cancel()
	}
	r := c.remote(address)
	out, err := method(r.stub, ctx, in)
	if err == nil {
		return out, nil
	}
	if ctx.Err() != nil {
		// The pool may offer an unresponsive connection to the next call, while a
		// new connection may still work.
		r.closeIdle()
	}
	meter.Count("peer.call.failed", 1)
	var zero R
	return zero, unreachableError(address, err)
}

// remote returns the connections to the daemon at address. It creates them at the
// first call and evicts others if there are maxRemotes.
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
	r.lastUsed.Store(int64(c.cfg.clock.Boot()))
	return r
}

// evictLocked removes the least recently used remote.
func (c *Client) evictLocked() {
	var oldest string
	for a, r := range c.remotes {
		if o := c.remotes[oldest]; o == nil || r.lastUsed.Load() < o.lastUsed.Load() {
			oldest = a
		}
	}
	c.remotes[oldest].closeIdle()
	delete(c.remotes, oldest)
}

// unreachableError converts an error of a call to a refusal. Only a failed dial
// proves that the call did not run.
func unreachableError(address string, err error) error {
	e := refusal.New(refusal.HomeUnreachable, "peer %s: %v", address, err)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return e.WithRan(refusal.NotRun)
	}
	return e
}
