package cell

import (
	"context"

	"medlaryard.example/medlaryard/peer/peerpb"
)

// Calls are the peer calls that a Cell makes. Each address is a host:port. The
// methods of peer.Client have these signatures.
type Calls struct {
	Heartbeat func(ctx context.Context, address string, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error)
	Sync      func(ctx context.Context, address string, in *peerpb.SyncRequest) (*peerpb.SyncReply, error)
	Release   func(ctx context.Context, address string, in *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error)
}
