package clock

import (
	"context"
	"time"
)

// Sleep waits for d, measured on c. If ctx ends first, it returns the error of
// ctx.
func Sleep(ctx context.Context, c Clock, d time.Duration) error {
	t := c.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
