package targets_test

import (
	"context"
	"net"
	"sync/atomic"

	"medlaryard.example/medlaryard/standin/shards"
)

// countingDialer returns a dial function that counts connection attempts.
func countingDialer(n *atomic.Int64, e *shards.Emulator) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.Add(1)
		return e.Dial(ctx, address)
	}
}
