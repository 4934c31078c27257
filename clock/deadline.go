package clock

import (
	"context"
	"time"
)

// WithDeadline returns a context that is cancelled with the cause
// context.DeadlineExceeded when c.Boot reaches deadline. Unlike
// context.WithDeadline, it works with a manual clock. The Err method of the context
// then returns context.Canceled, and its Deadline method does not report deadline.
func WithDeadline(ctx context.Context, c Clock, deadline time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := c.AfterFunc(deadline-c.Boot(), func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		t.Stop()
		cancel(context.Canceled)
	}
}
