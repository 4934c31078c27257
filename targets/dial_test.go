package targets_test

import (
	"context"
	"net"
	"sync/atomic"

	"medlaryard.example/medlaryard/standin/shards"
)

// countDials counts the connections that are made.
func countDials(n *atomic.Int64, e *shards.Emulator) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.Add(1)
		return e.Dial(ctx, address)
	}
}
