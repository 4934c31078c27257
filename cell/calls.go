package cell

import (
	"context"

	"medlaryard.example/medlaryard/peer/peerpb"
)

// Calls are the peer calls that a Cell makes, by host:port. The methods of
// peer.Client fit.
type Calls struct {
	Heartbeat func(ctx context.Context, address string, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error)
	Sync      func(ctx context.Context, address string, in *peerpb.SyncRequest) (*peerpb.SyncReply, error)
	Release   func(ctx context.Context, address string, in *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error)
}
