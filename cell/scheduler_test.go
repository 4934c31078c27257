package cell

import (
	"math/rand/v2"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/clock/clocktest"
)

// scheduler runs tasks one at a time, in the order of their times on a manual clock. A
// task yields only in sleep, so a run depends only on the seed.
type scheduler struct {
	clk     *clocktest.Manual
	rng     *rand.Rand
	tasks   []*task
	parked  chan struct{} // The running task signals that it sleeps or has ended.
	current *task
	seq     int
}

type task struct {
	at     time.Duration // When the task continues.
	seq    int
	node   *node // The task does not run while this node is paused. Nil for messages in transit.
	resume chan struct{}
	done   bool
}

func newScheduler(seed uint64) *scheduler {
	return &scheduler{clk: clocktest.New(), rng: rand.New(rand.NewPCG(seed, 1)), parked: make(chan struct{})}
}

// start queues f as a task of n that runs after the delay.
func (s *scheduler) start(n *node, after time.Duration, f func()) {
	s.seq++
	p := &task{at: s.clk.Boot() + after, seq: s.seq, node: n, resume: make(chan struct{})}
	s.tasks = append(s.tasks, p)
	go func() {
		<-p.resume
		f()
		p.done = true
		s.parked <- struct{}{}
	}()
}

// sleep suspends the running task, which continues on n after d.
func (s *scheduler) sleep(n *node, d time.Duration) {
	p := s.current
	s.seq++
	p.at, p.seq, p.node = s.clk.Boot()+d, s.seq, n
	s.parked <- struct{}{}
	<-p.resume
}

// run executes tasks for d and calls check after each.
func (s *scheduler) run(d time.Duration, check func()) {
	end := s.clk.Boot() + d
	for {
		p := s.next(end)
		if p == nil {
			break
		}
		s.clk.Advance(max(0, p.at-s.clk.Boot()))
		s.current = p
		p.resume <- struct{}{}
		<-s.parked
		if p.done {
			s.remove(p)
		}
		check()
	}
	s.clk.Advance(end - s.clk.Boot())
}

func (s *scheduler) next(end time.Duration) *task {
	var first *task
	for _, p := range s.tasks {
		if p.node != nil && p.node.pausedUntil > p.at {
			p.at = p.node.pausedUntil
		}
		if p.at <= end && (first == nil || p.at < first.at || p.at == first.at && p.seq < first.seq) {
			first = p
		}
	}
	return first
}

func (s *scheduler) remove(p *task) {
	for i, o := range s.tasks {
		if o == p {
			s.tasks = append(s.tasks[:i], s.tasks[i+1:]...)
			return
		}
	}
}

func (s *scheduler) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// vmClock is the clock of one VM, with its own boot time and a slightly wrong rate.
type vmClock struct {
	*clocktest.Manual
	offset time.Duration
	rate   float64
}

var _ clock.Clock = vmClock{}

func (c vmClock) Boot() time.Duration {
	return c.offset + time.Duration(float64(c.Manual.Boot())*c.rate)
}
