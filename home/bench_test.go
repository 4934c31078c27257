package home

import (
	"fmt"
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/searcher"
	"medlaryard.example/medlaryard/shard"
)

// benchSizes are the numbers of searchers in a group; BenchmarkQueue uses them
// for the length of the queue.
var benchSizes = []int{2, 4, 8, 16}

// BenchmarkPick measures one selection among the searchers of a group.
func BenchmarkPick(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fx := newFixture(fixtureSpec{seed: 1, shards: 1, replicas: n, slots: 2, daemons: 1, policy: catalogue.Current})
			fx.clk.run(time.Second)
			g := fx.sets[0].group(fx.group(0))
			t := &task{req: shard.NewRequest(shard.RequestSpec{Idempotent: true, Snapshot: 1})}
			b.ReportAllocs()
			for b.Loop() {
				if g.pick(t, fx.clk.now) == nil {
					b.Fatal("pick returned no searcher")
				}
			}
		})
	}
}

// BenchmarkQueue measures a dispatch round over a queue while no searcher has a
// free slot.
func BenchmarkQueue(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fx := newFixture(fixtureSpec{seed: 1, shards: 1, replicas: 2, slots: 2, daemons: 1, policy: catalogue.Current})
			fx.clk.run(time.Second)
			for range 4 + 2*n {
				fx.send(0, shard.RequestSpec{Idempotent: true, Snapshot: 1}, func(shard.Result) {})
			}
			g := fx.sets[0].group(fx.group(0))
			b.ReportAllocs()
			for b.Loop() {
				g.dispatch(fx.clk.now)
			}
			if g.queue.len() < n {
				b.Fatalf("%d tasks wait", g.queue.len())
			}
		})
	}
}

// BenchmarkDo measures a complete request at its home, with a searcher that
// replies at once.
func BenchmarkDo(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fx := newFixture(fixtureSpec{seed: 1, shards: 1, replicas: n, slots: 16, daemons: 1, policy: catalogue.Current})
			s := NewSet(WithTargetFactory(instantTarget))
			defer s.Close()
			s.Apply(NewAssignment(AssignmentSpec{Estate: fx.estate(), Shares: map[string]lease.Share{fx.group(0): lease.Full}}))
			deadline := s.clock.Boot() + time.Hour
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					req := shard.NewRequest(shard.RequestSpec{
						ID: "q", Service: "svc", Group: fx.group(0), Idempotent: true, Snapshot: 1, Deadline: deadline,
					})
					if r := s.Do(b.Context(), req); r.Kind() != refusal.None {
						b.Error(r.Kind(), r.Detail())
						return
					}
				}
			})
		})
	}
}

func instantTarget(*catalogue.Searcher) *searcher.Target {
	label := shard.NewLabel(shard.LabelSpec{Snapshot: 1, Map: "m", Low: 1, High: 2, Documents: 1, Total: 1})
	return searcher.NewTarget(searcher.TargetSpec{
		Send: func(_ searcher.Call, done func(searcher.Reply, *searcher.Failure)) func() {
			go done(searcher.NewReply(searcher.ReplySpec{Version: "v1", Label: label}), nil)
			return func() {}
		},
		Health: func(done func(searcher.Health, *searcher.Failure)) {
			go done(searcher.NewHealth(searcher.HealthSpec{State: searcher.Ready, Boot: "b", Labels: []shard.Label{label}}), nil)
		},
		SetMaxConnections: func(int) {},
		OpenConnections:   func() int { return 0 },
		Close:             func() {},
	})
}
