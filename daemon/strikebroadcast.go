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
	// strikeQueue bounds the strikes that wait to be told.
	strikeQueue = 1024
	// strikeTimeout bounds one call.
	strikeTimeout = time.Second
	// repeatInterval is the time between repetitions for daemons that missed a
	// strike or have started since.
	repeatInterval = 10 * time.Second
	// repeatStrikes bounds a repetition, about 5 KB.
	repeatStrikes = 256
)

// strikeBroadcast tells the other daemons of the cell about crashes.
type strikeBroadcast struct {
	client *peer.Client
	others func() []entry.Home
	queue  chan []*peerpb.CrashStrike
}

func newStrikeBroadcast(client *peer.Client, others func() []entry.Home) *strikeBroadcast {
	return &strikeBroadcast{client: client, others: others, queue: make(chan []*peerpb.CrashStrike, strikeQueue)}
}

// tell queues strikes. It never blocks; what does not fit is repeated later.
func (h *strikeBroadcast) tell(strikes []*peerpb.CrashStrike) {
	select {
	case h.queue <- strikes:
	default:
		meter.Count("daemon.strike.deferred", 1)
	}
}

func (h *strikeBroadcast) run(ctx context.Context, clk clock.Clock, s *admission.Suspects) {
	t := clk.NewTimer(repeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case strikes := <-h.queue:
			h.send(ctx, strikes)
		case <-t.C():
			t.Reset(repeatInterval)
			if strikes := s.CrashReports(repeatStrikes); len(strikes) > 0 {
				h.send(ctx, strikes)
			}
		}
	}
}

// send calls all daemons at once and waits for them.
func (h *strikeBroadcast) send(ctx context.Context, strikes []*peerpb.CrashStrike) {
	ctx, cancel := context.WithTimeout(ctx, strikeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, other := range h.others() {
		wg.Go(func() {
			if _, err := h.client.Strike(ctx, other.PeerAddress(), &peerpb.StrikeRequest{Strikes: strikes}); err != nil {
				meter.Count("daemon.strike.failed", 1)
			}
		})
	}
	wg.Wait()
}

func microseconds(n int64) time.Duration { return time.Duration(max(0, n)) * time.Microsecond }
