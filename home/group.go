package home

import (
	"slices"
	"sync"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

const (
	// hopMargin is the time for the way back of a result; the home answers
	// that much before the deadline.
	hopMargin = 2 * time.Millisecond
	// queuePerSlot bounds each class's queue, times the slots of the group.
	queuePerSlot = 16
	// minQueue is the bound of a group with few slots.
	minQueue = 32
	// defaultLatency stands for the service time before any is known.
	defaultLatency = 10 * time.Millisecond
)

// group is the home of one replica group.
type group struct {
	set     *Set
	id      string
	shard   string
	service *service

	mu       sync.Mutex
	share    lease.Share
	released bool // Confirmed to another home; reopens only after an assignment without the group.
	closed   bool
	awake    bool // Health requests run; an acting home sleeps until it is used.
	lastUse  time.Duration
	members  []*member
	gone     []*member // Removed, with attempts in flight.
	credits  []*credit // One for each move, in the order of the catalogue.
	queue    queue
	inflight int
	turn     int // Where the next search for a searcher starts.
	median   float64
	scratch  []float64
	idle     chan struct{} // Closed when inflight reaches 0; nil when nobody waits.
	policy   catalogue.Policy
}

func newGroup(set *Set, g catalogue.Group, s *service) *group {
	return &group{set: set, id: g.ID(), shard: g.Shard(), service: s, median: float64(defaultLatency)}
}

// open reports whether the group may send.
func (g *group) open() bool { return g.share != lease.None && !g.released && !g.closed }

func (g *group) queueBound() int {
	slots := 0
	for _, m := range g.members {
		slots += m.slots()
	}
	return max(minQueue, queuePerSlot*slots)
}

// start accepts a request; reply is called exactly once, with the group's lock
// held, and must not wait.
func (g *group) start(req shard.Request, reply func(shard.Result)) *task {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.set.clock.Boot()
	t := &task{
		req: req, arrived: now, deadline: req.Deadline() - hopMargin, reply: reply, ran: refusal.NotRun,
	}
	if e := g.admit(t, now); e != nil {
		g.refuse(t, e)
		return t
	}
	g.service.budget.earn()
	t.expiry = g.set.clock.AfterFunc(t.deadline-now, func() { g.expire(t) })
	g.dispatch(now)
	return t
}

// admit queues a task, or returns the reason for refusing it at once.
func (g *group) admit(t *task, now time.Duration) *refusal.Error {
	if !g.open() || (g.share == lease.Acting && !t.req.Acting()) {
		return refusal.New(refusal.NotHome, "daemon has share %s of group %s", g.share, g.id)
	}
	if g.leaseOver(now) {
		return refusal.New(refusal.NotHome, "the home lease has ended")
	}
	if t.deadline <= now {
		return refusal.New(refusal.Deadline, "no time is left").WithRan(refusal.NotRun)
	}
	g.lastUse = now
	g.wake()
	if e := g.hopeless(t); e != nil {
		return e
	}
	if wait := g.expectedWait(now); now+wait > t.deadline {
		return refusal.New(refusal.Overloaded, "expected wait %v exceeds the remaining time", wait)
	}
	if !g.queue.push(t, g.queueBound()) {
		return g.full(t)
	}
	return nil
}

// full is the refusal for a task that finds the queue full.
func (g *group) full(t *task) *refusal.Error {
	for _, m := range g.members {
		if m.usable() && m.warmth.warm && m.holds(t.req.Snapshot()) {
			return refusal.New(refusal.Overloaded, "queue of group %s is full", g.id)
		}
	}
	return refusal.New(refusal.Cold, "all searchers of group %s are in a cold start", g.id)
}

// expectedWait is the time until a slot is expected to be free for a new task.
func (g *group) expectedWait(now time.Duration) time.Duration {
	var rate float64
	for _, m := range g.members {
		if m.usable() {
			rate += float64(m.limit(g.share)) / m.estimate.read(now, g.median)
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(g.queue.len()) / rate)
}

func (g *group) leaseOver(now time.Duration) bool { return g.set.leaseEnd() <= now }

// expire ends a task whose time is over.
func (g *group) expire(t *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.done {
		return
	}
	g.refuse(t, refusal.New(refusal.Deadline, "no answer within the deadline"))
}

// withdraw ends a task whose caller has left.
func (g *group) withdraw(t *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.done {
		return
	}
	g.refuse(t, refusal.New(refusal.Cancelled, "the caller has left"))
}

// held returns the labels that usable searchers hold, newest first.
func (g *group) held() []shard.Label {
	var labels []shard.Label
	for _, m := range g.members {
		if !m.usable() {
			continue
		}
		for _, l := range m.labels {
			if !slices.Contains(labels, l) {
				labels = append(labels, l)
			}
		}
	}
	slices.SortStableFunc(labels, func(a, b shard.Label) int {
		switch {
		case a.Snapshot() > b.Snapshot():
			return -1
		case a.Snapshot() < b.Snapshot():
			return 1
		}
		return 0
	})
	return labels
}
