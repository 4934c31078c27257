package cell

import (
	"math/rand/v2"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/clock/clocktest"
)

// sched runs tasks one at a time, in the order of their times on a manual
// clock. A task gives way only in sleep, so a run depends on the seed alone.
type sched struct {
	clk    *clocktest.Manual
	rng    *rand.Rand
	procs  []*proc
	parked chan struct{}
	cur    *proc
	seq    int
}

type proc struct {
	at     time.Duration
	seq    int
	on     *node // Does not run while this node is paused; nil while a message travels.
	resume chan struct{}
	done   bool
}

func newSched(seed uint64) *sched {
	return &sched{clk: clocktest.New(), rng: rand.New(rand.NewPCG(seed, 1)), parked: make(chan struct{})}
}

// start queues f as a task of n.
func (s *sched) start(n *node, after time.Duration, f func()) {
	s.seq++
	p := &proc{at: s.clk.Boot() + after, seq: s.seq, on: n, resume: make(chan struct{})}
	s.procs = append(s.procs, p)
	go func() {
		<-p.resume
		f()
		p.done = true
		s.parked <- struct{}{}
	}()
}

// sleep lets the running task continue on n after d.
func (s *sched) sleep(n *node, d time.Duration) {
	p := s.cur
	s.seq++
	p.at, p.seq, p.on = s.clk.Boot()+d, s.seq, n
	s.parked <- struct{}{}
	<-p.resume
}

// run executes tasks for d and calls check after each.
func (s *sched) run(d time.Duration, check func()) {
	end := s.clk.Boot() + d
	for {
		p := s.next(end)
		if p == nil {
			break
		}
		s.clk.Advance(max(0, p.at-s.clk.Boot()))
		s.cur = p
		p.resume <- struct{}{}
		<-s.parked
		if p.done {
			s.drop(p)
		}
		check()
	}
	s.clk.Advance(end - s.clk.Boot())
}

func (s *sched) next(end time.Duration) *proc {
	var first *proc
	for _, p := range s.procs {
		if p.on != nil && p.on.pausedUntil > p.at {
			p.at = p.on.pausedUntil
		}
		if p.at <= end && (first == nil || p.at < first.at || p.at == first.at && p.seq < first.seq) {
			first = p
		}
	}
	return first
}

func (s *sched) drop(p *proc) {
	for i, o := range s.procs {
		if o == p {
			s.procs = append(s.procs[:i], s.procs[i+1:]...)
			return
		}
	}
}

func (s *sched) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// vmClock is the clock of one VM: its own boot time and a slightly wrong rate.
type vmClock struct {
	*clocktest.Manual
	offset time.Duration
	rate   float64
}

var _ clock.Clock = vmClock{}

func (c vmClock) Boot() time.Duration {
	return c.offset + time.Duration(float64(c.Manual.Boot())*c.rate)
}
