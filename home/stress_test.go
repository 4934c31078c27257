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

// stressRun drives one Set with requests of all kinds, while faults and
// configuration changes happen in random order.
type stressRun struct {
	*fixture
	t          *testing.T
	sent       int
	results    int
	notRun     []string
	atMostOnce []string
}

const stressDuration = 40 * time.Second

func newStressRun(t *testing.T, seed uint64) *stressRun {
	move := catalogue.NewMove(catalogue.MoveSpec{EntrySpec: catalogue.EntrySpec{Name: "m"}, From: "v1", To: "v2"})
	return &stressRun{t: t, fixture: newFixture(fixtureSpec{
		seed: seed, shards: 3, replicas: 3, slots: 3, daemons: 1, policy: catalogue.Current,
		versions: []string{"v1", "v1", "v2"}, moves: []*catalogue.Move{move},
	})}
}

func (s *stressRun) request() {
	id := fmt.Sprintf("r%d", s.sent)
	s.sent++
	spec := shard.RequestSpec{
		ID: id, Idempotent: s.rng.IntN(3) > 0, Suspect: s.rng.IntN(50) == 0, Acting: s.rng.IntN(2) == 0,
		Snapshot: uint64(s.rng.IntN(3)), Fingerprint: uint64(s.sent),
		Deadline: s.clk.now + time.Duration(20+s.rng.IntN(1000))*time.Millisecond,
	}
	if s.rng.IntN(4) == 0 {
		spec.Class = catalogue.Batch
	}
	if s.rng.IntN(400) == 0 {
		spec.Route = "poison"
	}
	if !spec.Idempotent || spec.Suspect {
		s.atMostOnce = append(s.atMostOnce, id)
	}
	g, task := s.send(s.rng.IntN(s.shards), spec, func(r shard.Result) {
		s.results++
		if r.Ran() == refusal.NotRun {
			s.notRun = append(s.notRun, id)
		}
	})
	if g != nil && s.rng.IntN(30) == 0 {
		s.clk.AfterFunc(time.Duration(s.rng.IntN(50))*time.Millisecond, func() {
			g.cancel(task)
		})
	}
}

// injectFault makes one random change: a fault, a recovery or a new
// configuration.
func (s *stressRun) injectFault() {
	f := s.fakes[s.names[s.rng.IntN(len(s.names))]]
	on := s.rng.IntN(3) == 0
	switch s.rng.IntN(14) {
	case 0:
		f.cold, f.coldSlowdown = on, 4
	case 1:
		f.refuseAll = on
	case 2:
		if !f.dead {
			f.crash()
		}
	case 3:
		f.silent = on
	case 4:
		f.staleConnections = on
	case 5:
		f.draining, f.drainAt = on, s.clk.now
	case 6:
		f.claimsReady = on && !f.draining
	case 7:
		f.wrongLabel = on
	case 8:
		f.slowdown = []float64{1, 10}[s.rng.IntN(2)]
	case 9:
		f.snapshots = [][]uint64{{1}, {1, 2}, {2}}[s.rng.IntN(3)]
	case 10:
		s.domainsOut[f.spec.Domain()] = true
		s.apply()
		s.clk.AfterFunc(time.Second, func() {
			s.domainsOut[f.spec.Domain()] = false
			s.apply()
		})
	case 11:
		s.sets[0].SetMoveShare("svc", "m", []float64{0, 0.01, 0.25, 0.5, 1}[s.rng.IntN(5)])
	case 12:
		s.share = []lease.Share{lease.None, lease.Acting, lease.Reserved, lease.Full, lease.Full}[s.rng.IntN(5)]
		s.clk.AfterFunc(time.Second, func() {
			s.share = lease.Full
			s.apply()
		})
		s.policy = []catalogue.Policy{catalogue.Baseline, catalogue.Current, catalogue.Current}[s.rng.IntN(3)]
		s.apply()
	case 13:
		s.handoff()
	}
}

// handoff releases a group and later makes the Set its home again, as in two
// epochs.
func (s *stressRun) handoff() {
	id := s.group(s.rng.IntN(s.shards))
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	released := s.sets[0].Release(expired, []string{id})
	s.share = lease.None
	s.apply()
	s.share = lease.Full
	s.clk.AfterFunc(100*time.Millisecond, func() {
		for _, r := range released {
			s.sets[0].ImportEstimates(id, r)
		}
		s.apply()
	})
}

func (s *stressRun) every(mean time.Duration, f func()) {
	end := s.clk.now + stressDuration
	var step func()
	step = func() {
		if s.clk.now < end {
			f()
			s.clk.AfterFunc(time.Duration(s.rng.ExpFloat64()*float64(mean)), step)
		}
	}
	step()
}

func (s *stressRun) check() {
	if s.results != s.sent || s.late > 0 {
		s.t.Errorf("%d results of %d requests, %d late", s.results, s.sent, s.late)
	}
	if s.kinds[refusal.None] < s.sent/10 {
		s.t.Errorf("only %d of %d requests were answered", s.kinds[refusal.None], s.sent)
	}
	for _, id := range s.atMostOnce {
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
		if f := s.fakes[name]; f.afterDrain > 0 {
			s.t.Errorf("searcher %s got %d requests 3 s after its drain", name, f.afterDrain)
		}
	}
	for _, g := range s.sets[0].Status() {
		if g.Queued() != 0 || g.InFlight() != 0 {
			s.t.Errorf("group %s is left with %d queued and %d in flight", g.ID(), g.Queued(), g.InFlight())
		}
	}
}

// Guards against orders of faults and changes that break an invariant of the
// home, lose a result, run a non-idempotent request twice, or report a request
// that ran as not run.
func TestStorm(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newStressRun(t, seed)
			for _, f := range s.fakes {
				f.poison = "poison"
			}
			s.every(4*time.Millisecond, s.request)
			s.every(200*time.Millisecond, s.injectFault)
			s.clk.run(stressDuration + 5*time.Second)
			s.check()
			t.Logf("%d requests, results %v", s.sent, s.kinds)
		})
	}
}
