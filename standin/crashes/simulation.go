package crashes

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"medlaryard.example/medlaryard/admission"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/peer/peerpb"
)

const (
	daemons         = 7
	targets         = 9
	step            = 50 * time.Millisecond
	heartbeats      = 300 * time.Millisecond
	maxStrikes      = 32
	maxTargets      = 2 // On which a request may run that is not on trial.
	outageTime      = 4 * time.Second
	restartTime     = 3 * time.Second
	usualWork       = 200 * time.Millisecond
	usualRate       = 20.0 // Other requests a second.
	stabilityWindow = 4 * time.Second
	promisedCrashes = 3
	suspect         = 1 // Fingerprint of the request that is watched.
)

// Scenario is one cell of the grid.
type Scenario struct {
	seed       uint64
	rate       float64
	crashShare float64
	work       time.Duration
	duration   time.Duration
	outages    Outages
}

// Outages is a pattern of outages that no request causes.
type Outages struct {
	name  string
	first time.Duration
	every time.Duration // 0 if there are none.
	share float64       // Of the targets that end.
	lasts time.Duration
}

// Name returns the name of the pattern.
func (o Outages) Name() string { return o.name }

// Patterns returns the patterns of the grid.
func Patterns() []Outages {
	return []Outages{
		{name: "none"},
		{name: "all, every 5.2 s", first: 5 * time.Second, every: outageTime + 1200*time.Millisecond, share: 1, lasts: outageTime},
		{name: "all, every 12 s", first: 5 * time.Second, every: 12 * time.Second, share: 1, lasts: outageTime},
		{name: "15%, every 3 s", first: 5 * time.Second, every: 3 * time.Second, share: 0.15, lasts: time.Second},
		{name: "one, every 1 s", first: time.Second, every: time.Second, share: 1.0 / targets, lasts: 500 * time.Millisecond},
	}
}

// NewScenario returns a scenario of 60 s in which the watched request comes at the given
// rate a second, and the given share of its runs crashes the target.
func NewScenario(seed uint64, rate, crashShare float64, o Outages) Scenario {
	return Scenario{seed: seed, rate: rate, crashShare: crashShare, work: 1200 * time.Millisecond, duration: time.Minute, outages: o}
}

// Result is what the simulation of a scenario has shown.
type Result struct {
	offered, refused, crashes, late int
}

// Add returns the sums of two results.
func (r Result) Add(o Result) Result {
	return Result{r.offered + o.offered, r.refused + o.refused, r.crashes + o.crashes, r.late + o.late}
}

// Offered returns how many of the watched requests came while a target was up, and no
// outage of all targets followed before it could have answered.
func (r Result) Offered() int { return r.offered }

// Refused returns how many of those were refused as suspects.
func (r Result) Refused() int { return r.refused }

// Crashes returns how many targets the request has crashed.
func (r Result) Crashes() int { return r.crashes }

// Late returns how often the request reached a target later than the stability window
// after it had crashed the third one.
func (r Result) Late() int { return r.late }

// simulatedClock is a clock that the simulation sets.
type simulatedClock struct {
	clock.System
	now *time.Duration
}

// Boot returns the simulated time. It begins above 0, as that of a VM.
func (c simulatedClock) Boot() time.Duration { return time.Hour + *c.now }

type target struct {
	upAt, endedAt time.Duration
}

func (t *target) up(now time.Duration) bool { return now >= t.upAt }

// execution is one request at a target.
type execution struct {
	fingerprint uint64
	daemon      int
	target      int
	sends       int
	trial       bool
	ends        time.Duration
}

type simulation struct {
	Scenario
	rng        *rand.Rand
	now        time.Duration
	daemons    []*admission.Suspects
	targets    [targets]target
	running    []execution
	pending    []judgement
	nextOutage time.Duration
	sent       []*peerpb.CrashStrike // New strikes, which arrive in the next step.
	result     Result
	third      time.Duration // When the third target crashed; 0 before.
	next       uint64        // Fingerprint of the next other request.
}

// judgement is a crash that is judged at a later time.
type judgement struct {
	execution
	crashed, at time.Duration
	alone       bool
}

// Run simulates a scenario.
func (sc Scenario) Run() Result {
	s := &simulation{Scenario: sc, rng: rand.New(rand.NewPCG(sc.seed, 1)), next: suspect + 1}
	for range daemons {
		s.daemons = append(s.daemons, admission.NewSuspects(simulatedClock{now: &s.now}, func(strikes []*peerpb.CrashStrike) {
			s.sent = append(s.sent, strikes...)
		}))
	}
	nextHeartbeat := time.Duration(0)
	s.nextOutage = sc.outages.first
	for s.now = step; s.now < sc.duration; s.now += step {
		for _, d := range s.daemons {
			d.Merge(s.sent)
		}
		s.sent = nil
		s.finish()
		s.judge()
		if sc.outages.every > 0 && s.now >= s.nextOutage {
			s.nextOutage += sc.outages.every
			s.outage()
		}
		if s.now >= nextHeartbeat {
			nextHeartbeat += heartbeats
			s.exchange()
		}
		s.arrive(usualRate, func() {
			s.send(execution{fingerprint: s.next, daemon: s.rng.IntN(daemons), ends: s.now + usualWork})
			s.next++
		})
		s.arrive(sc.rate, s.offer)
	}
	return s.result
}

