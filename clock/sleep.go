package clock

import (
	"context"
	"time"
)

// Sleep waits for d on c and returns early with the error of ctx when it ends.
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
