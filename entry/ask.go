package entry

import (
	"context"
	"math"
	"sync"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/shard"
)

const (
	// askSnapshot is a number that no searcher holds. A home refuses it
	// without a send and lists what the group holds.
	askSnapshot = math.MaxUint64
	// askFraction of the remaining time is spent at most on asking.
	askFraction = 0.25
)

// ask learns the labels of groups whose labels are unknown or old from their
// homes. Groups without an answer keep what is known of them.
func (s *search) ask(ctx context.Context) {
	batches := make(map[string]*batch)
	for i := range s.layout.shards {
		for _, g := range s.layout.shards[i].groups {
			if _, fresh := s.e.table.of(g); fresh {
				continue
			}
			h, acting, ok := s.e.pick(g, 0)
			if !ok {
				continue
			}
			if h.Self() {
				s.e.table.learn(g, s.e.fleet.Held(g))
				continue
			}
			b := batches[h.Name()]
			if b == nil {
				b = &batch{home: h}
				batches[h.Name()] = b
			}
			b.requests = append(b.requests, s.askRequest(s.layout.shards[i].shard, g, acting > 0))
		}
	}
	if len(batches) == 0 {
		return
	}
	now := s.e.clk.Boot()
	ctx, cancel := clock.WithDeadline(ctx, s.e.clk, now+fractionOf(s.deadline-now, askFraction))
	defer cancel()
	var wg sync.WaitGroup
	for _, b := range batches {
		wg.Go(func() { s.askHome(ctx, b) })
	}
	wg.Wait()
}

func (s *search) askHome(ctx context.Context, b *batch) {
	meter.Count("entry.ask.sent", 1)
	results, err := s.e.fleet.Relay(ctx, b.home, b.requests)
	if err != nil {
		meter.Count("entry.ask.failed", 1)
		s.e.reach.failed(b.home)
		return
	}
	s.e.reach.answered(b.home)
	for _, r := range results {
		if b.contains(r) && len(r.Held()) > 0 {
			s.e.table.learn(r.Group(), r.Held())
		}
	}
}

func (s *search) askRequest(name, group string, acting bool) shard.Request {
	return shard.NewRequest(shard.RequestSpec{
		ID: s.q.id, Owner: s.q.owner, Class: s.q.class, Service: s.q.service, Route: s.q.route,
		Shard: name, Group: group, Snapshot: askSnapshot, Deadline: s.deadline,
		Idempotent: true, Acting: acting,
	})
}
