package home

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/searcher"
	"medlaryard.example/medlaryard/shard"
)

func TestMain(m *testing.M) {
	invariant.FatalInTests()
	m.Run()
}

// fixtureSpec describes a service on fakes.
type fixtureSpec struct {
	seed     uint64
	shards   int
	replicas int
	slots    int
	daemons  int
	policy   catalogue.Policy
	versions []string // By replica; "v1" when absent.
	moves    []*catalogue.Move
}

// fixture is a sharded service on fakes, with its groups spread over several Sets,
// and an open-loop load.
type fixture struct {
	fixtureSpec
	c       *simClock
	r       *rand.Rand
	sets    []*Set
	fakes   map[string]*fake
	names   []string
	out     map[string]bool // Failure domains out of service.
	share   lease.Share
	crashes chan uint64
	runs    map[string]int
	lease   time.Duration
	lapses  bool // The lease is over at one read in 20, as another goroutine may end and renew it at any time.

	latency []time.Duration // Of complete answers.
	partial int
	late    int // Results after the deadline.
	kinds   map[refusal.Kind]int
}

func newFixture(spec fixtureSpec) *fixture {
	y := &fixture{
		fixtureSpec: spec, c: newSimClock(), r: rand.New(rand.NewPCG(spec.seed, 1)), fakes: make(map[string]*fake),
		out: make(map[string]bool), share: lease.Full, kinds: make(map[refusal.Kind]int), runs: make(map[string]int),
		crashes: make(chan uint64, 1000), lease: forever,
	}
	for range spec.daemons {
		y.sets = append(y.sets, NewSet(
			WithClock(y.c),
			WithRandom(rand.New(rand.NewPCG(spec.seed, 2))),
			WithLeaseEnd(func() time.Duration {
				if y.lapses && y.r.IntN(20) == 0 {
					return 0
				}
				return y.lease
			}),
			WithCrash(func(f uint64) { y.crashes <- f }),
			WithTargets(func(s *catalogue.Searcher) *searcher.Target {
				f := y.fakes[s.Name()]
				if f == nil {
					f = newFake(y.c, y.r, s, y.runs)
					if s.Domain() == y.near(s) {
						f.hop = simNear
					}
					y.fakes[s.Name()] = f
					y.names = append(y.names, s.Name())
				}
				return f.target()
			}),
		))
	}
	y.apply()
	return y
}

// near returns the failure domain in which the home of a searcher's group runs.
func (y *fixture) near(s *catalogue.Searcher) string {
	var i int
	if _, err := fmt.Sscanf(s.Name(), "s%02d", &i); err != nil {
		panic(err)
	}
	return fmt.Sprintf("d%d", i%y.replicas)
}

func (y *fixture) estate() catalogue.Estate {
	var shards []*catalogue.Shard
	for i := range y.shards {
		var searchers []*catalogue.Searcher
		for j := range y.replicas {
			version := "v1"
			if j < len(y.versions) {
				version = y.versions[j]
			}
			searchers = append(searchers, catalogue.NewSearcher(catalogue.SearcherSpec{
				EntrySpec: catalogue.EntrySpec{Name: fmt.Sprintf("s%02d-%d", i, j)},
				Domain:    fmt.Sprintf("d%d", j), Version: version, Slots: y.slots, Connections: 25, ColdLimit: 1,
			}))
		}
		shards = append(shards, catalogue.NewShard(catalogue.ShardSpec{
			EntrySpec: catalogue.EntrySpec{Name: fmt.Sprintf("%02d", i)}, Searchers: searchers,
		}))
	}
	var domains []*catalogue.Domain
	for j := range y.replicas {
		name := fmt.Sprintf("d%d", j)
		domains = append(domains, catalogue.NewDomain(catalogue.DomainSpec{
			EntrySpec: catalogue.EntrySpec{Name: name}, InService: !y.out[name],
		}))
	}
	return catalogue.NewEstate(catalogue.EstateSpec{
		Domains: domains,
		Services: []*catalogue.Service{catalogue.NewService(catalogue.ServiceSpec{
			EntrySpec: catalogue.EntrySpec{Name: "svc"}, Shards: shards, Policy: y.policy, GroupSize: 16,
			HedgeQuantile: 0.95, ExtraBudget: 0.05, PatienceFactor: 4, NonIdempotent: true, Moves: y.moves,
		})},
	})
}

// apply gives each group to one of the Sets in turn.
func (y *fixture) apply() {
	for n, set := range y.sets {
		shares := make(map[string]lease.Share)
		for i := range y.shards {
			if i%y.daemons == n {
				shares[y.group(i)] = y.share
			}
		}
		set.Apply(NewAssignment(AssignmentSpec{Estate: y.estate(), Shares: shares}))
	}
}

func (y *fixture) group(i int) string { return fmt.Sprintf("svc/%02d/0", i) }

// send starts one sub-request to a shard.
func (y *fixture) send(i int, spec shard.RequestSpec, reply func(shard.Result)) (*group, *task) {
	spec.Service, spec.Group, spec.Shard = "svc", y.group(i), fmt.Sprintf("%02d", i)
	if spec.Deadline == 0 {
		spec.Deadline = y.c.now + time.Second
	}
	return y.sets[i%y.daemons].start(shard.NewRequest(spec), func(r shard.Result) {
		y.kinds[r.Kind()]++
		if y.c.now > spec.Deadline {
			y.late++
		}
		reply(r)
	})
}

// query fans out to all shards and records the latency of a complete answer.
func (y *fixture) query() {
	start, left, complete := y.c.now, y.shards, true
	for i := range y.shards {
		y.send(i, shard.RequestSpec{ID: "q", Idempotent: true, Snapshot: 1}, func(r shard.Result) {
			complete = complete && r.Kind() == refusal.None
			if left--; left > 0 {
				return
			}
			if !complete {
				y.partial++
				return
			}
			y.latency = append(y.latency, y.c.now-start)
		})
	}
}

// load sends queries at a rate for d and then lets them end.
func (y *fixture) load(share float64, d time.Duration) {
	rate := share * float64(y.replicas*y.slots) / 0.010
	end := y.c.now + d
	var arrive func()
	arrive = func() {
		if y.c.now >= end {
			return
		}
		y.query()
		y.c.AfterFunc(time.Duration(y.r.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	y.c.run(d)
}

// take returns the latencies of complete answers since the last call.
func (y *fixture) take() []time.Duration {
	all := y.latency
	y.latency = nil
	return all
}

func (y *fixture) counts() (subs, extra int64) {
	for _, s := range y.sets {
		for _, v := range s.serviceList() {
			a, b := v.budget.counts()
			subs, extra = subs+a, extra+b
		}
	}
	return subs, extra
}
