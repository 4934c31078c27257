package move

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock/clocktest"
	"medlaryard.example/medlaryard/invariant"
)

const (
	tickInterval = time.Second
	homeCount    = 3
	// A version must be rolled back within maxDetectionTime after its fault has
	// occurred in detectionThreshold requests.
	detectionThreshold = 20
	maxDetectionTime   = 3 * time.Second
)

func TestMain(m *testing.M) {
	zerolog.SetGlobalLevel(zerolog.Disabled)
	invariant.PanicOnViolation()
	os.Exit(m.Run())
}

// seeds returns the number of seeds of a test: MEDLARYARD_SEEDS if set, else n.
func seeds(n uint64) uint64 {
	if more, err := strconv.ParseUint(os.Getenv("MEDLARYARD_SEEDS"), 10, 32); err == nil {
		return more
	}
	return n
}

// rollout runs one declared move against simulated homes: followers that send
// ratePerTick requests each second and report to the active controller. The
// function respond sets the latency and the result of each request.
type rollout struct {
	clock              *clocktest.Manual
	store              *fakeStore
	rng                *rand.Rand
	estate             catalogue.Estate
	move               *catalogue.Move
	ctl                *Controller
	followers          []*Follower
	share              []float64
	evidence           []map[[2]string]*Sample
	tokens             int
	newVersionRequests int
	totalRequests      int
	faultyRequests     int           // Requests in which the fault occurred.
	thresholdReachedAt time.Duration // When faultyRequests reached detectionThreshold.
	respond            func(r *rollout, version, route string, share float64) (latencyUs int64, failed bool)
	ratePerTick        int
}

func newRollout(seed uint64, respond func(*rollout, string, string, float64) (int64, bool)) *rollout {
	r := &rollout{
		clock: clocktest.New(), store: newFakeStore(seed), rng: rand.New(rand.NewPCG(seed, 2)),
		share: make([]float64, homeCount), respond: respond, ratePerTick: 60,
	}
	start := r.clock.Now()
	r.move = catalogue.NewMove(catalogue.MoveSpec{
		EntrySpec: catalogue.EntrySpec{Name: "to-v2"}, From: "v1", To: "v2",
		Start: start, FinishBy: start.Add(10 * time.Minute), MaxShare: 0.05,
		MaxErrorRatio: 0.02, MaxLatencyRatio: 1.5, MinEvidence: 200,
	})
	r.estate = catalogue.NewEstate(catalogue.EstateSpec{Generation: 1, Services: []*catalogue.Service{
		catalogue.NewService(catalogue.ServiceSpec{EntrySpec: catalogue.EntrySpec{Name: "case-finder"}, Moves: []*catalogue.Move{r.move}}),
	}})
	for i := range homeCount {
		r.followers = append(r.followers, NewFollower(r.clock, func(_, _ string, share float64) { r.share[i] = share }))
		r.followers[i].Declare(r.estate)
		r.evidence = append(r.evidence, make(map[[2]string]*Sample))
	}
	r.replaceController()
	return r
}

func (r *rollout) replaceController() {
	r.ctl = NewController(r.clock, r.store, func() string {
		r.tokens++
		return fmt.Sprint(r.tokens)
	})
}

func (r *rollout) tick() {
	r.clock.Advance(tickInterval)
	for i, f := range r.followers {
		r.serve(i)
		var all []Evidence
		for key, s := range r.evidence[i] {
			all = append(all, NewEvidence("case-finder", key[0], key[1], s.Clone()))
		}
		f.Observe(all)
		for _, stop := range f.Stops() {
			r.ctl.RecordStop(stop.Service(), stop.Move(), stop.To(), stop.Reason())
		}
		r.ctl.Report(fmt.Sprint(i), all)
	}
	_ = r.ctl.Step(context.Background(), r.estate)
	for _, s := range r.ctl.States() {
		for _, f := range r.followers {
			f.Apply(s)
		}
	}
}

func (r *rollout) serve(home int) {
	for n := range r.ratePerTick {
		version := "v1"
		if r.rng.Float64() < r.share[home] {
			version = "v2"
			r.newVersionRequests++
		}
		r.totalRequests++
		route := []string{"match", "compare", "export"}[n%3]
		latency, failed := r.respond(r, version, route, r.share[home])
		key := [2]string{version, route}
		if r.evidence[home][key] == nil {
			r.evidence[home][key] = NewSample()
		}
		r.evidence[home][key].Record(latency, failed)
	}
}

func (r *rollout) countFault() {
	r.faultyRequests++
	if r.faultyRequests == detectionThreshold {
		r.thresholdReachedAt = r.clock.Boot()
	}
}

