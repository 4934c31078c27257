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
	// labelQuerySnapshot is a snapshot number that no searcher holds. A home
	// refuses a request for it without sending it to a searcher, and lists the
	// group's snapshots.
	labelQuerySnapshot = math.MaxUint64
	// labelQueryFraction is the largest fraction of a query's remaining time
	// that is spent on label requests before the plan.
	labelQueryFraction = 0.25
)

// refreshLabels requests unknown or old labels from the homes of the groups. It
// waits only for labels that the plan needs. A group keeps its previous labels
// if its home does not answer.
func (s *search) refreshLabels(ctx context.Context) {
	now := s.e.clk.Boot()
	var blocking, background []*batch
	for i := range s.layout.shards {
		for _, g := range s.layout.shards[i].groups {
			switch s.e.labels.claimRefresh(g) {
			case refreshBeforePlan:
				blocking = s.addLabelRequest(blocking, s.layout.shards[i].shard, g)
			case refreshInBackground:
				background = s.addLabelRequest(background, s.layout.shards[i].shard, g)
			}
		}
	}
	for _, b := range background {
		go func() {
			ctx, cancel := clock.WithDeadline(context.Background(), s.e.clk, s.deadline)
			defer cancel()
			s.fetchLabels(ctx, b)
		}()
	}
	if len(blocking) == 0 {
		return
	}
	ctx, cancel := clock.WithDeadline(ctx, s.e.clk, now+fractionOf(s.deadline-now, labelQueryFraction))
	defer cancel()
	var wg sync.WaitGroup
	for _, b := range blocking {
		wg.Go(func() { s.fetchLabels(ctx, b) })
	}
	wg.Wait()
}

// addLabelRequest adds a group to the batch of its home. If this daemon is the
// home, it updates the labels at once instead.
func (s *search) addLabelRequest(batches []*batch, name, group string) []*batch {
	h, acting, ok := s.e.pickHome(group, nil)
	if !ok {
		return batches
	}
	if h.Self() {
		if labels := s.e.fleet.AvailableSnapshots(group); len(labels) > 0 {
			s.e.labels.update(group, labels)
		}
		return batches
	}
	return addToBatch(batches, h, 0, s.labelRequest(name, group, acting))
}

func (s *search) fetchLabels(ctx context.Context, b *batch) {
	meter.Count("entry.ask.sent", 1)
	results, err := s.e.fleet.Relay(ctx, b.home, b.requests)
	if err != nil {
		meter.Count("entry.ask.failed", 1)
		s.e.reachability.recordFailure(b.home)
		return
	}
	s.e.reachability.recordSuccess(b.home)
	for _, r := range results {
		if b.contains(r) && len(r.AvailableSnapshots()) > 0 {
			s.e.labels.update(r.Group(), r.AvailableSnapshots())
		}
	}
}

func (s *search) labelRequest(name, group string, acting bool) shard.Request {
	return shard.NewRequest(shard.RequestSpec{
		ID: s.q.id, Owner: s.q.owner, Class: s.q.class, Service: s.q.service, Route: s.q.route,
		Shard: name, Group: group, Snapshot: labelQuerySnapshot, Deadline: s.deadline,
		Idempotent: true, Acting: acting,
	})
}
