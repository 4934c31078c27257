package clock

import (
	"context"
	"time"
)

// WithDeadline returns a context that ends with context.DeadlineExceeded as its
// cause when c.Boot reaches the deadline. It replaces context.WithDeadline
// where a test controls the clock.
func WithDeadline(ctx context.Context, c Clock, deadline time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := c.AfterFunc(deadline-c.Boot(), func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		t.Stop()
		cancel(context.Canceled)
	}
}
