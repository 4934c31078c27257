package home

import (
	"context"
	"fmt"
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// storm drives one Set with requests of all kinds while faults and changes come
// in random order.
type storm struct {
	*fixture
	t       *testing.T
	sent    int
	results int
	notRun  []string
	once    []string
}

const stormRun = 40 * time.Second

func newStorm(t *testing.T, seed uint64) *storm {
	move := catalogue.NewMove(catalogue.MoveSpec{EntrySpec: catalogue.EntrySpec{Name: "m"}, From: "v1", To: "v2"})
	return &storm{t: t, fixture: newFixture(fixtureSpec{
		seed: seed, shards: 3, replicas: 3, slots: 3, daemons: 1, policy: catalogue.Current,
		versions: []string{"v1", "v1", "v2"}, moves: []*catalogue.Move{move},
	})}
}

func (s *storm) request() {
	id := fmt.Sprintf("r%d", s.sent)
	s.sent++
	spec := shard.RequestSpec{
		ID: id, Idempotent: s.r.IntN(3) > 0, Suspect: s.r.IntN(50) == 0, Acting: s.r.IntN(2) == 0,
		Snapshot: uint64(s.r.IntN(3)), Fingerprint: uint64(s.sent),
		Deadline: s.c.now + time.Duration(20+s.r.IntN(1000))*time.Millisecond,
	}
	if s.r.IntN(4) == 0 {
		spec.Class = catalogue.Batch
	}
	if s.r.IntN(400) == 0 {
		spec.Route = "poison"
	}
	if !spec.Idempotent || spec.Suspect {
		s.once = append(s.once, id)
	}
	g, task := s.send(s.r.IntN(s.shards), spec, func(r shard.Result) {
		s.results++
		if r.Ran() == refusal.NotRun {
			s.notRun = append(s.notRun, id)
		}
	})
	if g != nil && s.r.IntN(30) == 0 {
		s.c.AfterFunc(time.Duration(s.r.IntN(50))*time.Millisecond, func() {
			g.withdraw(task)
		})
	}
}

// trouble makes one random change.
func (s *storm) trouble() {
	f := s.fakes[s.names[s.r.IntN(len(s.names))]]
	on := s.r.IntN(3) == 0
	switch s.r.IntN(14) {
	case 0:
		f.cold, f.coldSlow = on, 4
	case 1:
		f.refuseAll = on
	case 2:
		if !f.dead {
			f.crash()
		}
	case 3:
		f.silent = on
	case 4:
		f.stale = on
	case 5:
		f.draining, f.drainAt = on, s.c.now
	case 6:
		f.lying = on && !f.draining
	case 7:
		f.wrongLabel = on
	case 8:
		f.slow = []float64{1, 10}[s.r.IntN(2)]
	case 9:
		f.snapshots = [][]uint64{{1}, {1, 2}, {2}}[s.r.IntN(3)]
	case 10:
		s.out[f.spec.Domain()] = true
		s.apply()
		s.c.AfterFunc(time.Second, func() {
			s.out[f.spec.Domain()] = false
			s.apply()
		})
	case 11:
		s.sets[0].SetMoveShare("svc", "m", []float64{0, 0.01, 0.25, 0.5, 1}[s.r.IntN(5)])
	case 12:
		s.share = []lease.Share{lease.None, lease.Acting, lease.Reserved, lease.Full, lease.Full}[s.r.IntN(5)]
		s.c.AfterFunc(time.Second, func() {
			s.share = lease.Full
			s.apply()
		})
		s.policy = []catalogue.Policy{catalogue.Baseline, catalogue.Current, catalogue.Current}[s.r.IntN(3)]
		s.apply()
	case 13:
		s.handOver()
	}
}

// handOver releases a group and becomes its home again, as in two epochs.
func (s *storm) handOver() {
	id := s.group(s.r.IntN(s.shards))
	over, cancel := context.WithCancel(context.Background())
	cancel()
	released := s.sets[0].Release(over, []string{id})
	s.share = lease.None
	s.apply()
	s.share = lease.Full
	s.c.AfterFunc(100*time.Millisecond, func() {
		for _, r := range released {
			s.sets[0].ImportEstimates(id, r)
		}
		s.apply()
	})
}

func (s *storm) every(mean time.Duration, f func()) {
	end := s.c.now + stormRun
	var step func()
	step = func() {
		if s.c.now < end {
			f()
			s.c.AfterFunc(time.Duration(s.r.ExpFloat64()*float64(mean)), step)
		}
	}
	step()
}

func (s *storm) check() {
	if s.results != s.sent || s.late > 0 {
		s.t.Errorf("%d results of %d requests, %d late", s.results, s.sent, s.late)
	}
	if s.kinds[refusal.None] < s.sent/10 {
		s.t.Errorf("only %d of %d requests were answered", s.kinds[refusal.None], s.sent)
	}
	for _, id := range s.once {
		if s.runs[id] > 1 {
			s.t.Errorf("request %s ran %d times", id, s.runs[id])
		}
	}
	for _, id := range s.notRun {
		if s.runs[id] > 0 {
			s.t.Errorf("request %s ran though it was refused as not run", id)
		}
	}
	for _, name := range s.names {
		if f := s.fakes[name]; f.lateWork > 0 {
			s.t.Errorf("searcher %s got %d requests 3 s after its drain", name, f.lateWork)
		}
	}
	for _, g := range s.sets[0].Status() {
		if g.Queued() != 0 || g.InFlight() != 0 {
			s.t.Errorf("group %s is left with %d queued and %d in flight", g.ID(), g.Queued(), g.InFlight())
		}
	}
}

// Guards against any order of faults and changes that breaks an invariant of
// the home, loses a result, runs a request twice or misstates that it ran.
func TestStorm(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newStorm(t, seed)
			for _, f := range s.fakes {
				f.poison = "poison"
			}
			s.every(4*time.Millisecond, s.request)
			s.every(200*time.Millisecond, s.trouble)
			s.c.run(stormRun + 5*time.Second)
			s.check()
			t.Logf("%d requests, results %v", s.sent, s.kinds)
		})
	}
}