func (r *rollout) phase() Phase {
	if len(r.store.history) == 0 {
		return Pending
	}
	return r.store.history[len(r.store.history)-1].Phase()
}

// checkHistory fails if a step was skipped, undone or taken after a final phase.
func (r *rollout) checkHistory(t *testing.T) {
	t.Helper()
	for i := 1; i < len(r.store.history); i++ {
		a, b := r.store.history[i-1], r.store.history[i]
		if a.Phase().Final() || (b.Step() != a.Step() && b.Step() != a.Step()+1) {
			t.Fatalf("state %d: step %d (%s) follows step %d (%s)", i, b.Step(), b.Phase(), a.Step(), a.Phase())
		}
	}
}

// noisyResponse returns a response with a long latency tail and an error ratio of
// 0.01, the same for both versions.
func noisyResponse(r *rollout) (int64, bool) {
	return int64(10_000 * (0.5 + r.rng.ExpFloat64())), r.rng.Float64() < 0.01
}

// Guards against false rollbacks, and against moves that miss their finish time
// because the controller was replaced, the store was unavailable or replies of the
// store were lost.
func TestGoodVersionFinishesInTime(t *testing.T) {
	for seed := range seeds(2) {
		r := newRollout(seed, func(r *rollout, _, _ string, _ float64) (int64, bool) { return noisyResponse(r) })
		r.store.replyLossProbability = 0.2
		for second := range 600 {
			r.store.unavailable = second > 100 && second < 220
			if second%90 == 40 {
				r.replaceController()
			}
			r.tick()
		}
		if r.phase() != Finished {
			t.Fatalf("seed %d: phase %s, last reason %q", seed, r.phase(), r.store.history[len(r.store.history)-1].Reason())
		}
		r.checkHistory(t)
	}
}

// Guards against bad versions that keep traffic. The fault starts at once or late,
// or occurs under load only or on a single route.
func TestBadVersionIsRolledBack(t *testing.T) {
	faultStart := time.Hour + 200*time.Second
	for _, tc := range []struct {
		name string
		bad  func(r *rollout, route string, share float64) bool
		slow bool
	}{
		{"errors at once", func(*rollout, string, float64) bool { return true }, false},
		{"slow at once", func(*rollout, string, float64) bool { return true }, true},
		{"errors late", func(r *rollout, _ string, _ float64) bool { return r.clock.Boot() > faultStart }, false},
		{"slow late", func(r *rollout, _ string, _ float64) bool { return r.clock.Boot() > faultStart }, true},
		{"slow under load", func(_ *rollout, _ string, share float64) bool { return share >= 0.25 }, true},
		{"errors on one route", func(_ *rollout, route string, _ float64) bool { return route == "export" }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range seeds(2) {
				r := newRollout(seed, func(r *rollout, version, route string, share float64) (int64, bool) {
					latency, failed := noisyResponse(r)
					if version != "v2" || !tc.bad(r, route, share) {
						return latency, failed
					}
					if !tc.slow {
						failed = r.rng.Float64() < 0.5
					} else {
						latency *= 4
					}
					if tc.slow && latency > 60_000 || !tc.slow && failed {
						r.countFault()
					}
					return latency, failed
				})
				for r.phase() != RolledBack {
					r.tick()
					if r.clock.Boot() > time.Hour+10*time.Minute {
						t.Fatalf("seed %d: phase %s at the finish time, want rolled_back", seed, r.phase())
					}
				}
				r.checkHistory(t)
				if delay := r.clock.Boot() - r.thresholdReachedAt; r.faultyRequests >= detectionThreshold && delay > maxDetectionTime {
					t.Errorf("seed %d: rolled back %v after the fault occurred in the threshold of requests", seed, delay)
				}
				for i, share := range r.share {
					if share != 0 {
						t.Errorf("seed %d: home %d keeps share %v", seed, i, share)
					}
				}
				t.Logf("seed %d: found after %d faulty requests, %.2f%% of requests sent to the new version", seed, r.faultyRequests, 100*float64(r.newVersionRequests)/float64(r.totalRequests))
			}
		})
	}
}

// Guards against lost or repeated steps when two controllers run at the same time
// because both believe that they hold the role.
func TestTwoControllersTakeEachStepOnce(t *testing.T) {
	r := newRollout(7, func(r *rollout, _, _ string, _ float64) (int64, bool) { return noisyResponse(r) })
	other := r.ctl
	r.replaceController()
	for second := range 600 {
		if second%2 == 0 {
			r.ctl, other = other, r.ctl
		}
		r.tick()
	}
	if r.phase() != Finished {
		t.Fatalf("phase %s, want finished", r.phase())
	}
	r.checkHistory(t)
}
