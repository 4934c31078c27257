package clientbudget

import (
	"context"

	"medlaryard.example/medlaryard/clock"
)

// Run closes connections without progress until ctx ends.
func (b *Budget) Run(ctx context.Context) {
	for clock.Sleep(ctx, b.clock, sweepInterval) == nil {
		b.sweep()
	}
}
