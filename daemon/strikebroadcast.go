package daemon

import (
	"context"
	"sync"
	"time"

	"medlaryard.example/medlaryard/admission"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/entry"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer"
	"medlaryard.example/medlaryard/peer/peerpb"
)

const (
	// strikeQueueLength is the maximum number of queued broadcasts.
	strikeQueueLength = 1024
	// strikeTimeout is the timeout of one broadcast.
	strikeTimeout = time.Second
	// repeatInterval is the time between repeated broadcasts. They reach daemons that
	// missed a strike or started after it.
	repeatInterval = 10 * time.Second
	// maxRepeatedStrikes is the maximum number of strikes in a repeated broadcast,
	// about 5 KB.
	maxRepeatedStrikes = 256
)

// strikeBroadcast sends crash strikes to the other daemons of the cell.
type strikeBroadcast struct {
	client *peer.Client
	others func() []entry.Home
	queue  chan []*peerpb.CrashStrike
}

func newStrikeBroadcast(client *peer.Client, others func() []entry.Home) *strikeBroadcast {
	return &strikeBroadcast{client: client, others: others, queue: make(chan []*peerpb.CrashStrike, strikeQueueLength)}
}

// enqueue queues strikes without blocking. If the queue is full, they are sent with a
// later repeated broadcast.
func (b *strikeBroadcast) enqueue(strikes []*peerpb.CrashStrike) {
	select {
	case b.queue <- strikes:
	default:
		meter.Count("daemon.strike.deferred", 1)
	}
}

func (b *strikeBroadcast) run(ctx context.Context, clk clock.Clock, s *admission.Suspects) {
	t := clk.NewTimer(repeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case strikes := <-b.queue:
			b.send(ctx, strikes)
		case <-t.C():
			t.Reset(repeatInterval)
			if strikes := s.CrashReports(maxRepeatedStrikes); len(strikes) > 0 {
				b.send(ctx, strikes)
			}
		}
	}
}

// send calls all other daemons concurrently and waits for the calls to end.
func (b *strikeBroadcast) send(ctx context.Context, strikes []*peerpb.CrashStrike) {
	ctx, cancel := context.WithTimeout(ctx, strikeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, other := range b.others() {
		wg.Go(func() {
			if _, err := b.client.Strike(ctx, other.PeerAddress(), &peerpb.StrikeRequest{Strikes: strikes}); err != nil {
				meter.Count("daemon.strike.failed", 1)
			}
		})
	}
	wg.Wait()
}

// microseconds converts a count of microseconds to a duration. A negative count
// becomes 0.
func microseconds(n int64) time.Duration { return time.Duration(max(0, n)) * time.Microsecond }
