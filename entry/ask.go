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
	now := s.e.clk.Boot()
	var before, beside []*batch
	for i := range s.layout.shards {
		for _, g := range s.layout.shards[i].groups {
			switch s.e.table.claim(g) {
			case wait:
				before = s.askGroup(before, s.layout.shards[i].shard, g)
			case refresh:
				beside = s.askGroup(beside, s.layout.shards[i].shard, g)
			}
		}
	}
	for _, b := range beside {
		go func() {
			ctx, cancel := clock.WithDeadline(context.Background(), s.e.clk, s.deadline)
			defer cancel()
			s.askHome(ctx, b)
		}()
	}
	if len(before) == 0 {
		return
	}
	ctx, cancel := clock.WithDeadline(ctx, s.e.clk, now+fractionOf(s.deadline-now, askFraction))
	defer cancel()
	var wg sync.WaitGroup
	for _, b := range before {
		wg.Go(func() { s.askHome(ctx, b) })
	}
	wg.Wait()
}

// askGroup adds a group to the batch of its home, or reads this daemon's own.
func (s *search) askGroup(batches []*batch, name, group string) []*batch {
	h, acting, ok := s.e.pick(group, nil)
	if !ok {
		return batches
	}
	if h.Self() {
		if labels := s.e.fleet.AvailableSnapshots(group); len(labels) > 0 {
			s.e.table.learn(group, labels)
		}
		return batches
	}
	return join(batches, h, 0, s.askRequest(name, group, acting))
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
		if b.contains(r) && len(r.AvailableSnapshots()) > 0 {
			s.e.table.learn(r.Group(), r.AvailableSnapshots())
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