// arrive calls f for each arrival of the step at the given rate a second.
func (s *simulation) arrive(rate float64, f func()) {
	for left := rate * step.Seconds(); left > 0; left-- {
		if s.rng.Float64() < left {
			f()
		}
	}
}

// offer lets the watched request arrive at a daemon.
func (s *simulation) offer() {
	if !slices.ContainsFunc(s.targets[:], func(t target) bool { return t.up(s.now) }) {
		return
	}
	servable := s.outages.share < 1 || s.now+s.work < s.nextOutage
	if servable {
		s.result.offered++
	}
	daemon := s.rng.IntN(daemons)
	switch s.daemons[daemon].Admit(suspect, func() int { return daemon }).Verdict() {
	case admission.Refuse, admission.Wait:
		if servable {
			s.result.refused++
		}
	case admission.Trial:
		s.send(execution{fingerprint: suspect, daemon: daemon, trial: true, ends: s.now + s.work})
	case admission.Run:
		s.send(execution{fingerprint: suspect, daemon: daemon, ends: s.now + s.work})
	}
}

// send sends a request to a random target, which it may crash.
func (s *simulation) send(e execution) {
	var up []int
	for i := range s.targets {
		if s.targets[i].up(s.now) {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		if e.trial {
			s.daemons[e.daemon].EndTrial(e.fingerprint, false)
		}
		return
	}
	e.target = up[s.rng.IntN(len(up))]
	e.sends++
	s.running = append(s.running, e)
	if e.fingerprint != suspect {
		return
	}
	if s.third > 0 && s.now > s.third+stabilityWindow {
		s.result.late++
	}
	if s.rng.Float64() < s.crashShare {
		if s.result.crashes++; s.result.crashes == promisedCrashes {
			s.third = s.now
		}
		s.end(e.target, restartTime)
	}
}

// end ends a target with all requests that it works on. Requests that are not on trial are
// sent once more.
func (s *simulation) end(i int, lasts time.Duration) {
	s.targets[i] = target{upAt: s.now + lasts, endedAt: s.now}
	var broken []execution
	s.running = slices.DeleteFunc(s.running, func(e execution) bool {
		if e.target == i {
			broken = append(broken, e)
		}
		return e.target == i
	})
	for _, e := range broken {
		alone := !slices.ContainsFunc(broken, func(o execution) bool { return o.daemon == e.daemon && o.fingerprint != e.fingerprint })
		if e.trial {
			s.daemons[e.daemon].EndTrial(e.fingerprint, true)
		}
		if s.daemons[e.daemon].RecordTargetCrash(e.fingerprint, uint64(i+1), e.trial) {
			s.pending = append(s.pending, judgement{execution: e, crashed: s.now, at: s.now + admission.OutageWindow, alone: alone})
		}
	}
	for _, e := range broken {
		if !e.trial && e.sends < maxTargets {
			s.send(e)
		}
	}
}

func (s *simulation) outage() {
	n := max(int(s.outages.share*targets+0.5), 1)
	for _, i := range s.rng.Perm(targets)[:n] {
		if s.targets[i].up(s.now) {
			s.end(i, s.outages.lasts)
		}
	}
}

// finish ends the requests that have been answered.
func (s *simulation) finish() {
	s.running = slices.DeleteFunc(s.running, func(e execution) bool {
		if e.ends > s.now {
			return false
		}
		s.daemons[e.daemon].Answered(e.fingerprint)
		if e.trial {
			s.daemons[e.daemon].EndTrial(e.fingerprint, false)
		}
		return true
	})
}

// judge judges the crashes that are due.
func (s *simulation) judge() {
	due := func(j judgement) bool { return j.at <= s.now }
	for _, j := range s.pending {
		if !due(j) {
			continue
		}
		var ended []uint64
		survived := 0
		for i, t := range s.targets {
			switch {
			case i == j.target:
			case t.endedAt > 0 && (j.crashed-t.endedAt).Abs() <= admission.OutageWindow:
				ended = append(ended, uint64(i+1))
			case t.up(s.now):
				survived++
			}
		}
		s.daemons[j.daemon].Judge(j.fingerprint, j.trial, j.alone, ended, survived)
	}
	s.pending = slices.DeleteFunc(s.pending, due)
}

// exchange lets each daemon tell the others its strikes.
func (s *simulation) exchange() {
	for i, from := range s.daemons {
		strikes := from.CrashReports(maxStrikes)
		slices.SortFunc(strikes, func(a, b *peerpb.CrashStrike) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
		for j, to := range s.daemons {
			if i != j {
				to.Merge(strikes)
			}
		}
	}
}
