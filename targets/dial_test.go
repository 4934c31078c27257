package targets_test

import (
	"context"
	"net"

	"medlaryard.example/medlaryard/standin/shards"
)

// countDials counts the connections that are made.
func countDials(n *int, e *shards.Emulator) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		*n++
		return e.Dial(ctx, address)
	}
}
